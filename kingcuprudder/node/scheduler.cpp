#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_keys.hpp>
#include <kingcuprudder/node/scheduler.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <future>

namespace kingcuprudder::node
{

namespace
{

constexpr std::size_t max_queued_events = 20'000;
constexpr std::chrono::milliseconds max_event_wait(40);
// Planning covers all workers, so events are batched for this long.
constexpr span min_step_interval = span(10);
// The pause after planning is this multiple of the planning time. It leaves
// processor time to events and to the other threads of a small instance.
constexpr int planning_pause_factor = 2;
constexpr span max_planning_pause = span(100);
// Due times, quarantines and objectives are looked at this often when nothing
// else has changed.
constexpr span idle_planning_interval = span(100);
constexpr std::size_t max_events_per_step = 200;
// Sessions are updated this often when there are no new orders.
constexpr span session_interval = span(50);
constexpr span load_retry = span(150);
// The fencing token covers the starts to all workers, so one write serves all
// that became unanswered in this time. Each write wakes all followers.
constexpr span min_raise_interval = span(1000);
// Orders in flight beside the first one to each worker. The connections of all
// workers stay within the descriptors that a process keeps for them.
constexpr int max_additional_orders = 256;
constexpr span summary_interval = span(500);
constexpr span metrics_interval = span(500);

std::string after_prefix(const std::string& key, const std::string& prefix)
{
    return key.substr(prefix.size());
}

} // namespace

scheduler::scheduler(scheduler_environment environment,
                     std::shared_ptr<term> current_term)
    : m_environment(std::move(environment)), m_term(std::move(current_term)),
      m_dispatcher(m_environment.m_limits,
                   [this](const std::string& kind, const std::string& id,
                          const dispatch::decision_fields& fields)
                   {
                       m_environment.m_metrics.count_decision(kind);
                       m_environment.m_log.write("scheduler", kind, id, fields);
                   }),
      m_order_slots(max_additional_orders),
      m_worker_loop([this](const std::string& error) { abandon_term(error); }),
      m_events(max_queued_events), m_writer(m_environment.m_store, m_term),
      m_thread([this] { run(); })
{
}

scheduler::~scheduler()
{
    m_stopping = true;
    m_events.close();
    m_writer.close();
    m_thread.join();
    m_worker_watcher.reset();
    m_job_watcher.reset();
    m_worker_loop.stop();
    m_sessions.clear();
    m_writer.join();
    m_environment.m_metrics.set_state(0, 0);
    m_environment.m_metrics.set_workers_with_unknown_runs(0);
    m_environment.m_metrics.set_idle_jobs_beside_room(0);
}

void scheduler::post(event next)
{
    m_events.push(std::move(next));
}

void scheduler::run()
{
    m_load_began_at = boottime_now();
    m_dispatcher.begin_term(m_load_began_at, m_term->fence());
    try
    {
        while (!m_stopping && !load())
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(load_retry.count()));
        }
        while (!m_stopping)
        {
            handle_events();
        }
    }
    catch (const std::exception& error)
    {
        abandon_term(error.what());
    }
}

void scheduler::handle_events()
{
    if (m_horizon.is_reached())
    {
        const instant read_at = boottime_now();
        m_horizon.mark(read_at, m_events.size());
    }
    std::optional<event> next = m_events.pop(next_wait());
    for (std::size_t handled = 0; next && handled < max_events_per_step;
         ++handled)
    {
        m_step_due = true;
        apply(*next);
        next = m_events.pop(std::chrono::milliseconds(0));
    }
    if (next)
    {
        apply(*next);
    }
    m_dispatcher.events_applied(m_horizon.applied_until());
    if (!m_stopping && m_term->is_valid() &&
        boottime_now() - m_last_step_at >= min_step_interval)
    {
        m_last_step_at = boottime_now();
        m_step_due = false;
        plan();
        step();
    }
}

void scheduler::apply(const event& next)
{
    next();
    m_horizon.event_applied();
}

void scheduler::abandon_term(const std::string& error)
{
    m_environment.m_log.write(
        "scheduler", "unexpected_error", "",
        {{"error", error}, {"fence", std::to_string(m_term->fence())}});
    m_events.close();
    m_term->end();
}

std::chrono::milliseconds scheduler::next_wait() const
{
    if (!m_step_due)
    {
        return max_event_wait;
    }
    const span left = min_step_interval - (boottime_now() - m_last_step_at);
    return std::chrono::milliseconds(
        std::clamp<std::int64_t>(left.count(), 1, max_event_wait.count()));
}

