#include "test_region.hpp"

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

using attempts = std::map<std::uint32_t, int>;

// Guards against a gang that runs in part, or twice.
TEST(scheduler, a_gang_runs_exactly_once_on_all_its_accelerators)
{
    test_region region(8, 1);
    const job_spec spec = test_region::gang("j", 64, 300);
    const auto reply = region.call(submit_job{spec});
    ASSERT_TRUE(succeeded(reply)) << error_of(reply).m_message;
    EXPECT_EQ(region.end_of(spec), "succeeded");
    EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 64}}));
}

} // namespace
} // namespace kingcuprudder
