#include "fault_harness.hpp"

#include "fault_policy.hpp"
#include <kingcuprudder/codec/codec.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr span tick_interval(50);
constexpr span worker_timeout = span::seconds(2);
constexpr span caller_timeout(1500);
constexpr span caller_retry(300);
constexpr span refused_retry = span::seconds(1);

owner_codec make_codec()
{
    owner_codec codec;
    codec.m_encode_entry = [](const log_entry& entry)
    { return to_cbor(entry); };
    codec.m_decode_entry = [](std::string_view bytes)
    { return from_cbor<log_entry>(bytes); };
    codec.m_encode_owner = [](const owner_record& owner)
    { return owner.m_instance.str() + "|" + owner.m_address; };
    codec.m_decode_owner = [](std::string_view text) -> result<owner_record>
    {
        const std::size_t bar = text.find('|');
        return owner_record{instance_id(std::string(text.substr(0, bar))),
                            std::string(text.substr(bar + 1))};
    };
    return codec;
}

const region_id test_region("region");

} // namespace

fault_harness::fault_harness(const options& wanted)
    : m_options(wanted), m_random(wanted.m_seed),
      m_store(m_queue, wanted.m_seed + 1), m_codec(make_codec()),
      m_instances(wanted.m_instances)
{
    m_settings.m_revision = 1;
    m_settings.m_accounts[account_id("a")].m_max_queued_jobs = 10000;
    m_settings.m_accounts[account_id("b")].m_max_queued_jobs = 10000;
    for (std::size_t index = 0; index < wanted.m_workers; ++index)
    {
        const std::size_t rack = index / wanted.m_workers_per_rack;
        const worker self{worker_id("w" + std::to_string(index)),
                          zone_id("z" + std::to_string(rack / 2)),
                          rack_id("r" + std::to_string(rack)),
                          wanted.m_accelerators,
                          64,
                          1 << 20,
                          "127.0.0.1:1"};
        m_workers.push_back(std::make_unique<fault_worker>(
            m_queue, m_history, self,
            [this](fault_worker& from) { on_heartbeat(from); },
            [this](const job_key& job) -> fault_job& { return m_jobs[job]; }));
    }
    m_store.on_change(
        [this](const std::string& key)
        {
            if (key == "live/owner/" + test_region.str())
            {
                for (std::size_t index = 0; index < m_instances.size(); ++index)
                {
                    send_owner_key(index);
                }
            }
        });
    for (std::size_t index = 0; index < m_instances.size(); ++index)
    {
        start_instance(index);
    }
}

void fault_harness::run_until(instant until)
{
    bool passed = false;
    m_queue.after(until - now(), [&passed] { passed = true; });
    while (!passed && m_queue.run_one())
    {
    }
}

bool fault_harness::run_to_end(span limit)
{
    const instant until = now() + limit;
    while (now() < until)
    {
        if (all_ended())
        {
            return true;
        }
        run_for(span::seconds(1));
    }
    return all_ended();
}

void fault_harness::submit(const job_spec& spec, const fault_job& behaviour,
                           bool persistent)
{
    m_jobs[spec.m_key] = behaviour;
    ++m_open_submissions;
    send_call("caller of " + history_name(spec.m_key), call_kind::submit,
              history_name(spec.m_key), spec.m_idempotent, submit_job{spec},
              [this, spec, persistent](const result<caller_reply>& reply)
              {
                  --m_open_submissions;
                  if (succeeded(reply))
                  {
                      m_accepted.insert(spec.m_key);
                      note_status(std::get<job_status>(value_of(reply)));
                      await_end(spec.m_key);
                      return;
                  }
                  const error& refused = error_of(reply);
                  const bool again =
                      refused.m_code == error_code::store_unavailable &&
                      (persistent || refused.m_verdict != verdict::not_run);
                  if (again)
                  {
                      ++m_open_submissions;
                      m_queue.after(refused_retry,
                                    [this, spec, persistent]
                                    {
                                        --m_open_submissions;
                                        submit(spec, m_jobs[spec.m_key],
                                               persistent);
                                    });
                  }
              });
}

void fault_harness::cancel(const job_key& job)
{
    send_call("canceller of " + history_name(job), call_kind::cancel,
              history_name(job), true, cancel_job{job},
              [this](const result<caller_reply>& reply)
              {
                  if (succeeded(reply))
                  {
                      note_status(std::get<job_status>(value_of(reply)));
                  }
              });
}

