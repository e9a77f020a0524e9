#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/dispatch/run_end_evidence.hpp>

#include <utility>

namespace kingcuprudder::dispatch
{

run_end_evidence::run_end_evidence(kind what, std::string reason,
                                   std::int64_t process, instant shown_at)
    : m_kind(what), m_reason(std::move(reason)), m_process(process),
      m_shown_at(shown_at)
{
}

run_end_evidence run_end_evidence::never_sent(std::string reason, instant now)
{
    return {kind::never_sent, std::move(reason), 0, now};
}

run_end_evidence run_end_evidence::refused(order_outcome outcome,
                                           std::int64_t process, instant now)
{
    KCR_ASSERT(outcome != order_outcome::accepted &&
               outcome != order_outcome::may_have_arrived);
    return {kind::refused, std::string(to_string(outcome)), process, now};
}

run_end_evidence run_end_evidence::reported(std::int64_t process, instant now)
{
    return {kind::reported, "ended", process, now};
}

run_end_evidence run_end_evidence::unlisted(std::int64_t process,
                                            instant accepted, instant requested)
{
    KCR_ASSERT(accepted < requested);
    return {kind::unlisted, "not on the worker", process, requested};
}

run_end_evidence run_end_evidence::lease_over(std::int64_t process,
                                              instant lease_end,
                                              instant known_until)
{
    KCR_ASSERT(lease_end < known_until);
    return {kind::lease_over, "worker lease over", process, lease_end};
}

run_end_evidence run_end_evidence::process_ended(std::int64_t process,
                                                 instant requested)
{
    return {kind::process_ended, "worker restarted", process, requested};
}

run_end_evidence run_end_evidence::process_replaced(std::int64_t process,
                                                    instant now)
{
    return {kind::process_replaced, "worker replaced", process, now};
}

run_end_evidence run_end_evidence::left(std::int64_t process, instant removed,
                                        instant requested)
{
    KCR_ASSERT(removed < requested);
    return {kind::left, "worker left", process, requested};
}

decision_fields run_end_evidence::fields(instant now) const
{
    return {{"reason", m_reason},
            {"ended_process", number(m_process)},
            {"evidence_age_ms", number((now - m_shown_at).count())}};
}

} // namespace kingcuprudder::dispatch
