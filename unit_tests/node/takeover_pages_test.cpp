#include "node_fixture.hpp"
#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <platform/platform_records.hpp>
#include <platform/platform_store.hpp>
#include <stand_ins/limited_link.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace kingcuprudder::node
{

namespace
{

constexpr span call_timeout = span(100);
constexpr int lists_per_failure = 3;

/// The platform's store with the records of many ended jobs.
class takeover_pages_test : public node_fixture
{
protected:
    void write_ended_jobs(int jobs)
    {
        store_transaction transaction;
        for (int number = 0; number < jobs; ++number)
        {
            std::string id = std::to_string(number);
            id.insert(0, 16 - id.size(), '0');
            transaction.m_writes.push_back(
                {record_keys::progress(id),
                 R"({"state":"completed","account":"account"})", 0});
        }
        m_platform.store().commit(transaction, call_timeout);
    }

    stand_ins::platform_stand_in m_platform{1};
};

} // namespace

// Guards against a takeover that never ends beside a store that loses some
// answers, as each failed page makes it read all earlier ones again.
TEST_F(takeover_pages_test, a_failed_page_does_not_repeat_the_earlier_ones)
{
    constexpr int jobs = 300;
    write_ended_jobs(jobs);
    std::atomic<int> lists = 0;
    m_platform.store().set_fault_hook(
        [&lists](const std::string& call)
        {
            const bool fails =
                call == "list" && ++lists % lists_per_failure == 0;
            return fails ? stand_ins::memory_store::fault::refuse
                         : stand_ins::memory_store::fault::none;
        });
    platform::platform_store store(m_platform.store_address());
    node_metrics metrics;
    node_settings settings;
    settings.m_name = "test";
    settings.m_processor_share = 1;
    const node tested(
        settings, store, m_records,
        [](event_loop&, const std::string&, const std::string&,
           const send_check&) { return std::unique_ptr<worker_calls>(); },
        m_log, metrics);
    EXPECT_TRUE(eventually(
        [&]
        {
            return std::get<0>(m_platform.store().read(record_keys::summary,
                                                       call_timeout))
                .has_value();
        }));
}

// Guards against a time limit of a page that a slow link cannot meet.
TEST_F(takeover_pages_test,
       a_page_may_take_longer_than_the_time_limit_to_arrive)
{
    constexpr int records = 20;
    constexpr std::size_t record_bytes = 20'000;
    constexpr span time_limit = span(500);
    store_transaction transaction;
    for (int number = 0; number < records; ++number)
    {
        transaction.m_writes.push_back({"large/" + std::to_string(number),
                                        std::string(record_bytes, 'x'), 0});
    }
    m_platform.store().commit(transaction, call_timeout);
    stand_ins::link_limits slow;
    slow.m_bytes_per_second = 300'000;
    const stand_ins::limited_link link(m_platform.store_address(), slow);
    platform::platform_store store(link.address());
    const instant began = boottime_now();
    const store_result<record_list> listed = store.list("large/", time_limit);
    ASSERT_TRUE(is_ok(listed));
    EXPECT_EQ(std::get<0>(listed).m_records.size(),
              static_cast<std::size_t>(records));
    EXPECT_GT(boottime_now() - began, time_limit * 2);
}

} // namespace kingcuprudder::node
