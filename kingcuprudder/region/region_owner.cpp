#include <kingcuprudder/region/region_owner_implementation.hpp>

#include <utility>

namespace kingcuprudder
{

region_owner::region_owner(owner_options options, owner_codec codec,
                           std::unique_ptr<placement_policy> policy)
    : m_implementation(std::make_unique<implementation>(
          std::move(options), std::move(codec), std::move(policy)))
{
}

region_owner::~region_owner() = default;

region_owner::effects
region_owner::on_settings(const effective_settings& settings, instant now)
{
    return m_implementation->on_settings(settings, now);
}

region_owner::effects
region_owner::on_workers(const std::vector<worker>& workers, instant now)
{
    return m_implementation->on_workers(workers, now);
}

region_owner::effects
region_owner::on_owner_key(const std::optional<owner_record>& owner,
                           store_revision revision, instant now)
{
    return m_implementation->on_owner_key(owner, revision, now);
}

region_owner::effects region_owner::on_store_answer(const store_answer& answer,
                                                    instant now)
{
    return m_implementation->on_store_answer(answer, now);
}

region_owner::effects
region_owner::on_worker_answer(const worker_answer& answer, instant now)
{
    return m_implementation->on_worker_answer(answer, now);
}

region_owner::effects region_owner::on_heartbeat(const worker_report& report,
                                                 instant now)
{
    return m_implementation->on_heartbeat(report, now);
}

region_owner::effects region_owner::on_caller_call(const caller_call& call,
                                                   instant now)
{
    return m_implementation->on_caller_call(call, now);
}

region_owner::effects region_owner::on_tick(instant now)
{
    return m_implementation->on_tick(now);
}

region_owner::effects region_owner::begin_shutdown(instant now)
{
    return m_implementation->begin_shutdown(now);
}

bool region_owner::owning() const
{
    return m_implementation->owning();
}

bool region_owner::renews_task_leases(instant now) const
{
    return m_implementation->renews_task_leases(now);
}

epoch_number region_owner::epoch() const
{
    return m_implementation->epoch();
}

bool region_owner::shut_down() const
{
    return m_implementation->shut_down();
}

std::string region_owner::dump() const
{
    return m_implementation->dump();
}

region_statistics region_owner::statistics() const
{
    return m_implementation->statistics();
}

} // namespace kingcuprudder
