#include <kingcuprudder/region/worker_table.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// Time for which an unresponsive worker gets no new work.
constexpr span suspicion_time = span::seconds(5);

/// Added to a task lease: two seconds for the transport of a claim or renewal,
/// and one second for clock drift.
constexpr span lease_margin = span::seconds(3);

/// Of the budget of 4 KB/s for control traffic, 3 KB/s are available for
/// heartbeats of 700 B each.
constexpr std::int64_t heartbeat_bytes = 700;
constexpr std::int64_t heartbeat_bytes_per_second = 3000;
constexpr span min_heartbeat_interval = span::seconds(2);
constexpr std::int64_t intervals_per_lease = 3;

/// Claims are repeated when the interval has changed by more than a quarter.
constexpr std::int64_t interval_tolerance = 4;

} // namespace

worker_table::worker_table(scheduler_context& context) : m_context(context) {}

void worker_table::open(epoch_number epoch, instant now)
{
    m_epoch = epoch;
    m_opened_at = now;
}

void worker_table::set_listed(const std::vector<worker>& workers, instant now)
{
    for (auto& [id, with] : m_contacts)
    {
        with.m_listed = false;
    }
    m_listed_count = workers.size();
    for (const worker& each : workers)
    {
        contact_of(each.m_id, now).m_listed = true;
    }
    for (auto& [id, with] : m_contacts)
    {
        const span change = heartbeat_interval() < with.m_interval
                                ? with.m_interval - heartbeat_interval()
                                : heartbeat_interval() - with.m_interval;
        if (with.m_claimed && change * interval_tolerance > with.m_interval)
        {
            with.m_next_claim = now;
        }
    }
}

void worker_table::track(const worker_id& id, instant now)
{
    contact_of(id, now);
}

std::vector<worker_id> worker_table::on_tick(instant now)
{
    std::vector<worker_id> lost;
    for (auto& [id, with] : m_contacts)
    {
        const bool wanted = !with.m_claimed || with.m_next_claim != instant();
        if (wanted && with.m_claim == 0 && with.m_next_claim <= now)
        {
            send_claim(id, with, now);
        }
        if (!with.m_lost && now > with.m_lease_expiry)
        {
            with.m_lost = true;
            with.m_claimed = false;
            with.m_next_claim = now;
            lost.push_back(id);
        }
    }
    return lost;
}

worker_table::report_kind
worker_table::on_heartbeat(const worker_report& report, instant now)
{
    if (report.m_epoch > m_epoch)
    {
        return report_kind::fenced;
    }
    contact& with = contact_of(report.m_worker, now);
    renew(with, now);
    if (!with.m_claimed || report.m_epoch != m_epoch ||
        report.m_boot != with.m_boot)
    {
        with.m_claimed = false;
        if (with.m_claim == 0)
        {
            send_claim(report.m_worker, with, now);
        }
        return report_kind::ignored;
    }
    mark_responsive(with, now);
    return report_kind::partial;
}

worker_table::report_kind
worker_table::on_claim_answer(const worker_answer& answer, instant now)
{
    m_claims.erase(answer.m_call);
    contact& with = contact_of(answer.m_worker, now);
    if (with.m_claim == answer.m_call)
    {
        with.m_claim = 0;
    }
    if (std::holds_alternative<worker_stale_epoch>(answer.m_outcome))
    {
        return report_kind::fenced;
    }
    const auto* report = std::get_if<worker_report>(&answer.m_outcome);
    if (report == nullptr)
    {
        with.m_next_claim = now + with.m_backoff.next(m_context.m_random);
        return report_kind::ignored;
    }
    with.m_boot = report->m_boot;
    with.m_claimed = true;
    with.m_next_claim = with.m_short_lease ? now : instant();
    with.m_answered_claim_sent_at = with.m_claim_sent_at;
    with.m_stale_tasks.clear();
    mark_responsive(with, now);
    return report_kind::full;
}

bool worker_table::claimed(const worker_id& id) const
{
    auto found = m_contacts.find(id);
    return found != m_contacts.end() && found->second.m_claimed;
}

