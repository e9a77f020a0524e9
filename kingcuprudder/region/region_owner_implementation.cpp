#include <kingcuprudder/region/region_owner_implementation.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

/// Number of entries between snapshots. A snapshot begins early enough to be
/// durable at least every 128 entries even if the store is slow.
constexpr sequence_number entries_per_snapshot = 96;

/// Maximum time for which a shutdown waits for records in flight while the
/// store is unresponsive.
constexpr span shutdown_limit = span::seconds(10);

} // namespace

region_owner::implementation::implementation(
    owner_options options, owner_codec codec,
    std::unique_ptr<placement_policy> policy)
    : m_options(std::move(options)), m_codec(std::move(codec)),
      m_policy(std::move(policy)), m_random(m_options.m_seed),
      m_ownership(m_options, m_codec),
      m_loader(m_options.m_region, m_codec, m_options.m_seed + 1),
      m_log(m_options.m_region, m_codec, m_options.m_seed + 2),
      m_snapshots(m_options.m_region, m_codec, m_options.m_seed + 3)
{
}

region_owner::effects
region_owner::implementation::on_settings(const effective_settings& settings,
                                          instant now)
{
    if (settings.m_revision < m_settings.m_revision)
    {
        return {};
    }
    m_settings = settings;
    if (!m_shutting_down)
    {
        m_ownership.enable();
    }
    if (m_scheduler)
    {
        m_scheduler->on_settings(now);
    }
    return finish(now);
}

region_owner::effects
region_owner::implementation::on_workers(const std::vector<worker>& workers,
                                         instant now)
{
    m_workers = workers;
    if (m_scheduler)
    {
        m_scheduler->on_workers(workers, now);
    }
    return finish(now);
}

region_owner::effects region_owner::implementation::on_owner_key(
    const std::optional<owner_record>& owner, store_revision revision,
    instant now)
{
    m_ownership.on_key(owner, revision, now);
    return finish(now);
}

region_owner::effects
region_owner::implementation::on_store_answer(const store_answer& answer,
                                              instant now)
{
    auto found = m_calls.find(answer.m_call);
    if (found == m_calls.end())
    {
        // The call was sent before this process lost ownership.
        return finish(now);
    }
    const sent_call sent = found->second;
    m_calls.erase(found);
    switch (sent.m_part)
    {
    case part::ownership:
        m_ownership.on_outcome(answer.m_outcome, now);
        break;
    case part::loader:
        m_loader.on_outcome(sent.m_tag, answer.m_outcome, now);
        break;
    case part::log:
        on_log_outcome(answer.m_outcome, now);
        break;
    case part::snapshot:
        if (const auto durable = m_snapshots.on_outcome(answer.m_outcome, now))
        {
            m_log.snapshot_written(*durable);
        }
        break;
    }
    return finish(now);
}

region_owner::effects
region_owner::implementation::on_worker_answer(const worker_answer& answer,
                                               instant now)
{
    if (m_scheduler)
    {
        m_scheduler->on_worker_answer(answer, now);
    }
    return finish(now);
}

region_owner::effects
region_owner::implementation::on_heartbeat(const worker_report& report,
                                           instant now)
{
    if (m_scheduler)
    {
        m_scheduler->on_heartbeat(report, now);
    }
    return finish(now);
}

region_owner::effects
region_owner::implementation::on_caller_call(const caller_call& call,
                                             instant now)
{
    if (m_scheduler && !m_shutting_down)
    {
        m_scheduler->on_caller_call(call, now);
    }
    else
    {
        m_effects.answer(call.m_call, error{error_code::not_owner,
                                            owner_address(), verdict::not_run});
    }
    return finish(now);
}

region_owner::effects region_owner::implementation::on_tick(instant now)
{
    if (m_scheduler)
    {
        m_scheduler->on_tick(now);
    }
    return finish(now);
}

region_owner::effects region_owner::implementation::begin_shutdown(instant now)
{
    if (!m_shutting_down)
    {
        m_shutting_down = true;
        m_shutdown_since = now;
        if (m_scheduler)
        {
            m_scheduler->stop_planning();
        }
    }
    return finish(now);
}

bool region_owner::implementation::renews_task_leases(instant now) const
{
    if (!m_scheduler)
    {
        return false;
    }
    return m_ownership.lease_valid(now) || m_ownership.store_unresponsive();
}

region_statistics region_owner::implementation::statistics() const
{
    region_statistics numbers;
    if (m_scheduler && owning())
    {
        numbers = m_scheduler->statistics();
    }
    numbers.m_epoch = epoch();
    numbers.m_settings_revision = m_settings.m_revision;
    return numbers;
}

std::string region_owner::implementation::dump() const
{
    std::string text = "region " + m_options.m_region.str() + "\n";
    text += "owning " + std::string(owning() ? "yes" : "no") + "\n";
    text += "owner " + owner_address() + "\n";
    text += "epoch " + std::to_string(epoch()) + "\n";
    text += "settings revision " + std::to_string(m_settings.m_revision) + "\n";
    if (m_scheduler)
    {
        text += "log committed " + std::to_string(m_log.committed()) + "\n";
        text += "log snapshot " + std::to_string(m_log.snapshot()) + "\n";
        text += m_scheduler->dump();
    }
    return text;
}

