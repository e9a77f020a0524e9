#include <kingcuprudder/topology/cluster.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

// Guards against an allocation or release that loses track of accelerators.
TEST(cluster, allocate_and_release_restore_the_free_set)
{
    cluster region({{worker_id("w1"), zone_id("z"), rack_id("r"), 8, 64, 1024,
                     "127.0.0.1:1"}});
    const shape needed{2, 2, 4, 100, proximity::worker};
    const placement where{{worker_id("w1"), 2, 0b1111}};
    const free_capacity before = region.free_at(0);

    region.allocate(needed, where);
    EXPECT_FALSE(region.is_free(needed, where));
    EXPECT_EQ(region.free_at(0).m_cores, 56u);

    region.release(needed, where);
    EXPECT_EQ(region.free_at(0), before);
}

} // namespace
} // namespace kingcuprudder