void fault_harness::request(const std::string& id)
{
    const request_key key{account_id("a"), request_id(id)};
    const std::string holder = "holder of " + id;
    request_permit wanted{key, 7, holder, now() + span::seconds(20)};
    send_call(holder, call_kind::request, id, false, wanted,
              [this, key, holder, id](const result<caller_reply>& reply)
              {
                  if (!succeeded(reply) ||
                      !std::holds_alternative<permit_granted>(value_of(reply)))
                  {
                      return;
                  }
                  m_history.record(request_executed{id, false, now()});
                  send_call(holder, call_kind::query, id, true,
                            end_request{key, holder, verdict::ran, "result"},
                            [](const result<caller_reply>&) {});
              });
}

void fault_harness::call(std::size_t instance, const caller_call& call)
{
    deliver(instance, m_instances[instance].m_incarnation,
            [this, call](region_owner& owner)
            { return owner.on_caller_call(call, now()); });
}

void fault_harness::kill(std::size_t instance, span absence)
{
    simulated_instance& killed = m_instances[instance];
    if (!killed.m_owner)
    {
        return;
    }
    killed.m_owner.reset();
    ++killed.m_incarnation;
    killed.m_frozen_until = instant();
    m_queue.after(absence, [this, instance] { start_instance(instance); });
}

void fault_harness::freeze(std::size_t instance, span time)
{
    m_instances[instance].m_frozen_until =
        std::max(m_instances[instance].m_frozen_until, now() + time);
}

void fault_harness::drain(std::size_t instance)
{
    simulated_instance& drained = m_instances[instance];
    if (!drained.m_owner || drained.m_draining)
    {
        return;
    }
    drained.m_draining = true;
    reached(fault_step::drain);
    deliver(instance, drained.m_incarnation,
            [this](region_owner& owner)
            { return owner.begin_shutdown(now()); });
}

void fault_harness::lose_worker(std::size_t worker, span absence)
{
    fault_worker& lost = *m_workers[worker];
    lost.crash();
    m_queue.after(absence, [&lost] { lost.restart(); });
}

void fault_harness::block_worker(std::size_t worker, bool commands,
                                 bool reports, span time)
{
    fault_worker& blocked = *m_workers[worker];
    blocked.m_commands_delivered = blocked.m_commands_delivered && !commands;
    blocked.m_reports_delivered = blocked.m_reports_delivered && !reports;
    m_queue.after(time,
                  [&blocked]
                  {
                      blocked.m_commands_delivered = true;
                      blocked.m_reports_delivered = true;
                  });
}

void fault_harness::set_failing(std::size_t worker, span time)
{
    fault_worker& failing = *m_workers[worker];
    failing.m_fails_tasks = true;
    m_queue.after(time, [&failing] { failing.m_fails_tasks = false; });
}

void fault_harness::lose_rack(span absence)
{
    for (std::size_t index = 0; index < m_options.m_workers_per_rack; ++index)
    {
        lose_worker(index, absence);
        m_unlisted.insert(index);
    }
    m_queue.after(span::seconds(5), [this] { send_worker_list(); });
    m_queue.after(absence,
                  [this]
                  {
                      m_unlisted.clear();
                      send_worker_list();
                  });
}

void fault_harness::scale_run_times(std::int64_t factor, std::int64_t divisor)
{
    for (auto& [job, behaviour] : m_jobs)
    {
        behaviour.m_run_time = behaviour.m_run_time * factor / divisor;
    }
}

void fault_harness::announce_draining(std::size_t worker)
{
    m_history.record(
        target_draining{m_workers[worker]->id().str(), true, now()});
    m_unlisted.insert(worker);
    m_queue.after(span::seconds(1), [this] { send_worker_list(); });
}

void fault_harness::on_step(fault_step step, std::function<void()> hook)
{
    m_step_hooks[step].push_back(std::move(hook));
}

std::optional<std::size_t> fault_harness::owner() const
{
    std::optional<std::size_t> latest;
    for (std::size_t index = 0; index < m_instances.size(); ++index)
    {
        const auto& each = m_instances[index].m_owner;
        if (each && each->owning() &&
            (!latest || m_instances[*latest].m_owner->epoch() < each->epoch()))
        {
            latest = index;
        }
    }
    return latest;
}

bool fault_harness::all_ended() const
{
    return m_open_submissions == 0 && m_accepted.size() == m_ended.size();
}

std::string fault_harness::unfinished() const
{
    std::string names;
    for (const job_key& job : m_accepted)
    {
        if (!m_ended.contains(job))
        {
            names += history_name(job) + " ";
        }
    }
    return names;
}

