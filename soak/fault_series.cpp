#include <kingcuprudder/node/clocks.hpp>

#include <soak/fault_series.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::soak
{

namespace
{

constexpr int min_pause_ms = 500;
constexpr int max_pause_ms = 2500;
constexpr int min_fault_ms = 300;
constexpr int max_fault_ms = 4000;
constexpr int fault_kinds = 7;
constexpr double lost_answers = 0.3;
constexpr span slow_call = span(600);

} // namespace

fault_series::fault_series(deployment& nodes,
                           stand_ins::platform_stand_in& platform,
                           disruption_record& disruptions, unsigned seed)
    : m_nodes(nodes), m_platform(platform), m_disruptions(disruptions),
      m_random(seed), m_due(node::boottime_now())
{
}

int fault_series::draw(int below)
{
    return static_cast<int>(m_random() % static_cast<unsigned>(below));
}

void fault_series::advance()
{
    if (node::boottime_now() < m_due)
    {
        return;
    }
    if (m_in_progress)
    {
        stop();
    }
    else
    {
        begin();
    }
}

void fault_series::begin()
{
    using fault = stand_ins::memory_store::fault;
    m_disruptions.begin();
    m_in_progress = true;
    ++m_count;
    m_due = node::boottime_now() +
            span(min_fault_ms + draw(max_fault_ms - min_fault_ms));
    switch (draw(fault_kinds))
    {
    case 0:
    case 1:
        begin_process_fault(false);
        break;
    case 2:
        begin_process_fault(true);
        break;
    case 3:
        begin_store_fault(fault::refuse, 1);
        break;
    case 4:
        begin_store_fault(fault::lose_answer, lost_answers);
        break;
    case 5:
        m_platform.set_delay_hook([](const std::string&) { return slow_call; });
        break;
    default:
        m_platform.store().compact();
        break;
    }
}

void fault_series::begin_process_fault(bool pause)
{
    const int node = draw(m_nodes.size());
    if (!m_nodes.is_running(node) || m_nodes.is_terminating(node))
    {
        return;
    }
    m_held = node;
    m_paused = pause;
    if (pause)
    {
        m_nodes.pause(node);
    }
    else
    {
        m_nodes.kill(node);
    }
}

void fault_series::begin_store_fault(stand_ins::memory_store::fault kind,
                                     double share)
{
    using fault = stand_ins::memory_store::fault;
    auto random = std::make_shared<std::mt19937>(m_random());
    m_platform.store().set_fault_hook(
        [random, kind, share](const std::string& call)
        {
            const double drawn =
                std::uniform_real_distribution<double>(0, 1)(*random);
            const bool applies = kind == fault::refuse || call == "commit";
            return applies && drawn < share ? kind : fault::none;
        });
}

void fault_series::stop()
{
    if (!m_in_progress)
    {
        return;
    }
    m_in_progress = false;
    m_platform.store().set_fault_hook(nullptr);
    m_platform.set_delay_hook(nullptr);
    if (m_held >= 0 && m_paused)
    {
        m_nodes.resume(m_held);
    }
    else if (m_held >= 0)
    {
        m_nodes.start(m_held);
    }
    m_held = -1;
    m_paused = false;
    m_disruptions.end();
    m_due = node::boottime_now() +
            span(min_pause_ms + draw(max_pause_ms - min_pause_ms));
}

} // namespace kingcuprudder::soak