void scheduler::plan()
{
    const instant began = boottime_now();
    if (began < m_next_planning_at)
    {
        return;
    }
    apply_configuration();
    if (!m_dispatcher.has_changed_since_planning() &&
        began - m_planned_at < idle_planning_interval)
    {
        return;
    }
    m_planned_at = began;
    const auto pass_began = std::chrono::steady_clock::now();
    m_dispatcher.plan(began, wall_now());
    const std::chrono::duration<double, std::milli> pass_took =
        std::chrono::steady_clock::now() - pass_began;
    m_environment.m_metrics.observe_planning(pass_took.count());
    const instant ended = boottime_now();
    m_next_planning_at =
        ended +
        std::min((ended - began) * planning_pause_factor, max_planning_pause);
}

void scheduler::step()
{
    apply_raised_fence();
    const dispatch::dispatch_effects effects =
        m_dispatcher.collect_orders(boottime_now());
    if (effects.m_superseded)
    {
        m_environment.m_log.write("scheduler", "fence_refused", "",
                                  {{"fence", std::to_string(m_term->fence())}});
        m_term->end();
        return;
    }
    update_sessions(!effects.m_starts.empty() || !effects.m_stops.empty());
    send_orders(effects);
    raise_fence();
    begin_write();
    publish_summary();
    publish_metrics();
    remove_old_records();
}

void scheduler::apply_configuration()
{
    const configuration_view::snapshot newest =
        m_environment.m_configuration.current();
    if (newest && newest != m_applied_configuration)
    {
        m_applied_configuration = newest;
        m_dispatcher.configure(newest->m_configuration);
    }
}

void scheduler::send_orders(const dispatch::dispatch_effects& effects)
{
    for (const dispatch::withdrawn_start& start : effects.m_withdrawn)
    {
        const auto found = m_sessions.find(start.m_worker);
        if (found != m_sessions.end())
        {
            found->second->withdraw(start.m_run);
        }
    }
    for (const dispatch::stop_order& order : effects.m_stops)
    {
        const auto found = m_sessions.find(order.m_worker);
        if (found != m_sessions.end())
        {
            found->second->send(order);
        }
    }
    for (const dispatch::start_order& order : effects.m_starts)
    {
        const auto found = m_sessions.find(order.m_worker);
        if (found != m_sessions.end())
        {
            found->second->send(order);
        }
        else
        {
            m_dispatcher.start_finished(order,
                                        {dispatch::order_outcome::not_sent,
                                         dispatch::call_failure::given_up},
                                        boottime_now());
        }
    }
}

void scheduler::update_sessions(bool has_orders)
{
    const instant now = boottime_now();
    if (!has_orders && now - m_sessions_updated_at < session_interval)
    {
        return;
    }
    m_sessions_updated_at = now;
    for (const dispatch::renewal_request& request :
         m_dispatcher.changed_renewals())
    {
        update_session(request);
    }
}

void scheduler::update_session(const dispatch::renewal_request& request)
{
    const auto found = m_sessions.find(request.m_worker);
    if (found != m_sessions.end() &&
        found->second->address() != request.m_address)
    {
        found->second->close();
        m_sessions.erase(found);
    }
    if (request.m_address.empty())
    {
        return;
    }
    std::shared_ptr<worker_session>& session = m_sessions[request.m_worker];
    if (!session)
    {
        session = make_session(request);
    }
    if (!session)
    {
        m_sessions.erase(request.m_worker);
        return;
    }
    session->update(request);
}

std::shared_ptr<worker_session>
scheduler::make_session(const dispatch::renewal_request& request)
{
    try
    {
        return std::make_shared<worker_session>(
            m_worker_loop, request.m_address,
            m_environment.m_worker_calls(
                m_worker_loop, request.m_worker, request.m_address,
                [current = m_term] { return current->is_valid(); }),
            m_term, m_environment.m_limits.m_worker_lease, m_order_slots,
            session_hooks(request.m_address));
    }
    catch (const std::exception& error)
    {
        // Records that other programs write hold the address. One that cannot
        // be used must not end the calls to all other workers.
        m_environment.m_log.write(
            "scheduler", "worker_address_not_used", request.m_worker,
            {{"address", request.m_address}, {"error", error.what()}});
        return nullptr;
    }
}

