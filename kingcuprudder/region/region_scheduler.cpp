#include <kingcuprudder/region/region_scheduler.hpp>

#include <algorithm>
#include <bit>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// Interval at which queued jobs are planned again without a change, since
/// reservations and aging depend on time.
constexpr span replan_interval = span::seconds(1);

constexpr span initial_prepare_backoff(200);
constexpr span max_prepare_backoff = span::seconds(5);

/// Maximum number of times that the quarantine time of a worker doubles.
constexpr std::uint32_t max_quarantine_doublings = 6;

} // namespace

region_scheduler::region_scheduler(const region_state& state, region_log& log,
                                   effect_sink& effects,
                                   const effective_settings& settings,
                                   placement_policy& policy,
                                   std::mt19937_64& random)
    : m_context{state, log, effects, settings, random}, m_policy(policy),
      m_workers(m_context),
      m_gangs(m_context, m_workers,
              [this](const worker_id& worker, const job_key& job,
                     bool part_succeeded)
              { on_part_ended(worker, job, part_succeeded); }),
      m_jobs(m_context, m_gangs, policy, m_capacity), m_permits(m_context)
{
}

void region_scheduler::open(const std::vector<worker>& workers, instant now)
{
    m_now = now;
    m_workers.open(m_context.m_state.epoch(), now);
    on_workers(workers, now);
    for (const job_key& job : m_context.m_state.active())
    {
        const job_entry& entry = *m_context.m_state.find_job(job);
        m_capacity.allocate(job, entry.m_spec.m_shape, entry.m_placement);
        m_gangs.add(entry, true, now);
    }
    for (const worker_id& lost : m_workers.on_tick(now))
    {
        m_gangs.on_worker_lost(lost, now);
    }
    m_plan_needed = true;
}

void region_scheduler::on_settings(instant /*now*/)
{
    m_policy_outdated = true;
    m_plan_needed = true;
}

void region_scheduler::on_workers(const std::vector<worker>& workers,
                                  instant now)
{
    m_capacity.set_workers(workers);
    m_workers.set_listed(workers, now);
    m_policy_outdated = true;
    m_plan_needed = true;
}

void region_scheduler::on_caller_call(const caller_call& call, instant now)
{
    m_now = now;
    const call_number number = call.m_call;
    if (const auto* submit = std::get_if<submit_job>(&call.m_request))
    {
        if (m_policy_outdated)
        {
            configure_policy();
        }
        m_jobs.on_submit(number, *submit, now);
    }
    else if (const auto* query = std::get_if<query_job>(&call.m_request))
    {
        m_jobs.on_query(number, *query, now);
    }
    else if (const auto* list = std::get_if<list_jobs>(&call.m_request))
    {
        m_jobs.on_list(number, *list);
    }
    else if (const auto* cancel = std::get_if<cancel_job>(&call.m_request))
    {
        m_jobs.on_cancel(number, *cancel, now);
    }
    else if (const auto* why = std::get_if<explain_job>(&call.m_request))
    {
        explain(number, *why);
    }
    else if (const auto* permit = std::get_if<request_permit>(&call.m_request))
    {
        m_permits.on_request(number, *permit, now);
    }
    else
    {
        m_permits.on_end(number, std::get<end_request>(call.m_request), now);
    }
}

void region_scheduler::on_heartbeat(const worker_report& report, instant now)
{
    m_now = now;
    on_report(report, m_workers.on_heartbeat(report, now), now);
}

void region_scheduler::on_worker_answer(const worker_answer& answer,
                                        instant now)
{
    m_now = now;
    if (std::holds_alternative<worker_stale_epoch>(answer.m_outcome))
    {
        m_fenced = true;
        return;
    }
    if (m_workers.is_claim(answer.m_call))
    {
        const auto kind = m_workers.on_claim_answer(answer, now);
        if (const auto* report = std::get_if<worker_report>(&answer.m_outcome))
        {
            on_report(*report, kind, now);
        }
    }
    else if (m_workers.is_cleanup(answer.m_call))
    {
        m_workers.on_cleanup_answer(answer, now);
        m_plan_needed = true;
    }
    else if (m_gangs.is_command(answer.m_call))
    {
        m_gangs.on_answer(answer, now);
    }
}