/// Completes an event: processes all state changes that it has caused.
region_owner::effects region_owner::implementation::finish(instant now)
{
    check_ownership();
    if (m_stage == stage::loading && m_loader.done())
    {
        start_fencing(now);
    }
    if (m_scheduler && m_scheduler->fenced())
    {
        m_ownership.abandon();
        step_down();
    }
    if (m_scheduler)
    {
        m_scheduler->plan_if_needed(now);
        begin_snapshot();
    }
    if (m_shutting_down)
    {
        continue_shutdown(now);
    }
    send_store_calls(now);
    return m_effects.take();
}

void region_owner::implementation::check_ownership()
{
    if (m_stage == stage::shut_down)
    {
        return;
    }
    if (m_stage == stage::standby && m_ownership.held() && !m_shutting_down)
    {
        m_loader.restart();
        m_stage = stage::loading;
    }
    else if (m_stage != stage::standby && !m_ownership.held())
    {
        step_down();
    }
}

void region_owner::implementation::start_fencing(instant now)
{
    m_state = std::move(m_loader.state());
    m_log.open(m_loader.next(), m_loader.head().m_sequence, m_state.epoch() + 1,
               m_loader.slot_revisions());
    m_log.append(epoch_started{m_state.epoch() + 1, m_options.m_instance, now});
    m_stage = stage::fencing;
}

void region_owner::implementation::start_owning(instant now)
{
    m_stage = stage::owning;
    m_snapshots.open(m_loader.head(), m_loader.head_revision(),
                     m_loader.chunk_revisions());
    m_scheduler = std::make_unique<region_scheduler>(
        m_state, m_log, m_effects, m_settings, *m_policy, m_random);
    m_scheduler->open(m_workers, now);
}

void region_owner::implementation::on_log_outcome(const store_outcome& outcome,
                                                  instant now)
{
    on_progress(m_log.on_outcome(outcome, now), now);
}

void region_owner::implementation::on_progress(const region_log::progress& made,
                                               instant now)
{
    if (made.m_fenced && m_stage == stage::fencing)
    {
        // The former owner has appended in the meantime; its entry must be
        // applied first.
        m_loader.state() = std::move(m_state);
        m_loader.resume();
        m_stage = stage::loading;
        return;
    }
    if (made.m_fenced)
    {
        m_ownership.abandon();
        step_down();
        return;
    }
    for (const log_record& each : made.m_committed)
    {
        m_state.apply(each);
        if (m_stage == stage::fencing)
        {
            start_owning(now);
        }
        m_scheduler->on_committed(each, now);
    }
}

void region_owner::implementation::begin_snapshot()
{
    if (!m_snapshots.busy() &&
        m_log.committed() >= m_log.snapshot() + entries_per_snapshot)
    {
        m_snapshots.begin(m_state, m_log.committed(), m_state.epoch());
    }
}

void region_owner::implementation::continue_shutdown(instant now)
{
    if (m_stage == stage::shut_down)
    {
        return;
    }
    const bool overdue = now >= m_shutdown_since + shutdown_limit;
    if (m_stage == stage::owning && !overdue && !m_log.idle())
    {
        return;
    }
    if (m_stage != stage::standby)
    {
        // Records in flight stay undecided. The answers to callers state that
        // their calls may have had an effect.
        step_down();
    }
    if (!std::exchange(m_release_begun, true))
    {
        m_ownership.release();
    }
    else if (!m_ownership.releasing() || overdue)
    {
        m_stage = stage::shut_down;
    }
}

void region_owner::implementation::send_store_calls(instant now)
{
    if (m_stage == stage::shut_down)
    {
        return;
    }
    if (const auto wanted = m_ownership.poll(now))
    {
        send(part::ownership, *wanted);
    }
    if (m_stage == stage::loading)
    {
        for (const tagged_operation& wanted : m_loader.poll(now))
        {
            send(part::loader, wanted);
        }
    }
    if (m_stage == stage::fencing || m_stage == stage::owning)
    {
        if (const auto wanted = m_log.poll(now))
        {
            send(part::log, *wanted);
        }
    }
    if (m_stage == stage::owning)
    {
        if (const auto wanted = m_snapshots.poll(now))
        {
            send(part::snapshot, *wanted);
        }
    }
}

void region_owner::implementation::send(part from,
                                        const tagged_operation& wanted)
{
    const call_number call = m_effects.store(wanted.m_operation);
    m_calls.emplace(call, sent_call{from, wanted.m_tag});
}

void region_owner::implementation::step_down()
{
    if (m_scheduler)
    {
        m_scheduler->step_down(owner_address());
        m_scheduler.reset();
        m_effects.add(stepped_down());
    }
    m_state = {};
    m_stage = stage::standby;
    std::erase_if(m_calls, [](const auto& each)
                  { return each.second.m_part != part::ownership; });
}

std::string region_owner::implementation::owner_address() const
{
    const std::optional<owner_record>& owner = m_ownership.last_owner();
    return owner ? owner->m_address : std::string();
}

} // namespace kingcuprudder