bool worker_table::usable(const worker_id& id, instant now) const
{
    auto found = m_contacts.find(id);
    if (found == m_contacts.end())
    {
        return false;
    }
    const contact& with = found->second;
    return with.m_listed && with.m_claimed && with.m_suspect_until <= now &&
           with.m_stale_tasks.empty();
}

instant worker_table::claim_sent_at(const worker_id& id) const
{
    return m_contacts.at(id).m_answered_claim_sent_at;
}

void worker_table::on_unreachable(const worker_id& id, instant now)
{
    contact_of(id, now).m_suspect_until = now + suspicion_time;
}

void worker_table::claim_again(const worker_id& id, instant now)
{
    contact_of(id, now).m_next_claim = now;
}

void worker_table::stop_stale_task(const worker_id& id,
                                   const attempt_key& attempt,
                                   bool holds_accelerators)
{
    const call_number call =
        m_context.m_effects.command(id, m_epoch, worker_stop{attempt, span()});
    m_cleanups.emplace(call, attempt);
    if (holds_accelerators)
    {
        m_contacts.at(id).m_stale_tasks.insert(attempt);
    }
}

void worker_table::on_cleanup_answer(const worker_answer& answer, instant now)
{
    auto found = m_cleanups.find(answer.m_call);
    contact& with = contact_of(answer.m_worker, now);
    const bool waited = with.m_stale_tasks.erase(found->second) > 0;
    m_cleanups.erase(found);
    if (waited && !std::holds_alternative<worker_done>(answer.m_outcome))
    {
        // The report to the next claim shows whether the task still exists.
        with.m_claimed = false;
        with.m_next_claim = now + with.m_backoff.next(m_context.m_random);
    }
}

span worker_table::heartbeat_interval() const
{
    const span budgeted(static_cast<std::int64_t>(m_listed_count) *
                        heartbeat_bytes * 1000 / heartbeat_bytes_per_second);
    return std::max(min_heartbeat_interval, budgeted);
}

span worker_table::task_lease() const
{
    return std::max(m_context.m_settings.m_scheduler.m_min_task_lease,
                    heartbeat_interval() * intervals_per_lease);
}

std::size_t worker_table::claimed_count() const
{
    return static_cast<std::size_t>(
        std::count_if(m_contacts.begin(), m_contacts.end(),
                      [](const auto& each) { return each.second.m_claimed; }));
}

worker_table::contact& worker_table::contact_of(const worker_id& id,
                                                instant now)
{
    auto found = m_contacts.find(id);
    if (found == m_contacts.end())
    {
        contact with;
        with.m_next_claim = now;
        with.m_lease_expiry = m_opened_at + task_lease() + lease_margin;
        found = m_contacts.emplace(id, std::move(with)).first;
    }
    return found->second;
}

void worker_table::send_claim(const worker_id& id, contact& with, instant now)
{
    const span lease = lease_to_claim(with, now);
    with.m_interval = heartbeat_interval();
    with.m_claim_sent_at = now;
    with.m_claim = m_context.m_effects.command(
        id, m_epoch, worker_claim{with.m_interval, lease});
    m_claims.emplace(with.m_claim, id);
}

/// Returns the task lease to grant with a claim. A claim renews the lease even
/// if its answer is lost, so a worker that receives claims but whose reports
/// are lost would run its tasks forever. Until a report arrives, further claims
/// therefore grant only the remaining time of the lease.
span worker_table::lease_to_claim(contact& with, instant now) const
{
    if (with.m_claim_unconfirmed && !with.m_lost)
    {
        with.m_short_lease = true;
        return std::max(span(), with.m_lease_expiry - lease_margin - now);
    }
    with.m_claim_unconfirmed = true;
    with.m_short_lease = false;
    renew(with, now);
    return task_lease();
}

void worker_table::mark_responsive(contact& with, instant now)
{
    with.m_lost = false;
    with.m_suspect_until = instant();
    with.m_backoff.reset();
    with.m_claim_unconfirmed = false;
    renew(with, now);
}

void worker_table::renew(contact& with, instant now) const
{
    with.m_lease_expiry =
        std::max(with.m_lease_expiry, now + task_lease() + lease_margin);
}

} // namespace kingcuprudder
