#include "fault_worker.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr span hold_time = span::seconds(10);
constexpr span failure_delay(100);
constexpr span max_checkpoint_time(300);

} // namespace

fault_worker::fault_worker(fault_event_queue& queue, history_recorder& history,
                           const worker& self, heartbeat_hook on_heartbeat,
                           job_lookup jobs)
    : m_queue(queue), m_history(history), m_self(self),
      m_on_heartbeat(std::move(on_heartbeat)), m_jobs(std::move(jobs))
{
}

fault_worker::outcome fault_worker::on_command(const worker_call& call,
                                               std::size_t owner)
{
    if (call.m_epoch < m_epoch && !m_defects.m_ignores_epoch)
    {
        return worker_stale_epoch{m_epoch};
    }
    if (const auto* claim = std::get_if<worker_claim>(&call.m_command))
    {
        return on_claim(call, *claim, owner);
    }
    if (call.m_epoch != m_epoch && !m_defects.m_ignores_epoch)
    {
        return worker_refused{"not claimed"};
    }
    if (const auto* prepare = std::get_if<worker_prepare>(&call.m_command))
    {
        return on_prepare(*prepare);
    }
    if (const auto* start = std::get_if<worker_start>(&call.m_command))
    {
        return on_start(*start);
    }
    return on_stop(std::get<worker_stop>(call.m_command));
}

void fault_worker::on_heartbeat_answered(instant sent)
{
    if (!m_up)
    {
        return;
    }
    const bool lapsed = m_lease_until <= m_queue.now();
    m_lease_until = std::max(m_lease_until, sent + m_lease);
    if (lapsed)
    {
        watch_lease();
    }
}

worker_report fault_worker::report() const
{
    worker_report report{
        m_self.m_id, "boot-" + std::to_string(m_boot), m_epoch, {}};
    for (const auto& [attempt, each] : m_tasks)
    {
        report.m_tasks.push_back(each.m_report);
    }
    return report;
}

void fault_worker::crash()
{
    m_up = false;
    stop_all();
    m_tasks.clear();
    m_finished.clear();
    m_epoch = 0;
    m_lease_until = instant();
}

void fault_worker::restart()
{
    if (!m_up)
    {
        m_up = true;
        ++m_boot;
    }
}

fault_worker::outcome fault_worker::on_claim(const worker_call& call,
                                             const worker_claim& claim,
                                             std::size_t owner)
{
    const bool first = m_interval == span();
    m_epoch = std::max(m_epoch, call.m_epoch);
    m_owner = owner;
    m_interval = claim.m_heartbeat_interval;
    m_lease_until = m_queue.now() + claim.m_task_lease;
    m_lease = std::max(m_lease, claim.m_task_lease);
    watch_lease();
    if (first)
    {
        schedule_heartbeat();
    }
    drop_stale_holds();
    return report();
}

fault_worker::outcome fault_worker::on_prepare(const worker_prepare& command)
{
    drop_stale_holds();
    auto found = m_tasks.find(command.m_attempt);
    if (found != m_tasks.end())
    {
        found->second.m_hold_until = m_queue.now() + hold_time;
        return worker_done();
    }
    const bool conflict = !accelerators_free(command.m_accelerators) ||
                          m_finished.contains(command.m_attempt);
    if (conflict && !m_defects.m_ignores_conflicts)
    {
        return worker_refused{"accelerators in use or attempt finished"};
    }
    task held;
    held.m_report = {command.m_attempt, task_state::prepared,
                     command.m_accelerators, command.m_saved_run_time, ""};
    held.m_hold_until = m_queue.now() + hold_time;
    held.m_saved_before = command.m_saved_run_time;
    m_tasks[command.m_attempt] = held;
    return worker_done();
}

fault_worker::outcome fault_worker::on_start(const worker_start& command)
{
    drop_stale_holds();
    auto found = m_tasks.find(command.m_attempt);
    if (found == m_tasks.end())
    {
        return worker_refused{"not prepared"};
    }
    task& each = found->second;
    if (each.m_report.m_state != task_state::prepared)
    {
        return worker_done();
    }
    if (m_lease_until <= m_queue.now() && !m_defects.m_ignores_lease)
    {
        return worker_refused{"no task lease"};
    }
    each.m_report.m_state = task_state::running;
    each.m_started_at = m_queue.now();
    each.m_run = ++m_runs;
    if (m_defects.m_pretends_start)
    {
        return worker_done();
    }
    const fault_job& job = m_jobs(command.m_attempt.m_job);
    m_history.record(
        part_started{m_self.m_id, history_name(command.m_attempt.m_job),
                     command.m_attempt.m_attempt, each.m_report.m_accelerators,
                     job.m_gang_parts, job.m_idempotent, m_queue.now()});
    finish_later(command.m_attempt);
    return worker_done();
}