void fault_harness::set_settings(const effective_settings& settings)
{
    m_settings = settings;
    for (std::size_t index = 0; index < m_instances.size(); ++index)
    {
        deliver(index, m_instances[index].m_incarnation,
                [this, settings](region_owner& owner)
                { return owner.on_settings(settings, now()); });
    }
}

void fault_harness::send_worker_list()
{
    std::vector<worker> listed;
    for (std::size_t index = 0; index < m_workers.size(); ++index)
    {
        if (!m_unlisted.contains(index))
        {
            listed.push_back(m_workers[index]->self());
        }
    }
    for (std::size_t index = 0; index < m_instances.size(); ++index)
    {
        deliver(index, m_instances[index].m_incarnation,
                [this, listed](region_owner& owner)
                { return owner.on_workers(listed, now()); });
    }
}

void fault_harness::start_instance(std::size_t index)
{
    simulated_instance& started = m_instances[index];
    const std::string name = "i" + std::to_string(index);
    const owner_options self{test_region, instance_id(name), name, m_random()};
    started.m_owner = std::make_unique<region_owner>(
        self, m_codec, std::make_unique<fault_policy>());
    started.m_draining = false;
    const std::uint64_t incarnation = started.m_incarnation;
    deliver(index, incarnation,
            [this](region_owner& owner)
            { return owner.on_settings(m_settings, now()); });
    send_worker_list();
    send_owner_key(index);
    tick(index, incarnation);
}

void fault_harness::tick(std::size_t index, std::uint64_t incarnation)
{
    simulated_instance& each = m_instances[index];
    if (!each.m_owner || each.m_incarnation != incarnation)
    {
        return;
    }
    if (each.m_draining && each.m_owner->shut_down())
    {
        kill(index, span::seconds(5));
        return;
    }
    // A paused process misses its ticks.
    if (each.m_frozen_until <= now())
    {
        deliver(index, incarnation,
                [this](region_owner& owner) { return owner.on_tick(now()); });
    }
    m_queue.after(tick_interval,
                  [this, index, incarnation] { tick(index, incarnation); });
}

void fault_harness::deliver(std::size_t index, std::uint64_t incarnation,
                            event handle)
{
    simulated_instance& to = m_instances[index];
    if (!to.m_owner || to.m_incarnation != incarnation)
    {
        return;
    }
    if (to.m_frozen_until > now())
    {
        m_queue.after(to.m_frozen_until - now(),
                      [this, index, incarnation, handle]
                      { deliver(index, incarnation, handle); });
        return;
    }
    carry_out(index, handle(*to.m_owner));
}

void fault_harness::carry_out(std::size_t index, region_owner::effects effects)
{
    if (m_hooks.m_on_effects)
    {
        m_hooks.m_on_effects(index, effects);
    }
    for (const owner_effect& each : effects)
    {
        std::visit([&](const auto& effect) { carry_out_one(index, effect); },
                   each);
    }
}

void fault_harness::carry_out_one(std::size_t index, const store_call& call)
{
    if (const auto* put = std::get_if<store_put>(&call.m_operation))
    {
        observe_write(*put);
    }
    const std::uint64_t incarnation = m_instances[index].m_incarnation;
    m_store.call(call,
                 [this, index, incarnation](const store_answer& answer)
                 {
                     deliver(index, incarnation,
                             [this, answer](region_owner& owner)
                             { return owner.on_store_answer(answer, now()); });
                 });
}

void fault_harness::carry_out_one(std::size_t index, const worker_call& call)
{
    const std::uint64_t incarnation = m_instances[index].m_incarnation;
    auto found = std::find_if(m_workers.begin(), m_workers.end(),
                              [&](const auto& each)
                              { return each->id() == call.m_worker; });
    fault_worker& to = **found;
    if (const auto* prepare = std::get_if<worker_prepare>(&call.m_command))
    {
        m_history.record(work_placed{call.m_worker.str(),
                                     history_name(prepare->m_attempt.m_job),
                                     now()});
        reached(fault_step::reserve);
    }
    else if (std::holds_alternative<worker_start>(call.m_command))
    {
        reached(fault_step::start);
    }
    else if (const auto* stop = std::get_if<worker_stop>(&call.m_command))
    {
        observe_stop(stop->m_attempt);
    }
    const auto answer_later = [this, index, incarnation,
                               call](span delay, fault_worker::outcome outcome)
    {
        m_queue.after(
            delay,
            [this, index, incarnation, call, outcome]
            {
                const worker_answer answer{call.m_call, call.m_worker, outcome};
                deliver(index, incarnation,
                        [this, answer](region_owner& owner)
                        { return owner.on_worker_answer(answer, now()); });
            });
    };
    m_queue.after(latency(),
                  [this, index, &to, call, answer_later]
                  {
                      if (!to.up() || !to.m_commands_delivered)
                      {
                          answer_later(worker_timeout, worker_unreachable());
                          return;
                      }
                      const fault_worker::outcome outcome =
                          to.on_command(call, index);
                      if (!to.m_reports_delivered)
                      {
                          answer_later(worker_timeout, worker_unreachable());
                          return;
                      }
                      answer_later(latency(), outcome);
                  });
}

