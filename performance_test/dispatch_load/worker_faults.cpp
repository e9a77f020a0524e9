#include <performance_test/dispatch_load/worker_faults.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr unsigned fault_seed = 0xfa17;
constexpr double min_flap_ms = 4500;
constexpr double max_flap_ms = 9000;
constexpr double min_unnoticed_ms = 500;
constexpr double max_unnoticed_ms = 2000;
constexpr double min_cut_off_ms = 1000;
constexpr double max_cut_off_ms = 9000;

span milliseconds(double count)
{
    return span(static_cast<std::int64_t>(count));
}

} // namespace

worker_faults::worker_faults(const load_profile& profile, unsigned seed)
    : m_profile(profile), m_generator(seed ^ fault_seed)
{
    for (int count = 0; count < m_profile.m_faults.m_flapping_workers; ++count)
    {
        m_flapping[any_worker()] = milliseconds(uniform(0, max_flap_ms));
    }
    for (int count = 0; count < m_profile.m_faults.m_rack_losses; ++count)
    {
        m_rack_losses.push_back(milliseconds(
            uniform(0, static_cast<double>(m_profile.m_duration.count()))));
    }
}

double worker_faults::uniform(double low, double high)
{
    return std::uniform_real_distribution<double>(low, high)(m_generator);
}

bool worker_faults::happens(double per_second, span interval)
{
    return uniform(0, 1) <
           per_second * static_cast<double>(interval.count()) / 1000;
}

int worker_faults::any_worker()
{
    return std::uniform_int_distribution<int>(0, m_profile.m_workers -
                                                     1)(m_generator);
}

std::vector<worker_fault> worker_faults::next(span since, span interval)
{
    std::vector<worker_fault> faults;
    if (happens(m_profile.m_faults.m_crashes_per_second, interval))
    {
        faults.push_back({any_worker(), true, span(0), span(0)});
    }
    if (happens(m_profile.m_faults.m_cut_offs_per_second, interval))
    {
        const int worker = any_worker();
        faults.push_back(
            {worker, false, span(0),
             milliseconds(uniform(min_cut_off_ms, max_cut_off_ms))});
    }
    for (auto& [worker, due] : m_flapping)
    {
        if (due <= since)
        {
            faults.push_back({worker, true, span(0), span(0)});
            due = since + milliseconds(uniform(min_flap_ms, max_flap_ms));
        }
    }
    for (const span due : m_rack_losses)
    {
        if (due >= since && due < since + interval)
        {
            add_rack_loss(faults);
        }
    }
    return faults;
}

void worker_faults::add_rack_loss(std::vector<worker_fault>& faults)
{
    const int per_rack = m_profile.m_workers_per_rack;
    const int first = any_worker() / per_rack * per_rack;
    for (int worker = first;
         worker < first + per_rack && worker < m_profile.m_workers; ++worker)
    {
        faults.push_back(
            {worker, true,
             milliseconds(uniform(min_unnoticed_ms, max_unnoticed_ms)),
             span(0)});
    }
}

} // namespace kingcuprudder::dispatch
