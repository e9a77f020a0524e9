#include <kingcuprudder/node/instance_limits.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder::node
{

namespace
{

constexpr std::size_t kb = 1024;
constexpr std::size_t mb = kb * kb;

} // namespace

TEST(instance_limits, callers_get_a_part_of_memory_and_descriptors)
{
    const http_server_limits smallest = caller_server_limits({120, 3075});
    EXPECT_EQ(smallest.m_max_held_bytes, 30 * mb);
    EXPECT_EQ(smallest.m_max_connections, 1280u);
    EXPECT_EQ(caller_server_limits({260, 4100}).m_max_connections, 1500u);
    EXPECT_EQ(caller_server_limits({48, 400}).m_max_connections, 90u);
    EXPECT_GE(caller_server_limits({1, 1}).m_max_connections, 1u);
}

// Guards against ordinary requests that together are over the budget.
TEST(instance_limits, all_connections_with_ordinary_requests_fit)
{
    for (const instance_size& instance :
         {instance_size{48, 400}, instance_size{120, 3075},
          instance_size{160, 4100}, instance_size{512, 10250}})
    {
        const http_server_limits limits = caller_server_limits(instance);
        EXPECT_LE(limits.m_max_connections * 16 * kb, limits.m_max_held_bytes);
    }
}

TEST(instance_limits, configured_limits_apply_within_the_instance)
{
    dispatch::service_configuration configuration;
    const instance_size instance{120, 3075};
    const http_request_limits defaults =
        request_limits(configuration, instance);
    EXPECT_EQ(defaults.m_max_header_bytes, 16 * kb);
    EXPECT_EQ(defaults.m_max_body_bytes, 256 * kb);
    configuration.m_max_header_bytes = 100;
    configuration.m_max_body_bytes = 1'000'000'000'000;
    configuration.m_header_timeout = span(3000);
    configuration.m_idle_timeout = span(15'000);
    const http_request_limits limits = request_limits(configuration, instance);
    EXPECT_EQ(limits, (http_request_limits{100, 30 * mb / 4, span(3000),
                                           span(15'000)}));
}

TEST(instance_limits, a_page_of_the_store_fits_into_a_response)
{
    EXPECT_EQ(max_store_response_bytes({48, 400}), 4 * mb);
    EXPECT_EQ(max_store_response_bytes({120, 3075}), 15 * mb / 2);
    EXPECT_EQ(max_store_response_bytes({1024, 4096}), 16 * mb);
}

} // namespace kingcuprudder::node
