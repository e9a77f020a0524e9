#include <soak/scheduled_work.hpp>

#include <algorithm>
#include <numeric>
#include <random>

namespace kingcuprudder::soak
{

namespace
{

constexpr span replacement_gap = span(2000);

/// Draws the series of planned work.
class work_planner
{
public:
    work_planner(const deployment_sheet& sheet, unsigned seed)
        : m_sheet(sheet), m_random(seed),
          m_round_time(sheet.m_load_time / sheet.m_rounds),
          m_absent(sheet.m_processes)
    {
    }

    std::vector<scheduled_work> plan()
    {
        for (int round = 0; round < m_sheet.m_rounds; ++round)
        {
            m_round_begin = m_round_time * round;
            add_round();
        }
        std::stable_sort(
            m_work.begin(), m_work.end(),
            [](const scheduled_work& left, const scheduled_work& right)
            { return left.m_at < right.m_at; });
        return m_work;
    }

private:
    void add_round()
    {
        for (int index = 0; index < m_sheet.m_rolls; ++index)
        {
            add_signals(scheduled_work::kind::terminate);
        }
        for (int index = 0; index < m_sheet.m_reload_series; ++index)
        {
            add_signals(scheduled_work::kind::reload);
        }
        for (int index = 0; index < m_sheet.m_drain_series; ++index)
        {
            add_drain();
        }
        for (int index = 0; index < m_sheet.m_configurations; ++index)
        {
            add(any_time(), scheduled_work::kind::configure, 0);
        }
        add_replacement();
    }

    span draw(span least, span most)
    {
        return span(std::uniform_int_distribution<std::int64_t>(
            least.count(), most.count())(m_random));
    }

    span any_time() { return m_round_begin + draw(span(0), m_round_time); }

    void add(span at, scheduled_work::kind kind, int subject)
    {
        m_work.push_back({at, kind, subject});
    }

    /// Sends a signal to processes in turn.
    void add_signals(scheduled_work::kind kind)
    {
        std::vector<int> processes(
            static_cast<std::size_t>(m_sheet.m_processes));
        std::iota(processes.begin(), processes.end(), 0);
        std::shuffle(processes.begin(), processes.end(), m_random);
        processes.resize(static_cast<std::size_t>(m_sheet.m_processes *
                                                  m_sheet.m_rolled_share));
        span at = m_round_begin + draw(span(0), m_round_time / 2);
        const span gap = draw(m_sheet.m_min_gap, m_sheet.m_max_gap);
        for (const int process : processes)
        {
            if (at < m_sheet.m_load_time)
            {
                add(at, kind, process);
            }
            at = at + gap;
        }
    }

    void add_drain()
    {
        const int workers = std::max(
            1, static_cast<int>(m_sheet.m_workers * m_sheet.m_drained_share));
        const span at = any_time();
        add(at, scheduled_work::kind::drain_workers, workers);
        add(at + m_sheet.m_replacement_time, scheduled_work::kind::add_workers,
            workers);
    }

    /// Removes a process and adds the one that is absent.
    void add_replacement()
    {
        const span at =
            m_round_begin + draw(m_round_time / 4, m_round_time / 2);
        auto removed = static_cast<int>(
            m_random() % static_cast<unsigned>(m_sheet.m_processes));
        if (removed == m_absent)
        {
            removed = m_sheet.m_processes;
        }
        add(at, scheduled_work::kind::retire, removed);
        add(at + replacement_gap, scheduled_work::kind::add_process, m_absent);
        m_absent = removed;
    }

    const deployment_sheet& m_sheet;
    std::mt19937 m_random;
    const span m_round_time;
    span m_round_begin;
    /// The process that is absent at the end of the round.
    int m_absent;
    std::vector<scheduled_work> m_work;
};

} // namespace

std::vector<scheduled_work> plan_work(const deployment_sheet& sheet,
                                      unsigned seed)
{
    return work_planner(sheet, seed).plan();
}

} // namespace kingcuprudder::soak
