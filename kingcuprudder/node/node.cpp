#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/node.hpp>

#include <algorithm>

namespace kingcuprudder::node
{

namespace
{

// The process is not ready to serve callers when the store has not answered for
// this long.
constexpr span ready_max_age = span(2500);

} // namespace

node::node(const node_settings& settings, record_store& store,
           external_records records, worker_calls_factory worker_calls,
           event_log& log, const node_metrics& metrics)
    : m_settings(settings), m_store(store), m_log(log), m_metrics(metrics),
      m_records(std::move(records)), m_worker_calls(std::move(worker_calls)),
      m_configuration(store, m_records, log),
      m_jobs(store, m_configuration, log)
{
    leadership::hooks hooks;
    hooks.m_began = [this](const std::shared_ptr<term>& current_term)
    { begin_term(current_term); };
    hooks.m_ended = [this]
    {
        std::lock_guard lock(m_mutex);
        m_scheduler.reset();
    };
    m_leadership = std::make_unique<leadership>(store, log, settings.m_name,
                                                settings.m_processor_share,
                                                std::move(hooks));
}

node::~node()
{
    m_leadership.reset();
}

void node::begin_term(const std::shared_ptr<term>& current_term)
{
    std::lock_guard lock(m_mutex);
    m_scheduler = std::make_unique<scheduler>(
        scheduler_environment{
            m_store, m_log, m_metrics.leader(), m_configuration, m_records,
            m_worker_calls, m_settings.m_limits,
            m_settings.m_status_retention + m_settings.m_removal_margin},
        current_term);
}

void node::on_configuration(
    const std::function<void(const dispatch::service_configuration&)>& changed)
{
    const auto pass_on = [changed](const configuration_view::snapshot& adopted)
    { changed(adopted->m_configuration); };
    m_configuration.on_change(pass_on);
    if (const auto current = m_configuration.current())
    {
        pass_on(current);
    }
}

bool node::is_ready() const
{
    return !m_shutting_down && m_configuration.current() &&
           boottime_now() - m_configuration.confirmed_at() < ready_max_age;
}

void node::resign()
{
    const instant began = boottime_now();
    m_leadership->resign();
    m_log.write(
        "leadership", "resigned", "",
        {{"took_ms", std::to_string((boottime_now() - began).count())}});
}

std::string node::dump()
{
    std::lock_guard lock(m_mutex);
    return m_scheduler ? m_scheduler->dump() : "{\"leads\":false}";
}

} // namespace kingcuprudder::node
