#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

namespace
{

/// A task on a worker that does not answer the renewals after its start.
class lease_end_test : public dispatcher_fixture
{
protected:
    lease_end_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        confirm({m_run});
        m_dispatcher.renewal_sent("w1", m_now);
        m_dispatcher.renewal_failed(
            "w1", {order_outcome::may_have_arrived, call_failure::timed_out},
            m_now);
    }

    bool is_held() const
    {
        return !m_dispatcher.workers().at("w1").m_tasks.empty();
    }

    start_order m_run;
};

} // namespace

// Guards against a second run while the first one's lease was renewed.
TEST_F(lease_end_test,
       a_lease_is_not_over_while_its_renewal_waits_to_be_applied)
{
    pass(span(6000));
    const instant renewed = m_now;
    m_dispatcher.events_applied(renewed - span(1));
    pass(span(1000));
    step();
    EXPECT_TRUE(is_held());
    m_dispatcher.renewal_sent("w1", renewed);
    report("w1", {running(m_run)});
    m_dispatcher.events_applied(m_now);
    step();
    EXPECT_TRUE(is_held());
}

TEST_F(lease_end_test, a_lease_is_over_once_all_earlier_events_are_applied)
{
    pass(span(7000));
    m_dispatcher.events_applied(m_now);
    step();
    EXPECT_FALSE(is_held());
}

} // namespace kingcuprudder::dispatch