void fault_harness::carry_out_one(std::size_t index,
                                  const caller_answer& answer)
{
    (void)index;
    m_queue.after(
        latency(),
        [this, answer]
        {
            auto found = m_calls.find(answer.m_call);
            if (found == m_calls.end() || now() < m_callers_silent_until)
            {
                return;
            }
            const open_call call = std::move(found->second);
            m_calls.erase(found);
            std::string subject;
            if (succeeded(answer.m_reply))
            {
                const caller_reply& reply = value_of(answer.m_reply);
                const auto* status = std::get_if<job_status>(&reply);
                subject =
                    status == nullptr ? "" : history_name(status->m_spec.m_key);
            }
            const bool refused = !succeeded(answer.m_reply);
            m_history.record(call_answered{
                call.m_history, call.m_caller, subject,
                refused ? std::optional(error_of(answer.m_reply).m_verdict)
                        : std::nullopt,
                now()});
            call.m_on_answer(answer.m_reply);
        });
}

void fault_harness::observe_write(const store_put& operation)
{
    if (operation.m_key.find("/log/") == std::string::npos)
    {
        return;
    }
    const result<log_entry> read = m_codec.m_decode_entry(operation.m_value);
    for (const log_record& each : value_of(read).m_records)
    {
        observe_record(each);
    }
}

void fault_harness::observe_record(const log_record& record)
{
    if (std::holds_alternative<job_accepted>(record))
    {
        reached(fault_step::record);
    }
    else if (const auto* placed = std::get_if<job_placed>(&record))
    {
        reached(fault_step::decide);
        m_jobs[placed->m_job].m_gang_parts =
            static_cast<std::uint32_t>(placed->m_placement.size());
    }
    else if (std::holds_alternative<job_started>(record))
    {
        reached(fault_step::commit);
        m_queue.after(span::seconds(1), [this] { reached(fault_step::run); });
    }
    else if (const auto* ended = std::get_if<job_ended>(&record))
    {
        reached(fault_step::answer);
        end_reclaim({ended->m_job, ended->m_attempt});
    }
    else if (const auto* released = std::get_if<job_released>(&record))
    {
        reached(fault_step::release);
        end_reclaim({released->m_job, released->m_attempt});
    }
    else if (std::holds_alternative<epoch_started>(record))
    {
        reached(fault_step::hand_over);
    }
    else if (const auto* stop = std::get_if<job_stopping>(&record))
    {
        if (stop->m_reason == stop_reason::reclaimed)
        {
            reached(fault_step::reclaim);
            m_reclaimed.insert({stop->m_job, stop->m_attempt});
        }
    }
}

void fault_harness::observe_stop(const attempt_key& attempt)
{
    const std::string name = history_name(attempt.m_job);
    m_history.record(stop_requested{name, attempt.m_attempt, now()});
    if (m_reclaimed.erase(attempt) > 0)
    {
        m_history.record(
            reclaim_requested{name, attempt.m_attempt, m_reclaim_bound, now()});
    }
}

void fault_harness::end_reclaim(const attempt_key& attempt)
{
    m_history.record(reclaim_completed{history_name(attempt.m_job),
                                       attempt.m_attempt, now()});
}

void fault_harness::reached(fault_step step)
{
    auto found = m_step_hooks.find(step);
    if (found == m_step_hooks.end() || found->second.empty())
    {
        return;
    }
    const std::vector<std::function<void()>> hooks = std::move(found->second);
    found->second.clear();
    for (const auto& hook : hooks)
    {
        // Runs the hook after the current event, so that a kill does not
        // destroy the instance whose effects are being carried out.
        m_queue.after(span(), hook);
    }
}

