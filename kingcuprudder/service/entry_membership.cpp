#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_instance_list.hpp>
#include <kingcuprudder/service/entry_membership.hpp>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr span poll_interval = span::seconds(1);
/// Due probes are checked for more often than the list is polled, because the
/// first probe of a suspect target is due after half a second.
constexpr span probe_check_interval = span(250);
constexpr span probe_timeout = span(500);
constexpr std::size_t max_due_probes = 256;

} // namespace

entry_membership::entry_membership(request_router& router,
                                   std::mutex& router_mutex,
                                   entry_minion_calls& minions,
                                   std::string list_address)
    : m_router(router), m_router_mutex(router_mutex), m_minions(minions),
      m_list_address(std::move(list_address)), m_due_probes(max_due_probes),
      m_end(1), m_prober([this] { probe_loop(); }),
      m_poller([this] { poll_loop(); })
{
}

entry_membership::~entry_membership()
{
    m_end.close();
    m_due_probes.close();
    m_poller.join();
    m_prober.join();
}

void entry_membership::poll_loop()
{
    entry_instance_list list(m_list_address);
    instant next_poll = system_now();
    while (!m_end.closed())
    {
        const instant now = system_now();
        std::optional<std::vector<listed_target>> changed;
        if (now >= next_poll)
        {
            changed = list.poll();
            m_list_reachable = list.reachable();
            next_poll = now + poll_interval;
        }
        std::vector<target_ref> due;
        {
            std::lock_guard lock(m_router_mutex);
            target_table& targets = m_router.targets();
            if (changed)
            {
                targets.on_list(*changed, system_now());
            }
            targets.on_tick(system_now());
            due = targets.start_due_probes(system_now());
        }
        for (target_ref& each : due)
        {
            m_due_probes.push(std::move(each));
        }
        m_end.pop(std::chrono::milliseconds(probe_check_interval.count()));
    }
}

void entry_membership::probe_loop()
{
    while (!m_due_probes.closed())
    {
        const std::optional<target_ref> due =
            m_due_probes.pop(std::chrono::milliseconds(poll_interval.count()));
        if (due)
        {
            probe(*due);
        }
    }
}

void entry_membership::probe(const target_ref& target)
{
    const target_answer answer = m_minions.probe(target, probe_timeout);
    const bool reached = answer.m_outcome != target_outcome::unknown &&
                         answer.m_outcome != target_outcome::not_sent;
    std::lock_guard lock(m_router_mutex);
    if (reached)
    {
        m_router.targets().on_answer(target, answer.m_draining, true);
    }
    else
    {
        m_router.targets().on_failure(target, true, system_now());
    }
}

} // namespace kingcuprudder
