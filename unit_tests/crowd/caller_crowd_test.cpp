#include "crowd_fixture.hpp"
#include "crowd_scripts.hpp"

#include <demo/free_port.hpp>
#include <stand_ins/platform_stand_in.hpp>

namespace kingcuprudder
{

namespace
{

/// A leader with workers and a follower on small instances.
class crowd_test : public ::testing::TestWithParam<crowd_script>
{
protected:
    void SetUp() override
    {
        m_platform.write_configuration(1, "key");
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            m_nodes.start(each);
        }
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            for (int at = 0; at < 100 && !accepts_job(each); ++at)
            {
                sleep_for(span(100));
            }
        }
    }

    bool accepts_job(int node)
    {
        return submit_job(m_nodes.caller_address(node), ++m_jobs)
            .starts_with("HTTP/1.1 200");
    }

    /// Sends the crowd to these addresses and checks the processes.
    void play(const std::vector<std::string>& addresses)
    {
        const instance_watch watch(m_nodes);
        {
            const hostile_crowd crowd(GetParam(), addresses);
            sleep_for(crowd_time);
        }
        watch.expect_within_limits();
        watch.expect_memory_released();
        for (int each = 0; each < m_nodes.size(); ++each)
        {
            EXPECT_TRUE(accepts_job(each)) << "process " << each;
        }
        watch.print();
    }

    int m_jobs = 0;
    stand_ins::platform_stand_in m_platform{4};
    soak::deployment m_nodes{
        KCR_BINARY_DIR "/bin/kcr_node", crowd_test_folder(),
        std::vector<soak::process_profile>(
            2, {.m_store_address = m_platform.store_address(),
                .m_memory_mb = instance_memory_mb,
                .m_max_descriptors = instance_descriptors}),
        soak::process_times()};
};

using monitoring_crowd_test = crowd_test;

/// A process that has no store.
class lone_crowd_test : public ::testing::TestWithParam<crowd_script>
{
protected:
    soak::deployment m_nodes{
        KCR_BINARY_DIR "/bin/kcr_node", crowd_test_folder(),
        std::vector<soak::process_profile>(
            1, {.m_store_address = demo::free_loopback_address(),
                .m_memory_mb = instance_memory_mb,
                .m_max_descriptors = instance_descriptors}),
        soak::process_times()};
};

std::string name_of(const ::testing::TestParamInfo<crowd_script>& info)
{
    return info.param.m_name;
}

} // namespace

// Guards against clients that keep to no limit and make a process keep what
// they send until its memory or its descriptors are used up. Seen with trailers
// and bodies without end.
TEST_P(crowd_test, processes_stay_within_their_instance)
{
    play({m_nodes.caller_address(0), m_nodes.caller_address(1)});
}

// The same at the ports that the platform and operators ask, which nothing
// protects but the network.
TEST_P(monitoring_crowd_test, processes_stay_within_their_instance)
{
    play({m_nodes.readiness_address(0), m_nodes.metrics_address(1)});
}

// The same without a store, when requests are held longer.
TEST_P(lone_crowd_test, the_process_stays_within_its_instance)
{
    m_nodes.start(0);
    for (int at = 0;
         at < 100 && submit_job(m_nodes.caller_address(0), at).empty(); ++at)
    {
        sleep_for(span(100));
    }
    const instance_watch watch(m_nodes);
    {
        const hostile_crowd crowd(GetParam(), {m_nodes.caller_address(0)});
        sleep_for(crowd_time);
    }
    watch.expect_within_limits();
    watch.expect_memory_released();
    EXPECT_TRUE(
        submit_job(m_nodes.caller_address(0), 1).starts_with("HTTP/1.1 503"));
    watch.print();
}

// Guards against a crowd that keeps a process from ending at its signal, and
// callers from a response while it ends.
TEST_P(lone_crowd_test, the_process_ends_at_its_signal)
{
    constexpr span exit_timeout = span(60'000);
    m_nodes.start(0);
    for (int at = 0;
         at < 100 && submit_job(m_nodes.caller_address(0), at).empty(); ++at)
    {
        sleep_for(span(100));
    }
    const hostile_crowd crowd(GetParam(), {m_nodes.caller_address(0)});
    sleep_for(span(500));
    m_nodes.terminate(0);
    EXPECT_NE(submit_job(m_nodes.caller_address(0), 1), "");
    EXPECT_TRUE(m_nodes.wait_for_exit(0, exit_timeout));
}

INSTANTIATE_TEST_SUITE_P(callers, crowd_test,
                         ::testing::ValuesIn(caller_crowds()), name_of);
INSTANTIATE_TEST_SUITE_P(lone, lone_crowd_test,
                         ::testing::ValuesIn(lone_process_crowds()), name_of);
INSTANTIATE_TEST_SUITE_P(monitoring, monitoring_crowd_test,
                         ::testing::ValuesIn(monitoring_crowds()), name_of);

} // namespace kingcuprudder