void region_scheduler::on_committed(const log_record& record, instant now)
{
    m_now = now;
    m_decisions.count(record);
    std::visit([&](const auto& each) { committed(each, now); }, record);
}

void region_scheduler::on_tick(instant now)
{
    m_now = now;
    for (const worker_id& lost : m_workers.on_tick(now))
    {
        m_gangs.on_worker_lost(lost, now);
        m_plan_needed = true;
    }
    m_gangs.on_tick(now);
    m_jobs.on_tick(now);
    m_permits.on_tick(now);
    restore_workers(now);
    if (now >= m_next_plan && !m_context.m_state.queued().empty())
    {
        m_plan_needed = true;
    }
}

void region_scheduler::plan_if_needed(instant now)
{
    if (!m_plan_needed || !m_planning || m_context.m_log.stalled(now))
    {
        return;
    }
    m_plan_needed = false;
    m_next_plan = now + replan_interval;
    if (m_context.m_state.queued().empty())
    {
        m_wait_reasons.clear();
        return;
    }
    plan_now(now);
}

void region_scheduler::step_down(const std::string& owner)
{
    m_jobs.step_down(owner);
    m_permits.step_down(owner);
}

std::string region_scheduler::dump() const
{
    const region_state& state = m_context.m_state;
    std::string text;
    text += "jobs " + std::to_string(state.jobs().size()) + "\n";
    text += "queued " + std::to_string(state.queued().size()) + "\n";
    text += "active " + std::to_string(state.active().size()) + "\n";
    text +=
        "open permits " + std::to_string(state.open_permits().size()) + "\n";
    text += "workers listed " + std::to_string(m_capacity.view().size()) + "\n";
    text +=
        "workers claimed " + std::to_string(m_workers.claimed_count()) + "\n";
    for (const auto& [worker, entry] : state.quarantines())
    {
        if (entry.m_active)
        {
            text += "set aside " + worker.str() + " until " +
                    std::to_string(entry.m_until.count()) + "\n";
        }
    }
    return text;
}

region_statistics region_scheduler::statistics() const
{
    const region_state& state = m_context.m_state;
    const cluster& workers = m_capacity.view();
    region_statistics numbers;
    numbers.m_owning = true;
    numbers.m_queued_jobs = state.queued().size();
    numbers.m_active_jobs = state.active().size();
    numbers.m_open_permits = state.open_permits().size();
    numbers.m_listed_workers = workers.size();
    numbers.m_decisions = m_decisions;
    for (const auto& [worker, entry] : state.quarantines())
    {
        numbers.m_set_aside_workers += entry.m_active ? 1 : 0;
    }
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        const auto free = static_cast<std::uint32_t>(
            std::popcount(workers.free_at(i).m_accelerators));
        numbers.m_free_accelerators += free;
        if (free < workers.worker_at(i).m_accelerators)
        {
            numbers.m_scattered_accelerators += free;
        }
    }
    return numbers;
}

void region_scheduler::committed(const job_accepted& record, instant /*now*/)
{
    m_jobs.on_accepted(record.m_spec.m_key);
    m_plan_needed = true;
}

void region_scheduler::committed(const job_placed& record, instant now)
{
    m_gangs.add(*m_context.m_state.find_job(record.m_job), false, now);
    m_jobs.on_placed(record.m_job, now);
}

void region_scheduler::committed(const job_started& record, instant now)
{
    m_prepare_backoffs.erase(record.m_job);
    m_gangs.on_phase(record.m_job, now);
}

void region_scheduler::committed(const job_stopping& record, instant now)
{
    m_jobs.on_stopping(record.m_job);
    m_gangs.on_phase(record.m_job, now);
}