worker_session::hooks scheduler::session_hooks(const std::string& address)
{
    worker_session::hooks hooks;
    hooks.m_lease_sent = [this](const std::string& worker, instant sent) {
        post([this, worker, sent] { m_dispatcher.renewal_sent(worker, sent); });
    };
    hooks.m_renewal_answered =
        [this, address](const std::string& worker,
                        const dispatch::worker_report& report, instant sent)
    {
        post(
            [this, address, worker, report, sent]
            {
                if (m_dispatcher.is_called_at(worker, address))
                {
                    m_dispatcher.renewal_answered(worker, report, sent,
                                                  boottime_now());
                }
            });
    };
    hooks.m_renewal_failed =
        [this, address](const std::string& worker,
                        const dispatch::call_result& result, instant sent)
    {
        post(
            [this, address, worker, result, sent]
            {
                if (m_dispatcher.is_called_at(worker, address))
                {
                    m_dispatcher.renewal_failed(worker, result, boottime_now(),
                                                sent);
                }
            });
    };
    hooks.m_start_finished = [this](const dispatch::start_order& order,
                                    const dispatch::call_result& result)
    {
        post([this, order, result]
             { m_dispatcher.start_finished(order, result, boottime_now()); });
    };
    hooks.m_stop_finished = [this](const dispatch::stop_order& order,
                                   dispatch::order_outcome outcome)
    {
        post([this, order, outcome]
             { m_dispatcher.stop_finished(order, outcome, boottime_now()); });
    };
    return hooks;
}

void scheduler::raise_fence()
{
    const instant now = boottime_now();
    if (m_raising_fence || now < m_next_raise_at ||
        m_dispatcher.required_fence() <= m_term->fence())
    {
        return;
    }
    m_next_raise_at = now + min_raise_interval;
    store_transaction transaction;
    transaction.m_writes.push_back(m_term->leader_record());
    m_raising_fence = m_writer.try_push(
        std::move(transaction),
        [this](const store_result<commit_answer>& outcome)
        {
            if (const auto revision = committed_revision(outcome))
            {
                m_term->raise_fence(*revision);
            }
            post([this] { m_raising_fence = false; });
        });
}

void scheduler::apply_raised_fence()
{
    const std::int64_t fence = m_term->fence();
    if (fence == m_dispatcher.fence())
    {
        return;
    }
    m_environment.m_log.write(
        "scheduler", "fence_raised", "",
        {{"fence_before", std::to_string(m_dispatcher.fence())},
         {"fence", std::to_string(fence)},
         {"required", std::to_string(m_dispatcher.required_fence())}});
    m_dispatcher.fence_raised(fence);
}

void scheduler::begin_write()
{
    // No other thread pushes to this queue, so a push succeeds if the queue is
    // not full now.
    if (m_writer.full())
    {
        return;
    }
    std::optional<store_transaction> next =
        m_progress_writer.begin(boottime_now(), wall_now());
    if (!next)
    {
        return;
    }
    const bool pushed = m_writer.try_push(
        std::move(*next), [this](const store_result<commit_answer>& outcome)
        { post([this, outcome] { finish_write(outcome); }); });
    if (!pushed)
    {
        m_progress_writer.withdraw();
    }
}

void scheduler::finish_write(const store_result<commit_answer>& outcome)
{
    const store_conflict* conflict = conflict_of(outcome);
    if (conflict != nullptr && ended_by(*conflict))
    {
        return;
    }
    const instant now = boottime_now();
    for (const auto& [job, revision] : m_progress_writer.finish(outcome, now))
    {
        note_ended_job(job, revision, now + m_environment.m_record_retention);
        m_removals.drop({record_keys::cancellation(job), revision});
    }
}

void scheduler::note_ended_job(const std::string& job, std::int64_t revision,
                               instant due)
{
    m_ended_jobs[job] = revision;
    m_removals.schedule({record_keys::progress(job), revision}, due);
}

bool scheduler::has_ended(const std::string& job,
                          std::int64_t submission_revision) const
{
    const auto found = m_ended_jobs.find(job);
    return found != m_ended_jobs.end() && submission_revision <= found->second;
}

bool scheduler::ended_by(const store_conflict& conflict)
{
    for (const record& found : conflict.m_records)
    {
        if (found.m_key == record_keys::leader &&
            found.m_value != m_term->leader_record().m_value)
        {
            m_environment.m_log.write(
                "scheduler", "leader_replaced", "",
                {{"fence", std::to_string(m_term->fence())},
                 {"revision", std::to_string(found.m_revision)}});
            m_term->end();
            return true;
        }
    }
    return false;
}

void scheduler::publish_summary()
{
    const instant now = boottime_now();
    if (now - m_summary_published_at < summary_interval)
    {
        return;
    }
    m_summary_published_at = now;
    store_transaction transaction;
    transaction.m_writes.push_back(
        {record_keys::summary,
         dispatch::encode_summary(
             {m_dispatcher.waiting_by_queue(), wall_now()}),
         0});
    m_writer.try_push(std::move(transaction), nullptr);
}

