#ifndef UNIT_TESTS_NODE_NODE_FIXTURE_HPP
#define UNIT_TESTS_NODE_NODE_FIXTURE_HPP

#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>

#include <gtest/gtest.h>
#include <stand_ins/memory_store.hpp>

#include <chrono>
#include <sstream>
#include <string>
#include <thread>

namespace kingcuprudder::node
{

/// Provides an in-memory store with a configuration of one queue, which is
/// encoded as the text "VERSION HOST PREFIX KEY".
class node_fixture : public ::testing::Test
{
protected:
    node_fixture() : m_log("test")
    {
        m_records.m_configuration_key = "configuration";
        m_records.m_workers_prefix = "workers/";
        m_records.m_decode_configuration = [](const std::string& value)
            -> std::optional<dispatch::service_configuration>
        {
            std::istringstream text(value);
            dispatch::service_configuration made;
            dispatch::queue_configuration queue;
            dispatch::account_configuration account;
            account.m_name = "account";
            account.m_keys.resize(1);
            if (!(text >> made.m_version >> queue.m_host >>
                  queue.m_path_prefix >> account.m_keys[0]))
            {
                return std::nullopt;
            }
            queue.m_name = "queue";
            queue.m_policy.m_pool = "pool";
            made.m_queues = {queue};
            made.m_accounts = {account};
            return made;
        };
        m_records.m_decode_worker =
            [](const std::string& id, const std::string&)
        {
            dispatch::worker_description worker;
            worker.m_id = id;
            worker.m_pool = "pool";
            worker.m_address = "127.0.0.1:1";
            worker.m_capacity = {1000, 1000, 8};
            worker.m_incarnation = 1;
            worker.m_clock = 1000;
            return worker;
        };
        write_configuration("1 host /queue/ key");
    }

    void write_configuration(const std::string& value)
    {
        store_transaction transaction;
        transaction.m_writes = {{"configuration", value, 0}};
        m_writer.commit(transaction, span(100));
    }

    /// Waits up to about 5 s until the condition holds.
    template <class Condition>
    static bool eventually(const Condition& holds)
    {
        constexpr int tries = 500;
        for (int at = 0; at < tries; ++at)
        {
            if (holds())
            {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    stand_ins::memory_store m_store;
    stand_ins::memory_store& m_writer = m_store;
    external_records m_records;
    event_log m_log;
};

} // namespace kingcuprudder::node

#endif
