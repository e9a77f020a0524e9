#include "forwarding_store.hpp"
#include "node_fixture.hpp"
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>

namespace kingcuprudder::node
{

namespace
{

/// A process that takes part in the election.
class candidate
{
public:
    candidate(record_store& store, event_log& log, const std::string& node)
        : m_leadership(std::make_unique<leadership>(
              store, log, node, 1.0,
              leadership::hooks{[this](const std::shared_ptr<term>& held)
                                {
                                    std::lock_guard lock(m_mutex);
                                    m_term = held;
                                },
                                [this]
                                {
                                    std::lock_guard lock(m_mutex);
                                    m_term.reset();
                                }}))
    {
    }

    bool is_leader()
    {
        std::lock_guard lock(m_mutex);
        return m_term && m_term->is_valid();
    }

    std::int64_t fence()
    {
        std::lock_guard lock(m_mutex);
        return m_term ? m_term->fence() : 0;
    }

    void resign() { m_leadership->resign(); }

private:
    std::mutex m_mutex;
    std::shared_ptr<term> m_term;
    std::unique_ptr<leadership> m_leadership;
};

/// Answers the first two writes and all ends of leases not at all. Applies the
/// first write in place of the second one.
class late_write_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        ++m_commits;
        if (m_commits == 1)
        {
            m_late = transaction;
            return store_failure::unknown;
        }
        if (m_commits == 2)
        {
            forwarding_store::commit(m_late, timeout);
            return store_failure::unknown;
        }
        return forwarding_store::commit(transaction, timeout);
    }
    void revoke_lease(std::int64_t, span) override {}

private:
    int m_commits = 0;
    store_transaction m_late;
};

/// A store that takes long to renew a lease.
class slow_renewal_store final : public forwarding_store
{
public:
    using forwarding_store::forwarding_store;

    static constexpr span latency = span(900);

    store_result<std::monostate> renew_lease(std::int64_t lease,
                                             span timeout) override
    {
        const span taken = std::min(latency, timeout);
        std::this_thread::sleep_for(std::chrono::milliseconds(taken.count()));
        return taken < latency
                   ? store_result<std::monostate>(store_failure::unknown)
                   : forwarding_store::renew_lease(lease, timeout);
    }
};

class leadership_test : public node_fixture
{
};

} // namespace

TEST_F(leadership_test, one_of_several_candidates_is_the_leader)
{
    candidate first(m_store, m_log, "a");
    ASSERT_TRUE(eventually([&] { return first.is_leader(); }));
    candidate second(m_store, m_log, "b");
    std::this_thread::sleep_for(std::chrono::milliseconds(3000));
    EXPECT_TRUE(first.is_leader());
    EXPECT_FALSE(second.is_leader());
}

TEST_F(leadership_test, a_leader_that_resigns_is_replaced)
{
    candidate first(m_store, m_log, "a");
    ASSERT_TRUE(eventually([&] { return first.is_leader(); }));
    const std::int64_t fence = first.fence();
    candidate second(m_store, m_log, "b");
    first.resign();
    ASSERT_TRUE(eventually([&] { return second.is_leader(); }));
    EXPECT_GT(second.fence(), fence);
}

// A leader that cannot renew its lease must stop before another leader starts.
TEST_F(leadership_test, a_leader_that_cannot_renew_stops_before_another_starts)
{
    stand_ins::memory_store& store = m_store;
    candidate first(store, m_log, "a");
    ASSERT_TRUE(eventually([&] { return first.is_leader(); }));
    store.set_fault_hook(
        [](const std::string& call)
        {
            return call == "renew_lease"
                       ? stand_ins::memory_store::fault::lose_call
                       : stand_ins::memory_store::fault::none;
        });
    candidate second(store, m_log, "b");
    bool both = false;
    bool ended = false;
    const std::int64_t fence = first.fence();
    ASSERT_TRUE(eventually(
        [&]
        {
            both = both || (second.is_leader() && first.is_leader());
            ended = ended || !first.is_leader();
            // Either may be elected next, but with a new fencing token.
            return second.is_leader() || (ended && first.is_leader());
        }));
    EXPECT_FALSE(both);
    EXPECT_GT(std::max(first.fence(), second.fence()), fence);
}

// Guards against a leader that gives up each renewal before the store answers,
// though its lease would last until then.
TEST_F(leadership_test, a_slow_store_does_not_end_a_term)
{
    constexpr span observed_time = span(6000);
    slow_renewal_store store(m_store);
    candidate first(store, m_log, "a");
    ASSERT_TRUE(eventually([&] { return first.is_leader(); }));
    const std::int64_t fence = first.fence();
    const instant end = boottime_now() + observed_time;
    bool led = true;
    while (boottime_now() < end)
    {
        led = led && first.is_leader();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(led);
    EXPECT_EQ(first.fence(), fence);
}

// A process that is restarted on its node does not wait until the lease of its
// predecessor expires.
TEST_F(leadership_test, a_restarted_process_takes_over_from_its_predecessor)
{
    store_transaction before;
    const auto lease = m_store.grant_lease(span(60'000), span(100));
    before.m_writes = {{record_keys::leader,
                        R"({"node":"a","process":"1","processor_share":1.0})",
                        std::get<0>(lease)}};
    ASSERT_TRUE(is_ok(m_store.commit(before, span(100))));
    candidate restarted(m_store, m_log, "a");
    EXPECT_TRUE(eventually([&] { return restarted.is_leader(); }));
}

TEST_F(leadership_test, a_lost_answer_does_not_lose_leadership)
{
    std::atomic<int> commits = 0;
    m_store.set_fault_hook(
        [&commits](const std::string& call)
        {
            return call == "commit" && commits++ == 0
                       ? stand_ins::memory_store::fault::lose_answer
                       : stand_ins::memory_store::fault::none;
        });
    candidate first(m_store, m_log, "a");
    EXPECT_TRUE(eventually([&] { return first.is_leader(); }));
}

// Guards against a leader whose record is bound to the lease of an earlier
// attempt, which it does not renew.
TEST_F(leadership_test, a_late_write_of_an_earlier_attempt_makes_no_two_leaders)
{
    late_write_store store(m_store);
    candidate first(store, m_log, "a");
    ASSERT_TRUE(eventually([&] { return first.is_leader(); }));
    candidate second(m_store, m_log, "b");
    bool both = false;
    for (int at = 0; at < 400; ++at)
    {
        both = both || (first.is_leader() && second.is_leader());
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_FALSE(both);
}

TEST_F(leadership_test, a_term_that_was_ended_is_not_extended)
{
    term held(5, boottime_now() + span(10'000), record_write());
    EXPECT_TRUE(held.is_valid());
    held.end();
    held.extend(boottime_now() + span(10'000));
    EXPECT_FALSE(held.is_valid());
}

} // namespace kingcuprudder::node
