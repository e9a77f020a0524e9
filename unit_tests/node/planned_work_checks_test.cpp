#include <gtest/gtest.h>
#include <soak/planned_work_checks.hpp>

namespace kingcuprudder::soak
{

namespace
{

constexpr promise_bounds bounds;
constexpr instant work_at(100'000);
constexpr int process = 4;

/// A request that got no response 35 ms after it was sent.
observed_request failed_request(instant sent_at)
{
    observed_request request;
    request.m_process = process;
    request.m_call = "GET /q/j";
    request.m_sent_at = sent_at;
    request.m_ended_at = sent_at + span(35);
    request.m_result = request_result::no_response;
    request.m_error = "connection reset";
    return request;
}

planned_work work_of(planned_work_kind kind)
{
    planned_work work;
    work.m_kind = kind;
    work.m_process = process;
    work.m_at = work_at;
    return work;
}

/// The messages for one request beside one work, with these disruptions.
std::vector<std::string>
found_in(const observed_request& request, const planned_work& work,
         const std::vector<disruption>& disruptions = {})
{
    return planned_work_violations({request}, {work}, disruptions, bounds);
}

/// Expects that requests which are sent before the end of the work and end
/// after its begin need a response, and no others.
void expect_window(const planned_work& work, instant end)
{
    EXPECT_EQ(found_in(failed_request(work_at - span(36)), work).size(), 0);
    EXPECT_EQ(found_in(failed_request(work_at - span(35)), work).size(), 1);
    EXPECT_EQ(found_in(failed_request(end - span(1)), work).size(), 1);
    EXPECT_EQ(found_in(failed_request(end), work).size(), 0);
}

} // namespace

TEST(planned_work_checks, a_request_after_sigterm_must_get_a_response)
{
    const planned_work work = work_of(planned_work_kind::termination);
    observed_request request = failed_request(work_at + span(200));
    const std::vector<std::string> found = found_in(request, work);
    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0], "LOST: GET /q/j to process 4 got no response "
                        "(connection reset) 235 ms after SIGTERM, 35 ms after "
                        "it was sent");
    request.m_result = request_result::answered;
    EXPECT_TRUE(found_in(request, work).empty());
    request.m_result = request_result::not_connected;
    EXPECT_TRUE(found_in(request, work).empty());
}

TEST(planned_work_checks, sigterm_lasts_until_after_the_grace_time)
{
    expect_window(work_of(planned_work_kind::termination),
                  work_at + bounds.m_grace + bounds.m_after_grace);
}

TEST(planned_work_checks, sighup_lasts_until_the_settings_are_in_force)
{
    expect_window(work_of(planned_work_kind::reload),
                  work_at + bounds.m_configuration_applied);
}

TEST(planned_work_checks, a_configuration_lasts_until_after_it_is_in_force)
{
    planned_work work = work_of(planned_work_kind::configuration);
    EXPECT_EQ(found_in(failed_request(work_at + span::hours(1)), work).size(),
              1);
    work.m_acknowledged_at = work_at + span(500);
    expect_window(work, work_at + span(500) + bounds.m_configuration_applied +
                            bounds.m_after_configuration);
}

TEST(planned_work_checks, a_signal_concerns_one_process_a_configuration_all)
{
    const observed_request request = failed_request(work_at);
    for (const planned_work_kind kind :
         {planned_work_kind::termination, planned_work_kind::reload,
          planned_work_kind::configuration})
    {
        planned_work work = work_of(kind);
        work.m_process = process + 1;
        EXPECT_EQ(found_in(request, work).size(),
                  kind == planned_work_kind::configuration ? 1 : 0);
    }
}

TEST(planned_work_checks, a_disruption_near_the_request_excuses_it)
{
    const planned_work work = work_of(planned_work_kind::termination);
    const observed_request request = failed_request(work_at + span(1000));
    const instant first = request.m_sent_at - bounds.m_contact;
    const instant last = request.m_ended_at;
    using disruptions = std::vector<disruption>;
    for (const disruptions& near :
         {disruptions{{first - span(9), first}},
          disruptions{{last, last + span(9)}},
          disruptions{{first - span(9), last + span(9)}}})
    {
        EXPECT_EQ(found_in(request, work, near).size(), 0);
    }
    EXPECT_EQ(found_in(request, work,
                       {{first - span(9), first - span(1)},
                        {last + span(1), last + span(9)}})
                  .size(),
              1);
}

TEST(planned_work_checks, each_lost_request_gives_one_message_for_its_last_work)
{
    planned_work earlier = work_of(planned_work_kind::configuration);
    earlier.m_at = work_at - span(1000);
    const std::vector<std::string> found = planned_work_violations(
        {failed_request(work_at), failed_request(work_at + span(100))},
        {work_of(planned_work_kind::reload), earlier}, {}, bounds);
    ASSERT_EQ(found.size(), 2);
    EXPECT_NE(found[0].find(" 35 ms after SIGHUP"), std::string::npos);
    EXPECT_NE(found[1].find(" 135 ms after SIGHUP"), std::string::npos);
}

} // namespace kingcuprudder::soak