void scheduler::publish_metrics()
{
    const instant now = boottime_now();
    if (now - m_metrics_published_at < metrics_interval)
    {
        return;
    }
    m_metrics_published_at = now;
    const auto& workers = m_dispatcher.workers();
    const auto silent =
        std::count_if(workers.begin(), workers.end(),
                      [](const auto& each)
                      {
                          const dispatch::worker_entry& worker = each.second;
                          return !worker.m_reachable &&
                                 (worker.m_listed || !worker.m_tasks.empty());
                      });
    m_environment.m_metrics.set_state(m_dispatcher.waiting_writes(),
                                      static_cast<std::size_t>(silent));
    m_environment.m_metrics.set_workers_with_unknown_runs(
        m_dispatcher.workers_with_unrecorded_runs());
    m_environment.m_metrics.set_idle_jobs_beside_room(
        m_dispatcher.idle_jobs_beside_room(now));
}

void scheduler::remove_old_records()
{
    // No other thread pushes to this queue, so a push succeeds if the queue is
    // not full now.
    if (m_writer.full())
    {
        return;
    }
    const std::vector<record_removal> group = m_removals.take(boottime_now());
    if (group.empty())
    {
        return;
    }
    store_transaction transaction;
    for (const record_removal& each : group)
    {
        // A job that was submitted again after its record was removed has a
        // record with another revision.
        transaction.m_expected.emplace_back(each.m_key, each.m_revision);
        transaction.m_removals.push_back(each.m_key);
    }
    m_writer.try_push(
        std::move(transaction),
        [this, group](const store_result<commit_answer>& outcome)
        { post([this, group, outcome] { finish_removal(group, outcome); }); });
}

bool scheduler::is_needed(const std::string& key) const
{
    return key.starts_with(record_keys::cancellation_prefix) &&
           m_dispatcher.jobs().contains(
               after_prefix(key, record_keys::cancellation_prefix));
}

void scheduler::finish_removal(const std::vector<record_removal>& group,
                               const store_result<commit_answer>& outcome)
{
    if (committed_revision(outcome))
    {
        m_removals.removed();
        forget_removed(group);
        return;
    }
    m_environment.m_log.write(
        "scheduler", "records_not_removed", group.front().m_key,
        {{"records", std::to_string(group.size())},
         {"reason", is_ok(outcome)
                        ? "conflict"
                        : std::string(to_string(std::get<1>(outcome)))}});
    if (const store_conflict* conflict = conflict_of(outcome))
    {
        if (ended_by(*conflict))
        {
            return;
        }
        if (!m_removals.conflicted(*conflict))
        {
            m_removals.refused(boottime_now());
        }
        forget_removed(group);
    }
    else if (std::get<store_failure>(outcome) == store_failure::refused)
    {
        m_removals.refused(boottime_now());
    }
    else
    {
        m_removals.failed(boottime_now());
    }
}

void scheduler::forget_removed(const std::vector<record_removal>& group)
{
    for (const record_removal& each : group)
    {
        if (each.m_key.starts_with(record_keys::progress_prefix) &&
            !m_removals.is_scheduled(each.m_key))
        {
            m_ended_jobs.erase(
                after_prefix(each.m_key, record_keys::progress_prefix));
        }
        if (each.m_key.starts_with(record_keys::cancellation_prefix))
        {
            m_dispatcher.forget_cancellation(
                after_prefix(each.m_key, record_keys::cancellation_prefix),
                each.m_revision);
        }
    }
}

std::string scheduler::dump()
{
    auto promise = std::make_shared<std::promise<std::string>>();
    std::future<std::string> text = promise->get_future();
    const bool posted = m_events.push(
        [this, promise]
        {
            nlohmann::ordered_json dump;
            dump["fence"] = m_term->fence();
            for (const auto& [id, worker] : m_dispatcher.workers())
            {
                dump["workers"][id] = {
                    {"listed", worker.m_listed},
                    {"reachable", worker.m_reachable},
                    {"synced", worker.m_synced},
                    {"tasks", worker.m_tasks.size()},
                    {"unknown_runs", m_dispatcher.has_unrecorded_runs(id)},
                    {"gpus_held", worker.m_allocated.m_gpus},
                    {"acknowledged", worker.m_acknowledged}};
            }
            for (const auto& [id, job] : m_dispatcher.jobs())
            {
                dump["jobs"][id] = {
                    {"state", dispatch::to_string(job.m_state)},
                    {"queue", job.m_submission.m_queue},
                    {"age_ms", (boottime_now() - job.m_accepted_at).count()}};
            }
            promise->set_value(dump.dump());
        });
    constexpr std::chrono::seconds dump_timeout(1);
    const bool ready =
        posted && text.wait_for(dump_timeout) == std::future_status::ready;
    return ready ? text.get() : "{}";
}

} // namespace kingcuprudder::node
