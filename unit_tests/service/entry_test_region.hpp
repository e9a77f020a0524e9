#ifndef KINGCUPRUDDER_UNIT_TESTS_SERVICE_ENTRY_TEST_REGION_HPP
#define KINGCUPRUDDER_UNIT_TESTS_SERVICE_ENTRY_TEST_REGION_HPP

#include "test_region.hpp"
#include <kingcuprudder/service/entry_process.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <stand_ins/fake_minion.hpp>

#include <httplib.h>

namespace kingcuprudder
{

/// The response that a caller received; status 0 stands for no response.
struct caller_view
{
    int m_status = 0;
    nlohmann::json m_body;
    bool m_retry_after = false;

    std::string text(const char* name) const
    {
        return m_body.is_object() ? m_body.value(name, "") : "";
    }
};

/// A region on loopback with minions and entry processes.
class entry_test_region
{
public:
    explicit entry_test_region(std::size_t minions, std::size_t schedulers = 1)
        : m_region(2, schedulers)
    {
        write_settings(1000);
        for (std::size_t i = 0; i < minions; ++i)
        {
            m_minions.push_back(std::make_unique<stand_ins::fake_minion>(
                stand_ins::minion_options()));
            m_region.m_list.add(nlohmann::json{
                {"id", minion_name(i)},
                {"service", "s"},
                {"address", m_minions.back()->address()},
                {"zone", "z0"},
                {"state", "live"},
                {"start_id", "1"}}.dump());
        }
    }

    static std::string minion_name(std::size_t index)
    {
        return "m" + std::to_string(index);
    }

    void write_settings(int default_run_time_s)
    {
        m_region.m_store.put(
            "live/settings",
            R"({"regions":{"r":{"accounts":{"a":{}},"job_classes":{"c":)"
            R"({"default_run_time_s":)" +
                std::to_string(default_run_time_s) +
                R"(}},"services":{"s":{"max_in_flight_per_target":4}}}}})");
    }

    /// Starts an entry process and waits until it can serve.
    entry_process& add_entry(entry_options options = {})
    {
        options.m_instance = instance_id("entry");
        options.m_address = "127.0.0.1:0";
        options.m_health_address = "127.0.0.1:0";
        options.m_instance_list = m_region.m_list.address();
        m_entries.push_back(std::make_unique<entry_process>(
            options, m_region.m_store.address(), region_id("r")));
        entry_process& added = *m_entries.back();
        EXPECT_TRUE(wait_until(
            [&]
            {
                const std::string dump = added.dump();
                return health(added) == 200 &&
                       (m_region.m_schedulers.empty() ||
                        dump.find("owner: 127") != std::string::npos) &&
                       (m_minions.empty() ||
                        dump.find("target s/") != std::string::npos);
            }))
            << added.dump();
        return added;
    }

    static int health(const entry_process& entry)
    {
        httplib::Client client("http://" + entry.health_address());
        const httplib::Result result = client.Get("/health");
        return result ? result->status : 0;
    }

    static caller_view view(const httplib::Result& result)
    {
        caller_view seen;
        if (result)
        {
            seen.m_status = result->status;
            seen.m_body = nlohmann::json::parse(result->body, nullptr, false);
            seen.m_retry_after = result->has_header("Retry-After");
        }
        return seen;
    }

    static caller_view post(const entry_process& entry, const std::string& path,
                            const std::string& body)
    {
        httplib::Client client("http://" + entry.address());
        client.set_read_timeout(std::chrono::seconds(40));
        return view(client.Post(path, body, "application/json"));
    }

    static caller_view get(const entry_process& entry, const std::string& path)
    {
        httplib::Client client("http://" + entry.address());
        client.set_read_timeout(std::chrono::seconds(40));
        return view(client.Get(path));
    }

    static caller_view request(const entry_process& entry,
                               const std::string& id, bool idempotent,
                               int timeout_ms = 10'000,
                               const std::string& body = "x")
    {
        return post(entry, "/v1/requests",
                    nlohmann::json{{"account", "a"},
                                   {"id", id},
                                   {"service", "s"},
                                   {"idempotent", idempotent},
                                   {"timeout_ms", timeout_ms},
                                   {"body", body}}
                        .dump());
    }

    /// Returns how often a request has run on all minions together.
    std::size_t runs(const std::string& id) const
    {
        std::size_t count = 0;
        for (const auto& minion : m_minions)
        {
            for (const stand_ins::minion_run& each : minion->history())
            {
                count += each.m_request == "a/" + id ? 1 : 0;
            }
        }
        return count;
    }

    test_region m_region;
    std::vector<std::unique_ptr<stand_ins::fake_minion>> m_minions;
    std::vector<std::unique_ptr<entry_process>> m_entries;
};

} // namespace kingcuprudder

#endif