void region_scheduler::committed(const job_released& record, instant now)
{
    m_gangs.remove(record.m_job);
    m_capacity.release(record.m_job);
    if (record.m_reason == stop_reason::prepare_failed)
    {
        auto found = m_prepare_backoffs
                         .try_emplace(record.m_job, now,
                                      retry_backoff(initial_prepare_backoff,
                                                    max_prepare_backoff))
                         .first;
        found->second.first =
            now + found->second.second.next(m_context.m_random);
    }
    m_jobs.on_queued_again(record.m_job, now);
    m_plan_needed = true;
}

void region_scheduler::committed(const job_ended& record, instant /*now*/)
{
    if (m_gangs.contains(record.m_job))
    {
        m_gangs.remove(record.m_job);
        m_capacity.release(record.m_job);
        m_plan_needed = true;
    }
    m_prepare_backoffs.erase(record.m_job);
    m_wait_reasons.erase(record.m_job);
    m_jobs.on_ended(record.m_job);
}

void region_scheduler::committed(const request_permitted& record, instant now)
{
    m_permits.on_committed(record, now);
}

void region_scheduler::committed(const request_ended& record, instant /*now*/)
{
    m_permits.on_committed(record);
}

void region_scheduler::committed(const worker_set_aside& record,
                                 instant /*now*/)
{
    m_pending_workers.erase(record.m_worker);
    m_failures.erase(record.m_worker);
    m_plan_needed = true;
}

void region_scheduler::committed(const worker_restored& record, instant /*now*/)
{
    m_pending_workers.erase(record.m_worker);
    m_plan_needed = true;
}

void region_scheduler::explain(call_number call, const explain_job& request)
{
    const job_entry* entry = m_context.m_state.find_job(request.m_job);
    if (entry == nullptr)
    {
        m_context.m_effects.answer(call, error{error_code::unknown_job,
                                               "no job with this id exists",
                                               verdict::not_run});
        return;
    }
    wait_reason reason{request.m_job, "the job is waiting to be planned",
                       instant()};
    auto found = m_wait_reasons.find(request.m_job);
    if (entry->m_phase != job_phase::queued)
    {
        reason.m_text = "the job is " + std::string(to_string(entry->m_phase));
    }
    else if (found != m_wait_reasons.end())
    {
        reason = found->second;
    }
    m_context.m_effects.answer(call, caller_reply(std::move(reason)));
}

void region_scheduler::on_report(const worker_report& report,
                                 worker_table::report_kind kind, instant now)
{
    if (kind == worker_table::report_kind::fenced)
    {
        m_fenced = true;
    }
    else if (kind != worker_table::report_kind::ignored)
    {
        const bool full = kind == worker_table::report_kind::full;
        m_gangs.on_report(report, full, now);
        m_plan_needed = m_plan_needed || full;
    }
}

void region_scheduler::on_part_ended(const worker_id& worker,
                                     const job_key& job, bool part_succeeded)
{
    if (!part_succeeded)
    {
        std::set<job_key>& failed = m_failures[worker];
        failed.insert(job);
        if (failed.size() >=
            m_context.m_settings.m_scheduler.m_worker_failures_before_set_aside)
        {
            quarantine(worker);
        }
        return;
    }
    m_failures.erase(worker);
    // A success resets the quarantine time to its initial length.
    auto found = m_context.m_state.quarantines().find(worker);
    if (found != m_context.m_state.quarantines().end() &&
        !found->second.m_active && m_pending_workers.insert(worker).second)
    {
        m_context.m_log.append(worker_restored{worker});
    }
}

void region_scheduler::quarantine(const worker_id& worker)
{
    const auto& all = m_context.m_state.quarantines();
    auto found = all.find(worker);
    if (found != all.end() && found->second.m_active)
    {
        return;
    }
    if (!m_pending_workers.insert(worker).second)
    {
        return;
    }
    const std::uint32_t times = found == all.end() ? 0 : found->second.m_times;
    const std::int64_t factor = std::int64_t{1}
                                << std::min(times, max_quarantine_doublings);
    m_context.m_log.append(worker_set_aside{
        worker,
        m_now + m_context.m_settings.m_scheduler.m_worker_probation * factor});
}