void fault_harness::on_heartbeat(fault_worker& from)
{
    if (!from.up() || !from.m_reports_delivered)
    {
        return;
    }
    const instant sent = now();
    const std::size_t index = from.owner();
    const std::uint64_t incarnation = m_instances[index].m_incarnation;
    const worker_report report = from.report();
    for (const task_report& each : report.m_tasks)
    {
        if (each.m_state == task_state::succeeded)
        {
            reached(fault_step::report);
        }
    }
    m_queue.after(
        latency(),
        [this, index, incarnation, report, sent, &from]
        {
            deliver(index, incarnation,
                    [this, report, sent, &from](region_owner& owner)
                    {
                        auto effects = owner.on_heartbeat(report, now());
                        const bool renews = owner.renews_task_leases(now()) &&
                                            owner.epoch() == report.m_epoch;
                        if (renews && from.m_commands_delivered && from.up())
                        {
                            from.on_heartbeat_answered(sent);
                        }
                        return effects;
                    });
        });
}

void fault_harness::send_owner_key(std::size_t index)
{
    const store_value value = m_store.read("live/owner/" + test_region.str());
    std::optional<owner_record> owner;
    if (value.m_revision != 0)
    {
        owner = value_of(m_codec.m_decode_owner(value.m_value));
    }
    deliver(index, m_instances[index].m_incarnation,
            [this, owner, value](region_owner& to)
            { return to.on_owner_key(owner, value.m_revision, now()); });
}

span fault_harness::latency()
{
    std::uniform_int_distribution<std::int64_t> pick(1, 3);
    return span(pick(m_random));
}

void fault_harness::send_call(
    const std::string& caller, call_kind kind, const std::string& subject,
    bool idempotent, decltype(caller_call::m_request) request,
    std::function<void(const result<caller_reply>&)> on_answer)
{
    const history_call_id number = m_history.next_call();
    m_history.record(
        call_invoked{number, caller, kind, subject, idempotent, now()});
    const auto again =
        [this, caller, kind, subject, idempotent, request, on_answer]
    { send_call(caller, kind, subject, idempotent, request, on_answer); };
    caller_call call{++m_last_call, request};
    if (m_hooks.m_on_caller_call)
    {
        m_hooks.m_on_caller_call(call);
    }
    const auto answered =
        [this, again, on_answer](const result<caller_reply>& reply)
    {
        const bool elsewhere = !succeeded(reply) &&
                               error_of(reply).m_code == error_code::not_owner;
        if (elsewhere)
        {
            m_queue.after(caller_retry, again);
            return;
        }
        on_answer(reply);
    };
    const call_number sent = call.m_call;
    m_calls.emplace(sent, open_call{number, caller, subject, answered});
    const std::size_t index = m_next_instance++ % m_instances.size();
    const std::uint64_t incarnation = m_instances[index].m_incarnation;
    m_queue.after(latency(),
                  [this, index, incarnation, call]
                  {
                      if (m_instances[index].m_owner &&
                          m_instances[index].m_owner->owning())
                      {
                          reached(fault_step::accept);
                      }
                      deliver(index, incarnation,
                              [this, call](region_owner& owner)
                              { return owner.on_caller_call(call, now()); });
                  });
    m_queue.after(caller_timeout,
                  [this, sent, again]
                  {
                      // Without an answer the caller abandons the call and
                      // repeats it; every call here is safe to repeat.
                      if (m_calls.erase(sent) > 0)
                      {
                          again();
                      }
                  });
}

void fault_harness::await_end(const job_key& job)
{
    if (m_ended.contains(job))
    {
        return;
    }
    const query_job query{job, true, now() + span::seconds(1)};
    send_call("caller of " + history_name(job), call_kind::query,
              history_name(job), true, query,
              [this, job](const result<caller_reply>& reply)
              {
                  if (succeeded(reply))
                  {
                      note_status(std::get<job_status>(value_of(reply)));
                  }
                  m_queue.after(span::seconds(1),
                                [this, job] { await_end(job); });
              });
}

void fault_harness::note_status(const job_status& status)
{
    const job_key& job = status.m_spec.m_key;
    if (status.m_phase == job_phase::ended && m_ended.insert(job).second)
    {
        // A job that was cancelled before its submission was answered counts
        // as accepted from here on.
        m_accepted.insert(job);
        m_history.record(job_end_reported{history_name(job), status.m_outcome,
                                          status.m_verdict, now()});
    }
}

} // namespace kingcuprudder
