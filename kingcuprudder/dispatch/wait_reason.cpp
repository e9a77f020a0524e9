#include <kingcuprudder/dispatch/wait_reason.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

// A job may have nothing running for this long before the cause is logged.
constexpr span usual_idle_time = span(1000);
constexpr span explanation_interval = span(1000);
// A line is repeated this often while its reason stays the same.
constexpr span repeated_line_interval = span(5000);

bool has_passed(const std::optional<instant>& last, span interval, instant now)
{
    return !last || now - *last >= interval;
}

wait_reason reason_without_run(const wait_facts& facts)
{
    const int needed = facts.m_needed;
    const room_by_condition& room = facts.m_room;
    if (room.m_listed < needed)
    {
        return wait_reason::no_room;
    }
    if (room.m_answering < needed)
    {
        return wait_reason::workers_do_not_answer;
    }
    if (room.m_not_avoided < needed)
    {
        return wait_reason::workers_avoided;
    }
    if (room.m_off_trial < needed)
    {
        return wait_reason::workers_on_trial;
    }
    if (room.m_quiet < needed)
    {
        return wait_reason::suspected_waits_for_quiet_worker;
    }
    if (room.m_apart < needed)
    {
        return wait_reason::interference;
    }
    if (!facts.m_leaves_urgent_headroom)
    {
        return wait_reason::urgent_headroom;
    }
    if (facts.m_one_rack && room.m_most_in_rack < needed)
    {
        return wait_reason::no_rack_has_room;
    }
    return room.m_near_data < needed ? wait_reason::waits_for_data_rack
                                     : wait_reason::unknown;
}

} // namespace

std::string_view to_string(wait_reason reason)
{
    switch (reason)
    {
    case wait_reason::previous_run_not_ended:
        return "previous_run_not_ended";
    case wait_reason::record_not_stored:
        return "record_not_stored";
    case wait_reason::stopped_run_holds_room:
        return "stopped_run_holds_room";
    case wait_reason::start_not_confirmed:
        return "start_not_confirmed";
    case wait_reason::no_room:
        return "no_room";
    case wait_reason::workers_do_not_answer:
        return "workers_do_not_answer";
    case wait_reason::workers_avoided:
        return "workers_avoided";
    case wait_reason::workers_on_trial:
        return "workers_on_trial";
    case wait_reason::suspected_waits_for_quiet_worker:
        return "suspected_waits_for_quiet_worker";
    case wait_reason::interference:
        return "interference";
    case wait_reason::urgent_headroom:
        return "urgent_headroom";
    case wait_reason::no_rack_has_room:
        return "no_rack_has_room";
    case wait_reason::waits_for_data_rack:
        return "waits_for_data_rack";
    case wait_reason::unknown:
        return "unknown";
    }
    return "unknown";
}

wait_reason find_wait_reason(const wait_facts& facts)
{
    switch (facts.m_run)
    {
    case pending_run::not_ended:
        return wait_reason::previous_run_not_ended;
    case pending_run::awaits_store:
        return wait_reason::record_not_stored;
    case pending_run::awaits_capacity:
        return wait_reason::stopped_run_holds_room;
    case pending_run::awaits_answer:
        return wait_reason::start_not_confirmed;
    case pending_run::none:
        break;
    }
    return reason_without_run(facts);
}

bool job_idleness::is_explanation_due(instant now) const
{
    return lasts(now) > usual_idle_time &&
           has_passed(m_explained_at, explanation_interval, now);
}

bool job_idleness::is_line_due(wait_reason reason, instant now) const
{
    return reason != m_logged_reason ||
           has_passed(m_logged_at, repeated_line_interval, now);
}

} // namespace kingcuprudder::dispatch