void region_scheduler::restore_workers(instant now)
{
    for (const auto& [worker, entry] : m_context.m_state.quarantines())
    {
        if (entry.m_active && entry.m_until <= now &&
            m_pending_workers.insert(worker).second)
        {
            m_context.m_log.append(worker_restored{worker});
        }
    }
}

void region_scheduler::update_usable(instant now)
{
    const cluster& view = m_capacity.view();
    const auto& quarantines = m_context.m_state.quarantines();
    for (std::size_t index = 0; index < view.size(); ++index)
    {
        const worker_id& id = view.worker_at(index).m_id;
        auto found = quarantines.find(id);
        const bool quarantined =
            found != quarantines.end() && found->second.m_active;
        m_capacity.set_usable(id, !quarantined && m_workers.usable(id, now));
    }
}

void region_scheduler::configure_policy()
{
    m_policy.configure(m_context.m_settings, m_capacity.view(), running_view());
    m_policy_outdated = false;
}

void region_scheduler::plan_now(instant now)
{
    update_usable(now);
    if (m_policy_outdated)
    {
        configure_policy();
    }
    const std::vector<queued_job> queue = queue_view(now);
    if (!queue.empty())
    {
        apply_plan(
            m_policy.make_plan(m_capacity.view(), queue, running_view(), now),
            now);
    }
}

void region_scheduler::apply_plan(const plan& planned, instant now)
{
    for (const planned_placement& each : planned.m_placements)
    {
        const job_entry* entry = m_context.m_state.find_job(each.m_job);
        if (entry == nullptr || entry->m_phase != job_phase::queued ||
            m_jobs.pending(each.m_job) ||
            !m_capacity.is_free(entry->m_spec.m_shape, each.m_placement))
        {
            continue;
        }
        m_capacity.allocate(each.m_job, entry->m_spec.m_shape,
                            each.m_placement);
        m_jobs.place(*entry, each.m_placement, now);
    }
    for (const planned_reclaim& each : planned.m_reclaims)
    {
        const job_entry* entry = m_context.m_state.find_job(each.m_victim);
        if (entry != nullptr && entry->m_spec.m_idempotent &&
            entry->m_spec.m_preemptible && m_gangs.contains(each.m_victim))
        {
            m_gangs.request_stop(each.m_victim, stop_reason::reclaimed, now);
        }
    }
    m_wait_reasons.clear();
    for (const wait_reason& each : planned.m_wait_reasons)
    {
        m_wait_reasons.emplace(each.m_job, each);
    }
}

std::vector<queued_job> region_scheduler::queue_view(instant now) const
{
    std::vector<queued_job> queue;
    for (const auto& [accepted, job] : m_context.m_state.queued())
    {
        auto backoff = m_prepare_backoffs.find(job);
        if (m_jobs.pending(job) || (backoff != m_prepare_backoffs.end() &&
                                    backoff->second.first > now))
        {
            continue;
        }
        const job_entry& entry = *m_context.m_state.find_job(job);
        queued_job view{entry.m_spec, accepted, entry.saved_run_time(), {}};
        // The policy does not need the payload; copies of it would be large.
        view.m_spec.m_payload.clear();
        for (const job_released& failure : entry.m_failures)
        {
            view.m_excluded_workers.insert(view.m_excluded_workers.end(),
                                           failure.m_failed_workers.begin(),
                                           failure.m_failed_workers.end());
        }
        queue.push_back(std::move(view));
    }
    return queue;
}

std::vector<running_job> region_scheduler::running_view() const
{
    std::vector<running_job> running;
    for (const job_key& job : m_context.m_state.active())
    {
        const job_entry& entry = *m_context.m_state.find_job(job);
        running_job view{entry.m_spec, entry.m_placement, entry.m_placed_at,
                         entry.saved_run_time(),
                         entry.m_phase == job_phase::stopping ||
                             m_gangs.stopping(job)};
        view.m_spec.m_payload.clear();
        running.push_back(std::move(view));
    }
    return running;
}

} // namespace kingcuprudder