fault_worker::outcome fault_worker::on_stop(const worker_stop& command)
{
    auto found = m_tasks.find(command.m_attempt);
    m_finished[command.m_attempt] = true;
    if (found == m_tasks.end() || m_defects.m_ignores_stop)
    {
        return worker_done();
    }
    if (found->second.m_report.m_state != task_state::running)
    {
        m_tasks.erase(found);
        return worker_done();
    }
    const std::uint64_t run = found->second.m_run;
    const attempt_key attempt = command.m_attempt;
    m_queue.after(std::min(command.m_grace, max_checkpoint_time),
                  [this, attempt, run]
                  {
                      auto still = m_tasks.find(attempt);
                      if (still != m_tasks.end() && still->second.m_run == run)
                      {
                          end(attempt, task_state::stopped);
                      }
                  });
    return worker_done();
}

bool fault_worker::accelerators_free(std::uint64_t mask) const
{
    return std::none_of(m_tasks.begin(), m_tasks.end(),
                        [mask](const auto& each)
                        {
                            const task_report& held = each.second.m_report;
                            return (held.m_state == task_state::prepared ||
                                    held.m_state == task_state::running) &&
                                   (held.m_accelerators & mask) != 0;
                        });
}

void fault_worker::drop_stale_holds()
{
    std::erase_if(m_tasks,
                  [this](const auto& each)
                  {
                      return each.second.m_report.m_state ==
                                 task_state::prepared &&
                             each.second.m_hold_until <= m_queue.now();
                  });
}

void fault_worker::end(const attempt_key& attempt, task_state state)
{
    auto found = m_tasks.find(attempt);
    if (found == m_tasks.end() ||
        found->second.m_report.m_state != task_state::running)
    {
        return;
    }
    task& each = found->second;
    each.m_report.m_state = state;
    each.m_report.m_saved_run_time =
        each.m_saved_before + (m_queue.now() - each.m_started_at);
    if (state == task_state::succeeded)
    {
        each.m_report.m_answer = "done " + history_name(attempt.m_job);
    }
    m_history.record(part_ended{m_self.m_id, history_name(attempt.m_job),
                                attempt.m_attempt,
                                state == task_state::succeeded, m_queue.now()});
    report_now();
}

void fault_worker::stop_all()
{
    std::vector<attempt_key> attempts;
    for (const auto& [attempt, each] : m_tasks)
    {
        attempts.push_back(attempt);
    }
    for (const attempt_key& each : attempts)
    {
        end(each, task_state::stopped);
    }
}

void fault_worker::finish_later(const attempt_key& attempt)
{
    fault_job& job = m_jobs(attempt.m_job);
    const task& started = m_tasks.at(attempt);
    const std::uint64_t run = started.m_run;
    const bool fails = m_fails_tasks || job.m_failures > 0;
    if (!m_fails_tasks && fails)
    {
        --job.m_failures;
    }
    const span left =
        std::max(span(1), job.m_run_time - started.m_saved_before);
    m_queue.after(fails ? failure_delay : left,
                  [this, attempt, run, fails]
                  {
                      auto found = m_tasks.find(attempt);
                      if (found != m_tasks.end() && found->second.m_run == run)
                      {
                          end(attempt, fails ? task_state::failed
                                             : task_state::succeeded);
                      }
                  });
}

void fault_worker::schedule_heartbeat()
{
    m_queue.after(m_interval,
                  [this]
                  {
                      if (m_up)
                      {
                          drop_stale_holds();
                          report_now();
                      }
                      schedule_heartbeat();
                  });
}

void fault_worker::watch_lease()
{
    m_queue.after(std::max(span(), m_lease_until - m_queue.now()),
                  [this]
                  {
                      if (m_lease_until > m_queue.now())
                      {
                          watch_lease();
                          return;
                      }
                      if (m_defects.m_ignores_lease)
                      {
                          return;
                      }
                      stop_all();
                  });
}

} // namespace kingcuprudder
