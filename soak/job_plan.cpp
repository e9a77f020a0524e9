#include <nlohmann/json.hpp>
#include <soak/job_plan.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>

namespace kingcuprudder::soak
{

namespace
{

constexpr int max_repeats = 4;
constexpr int max_persistent_width = 6;
constexpr double ms_per_s = 1000;
constexpr span min_work = span(50);
constexpr span shortest_time_to_cancel = span(300);
constexpr span longest_time_to_cancel = span(6000);
constexpr span shortest_interval = span(1500);
constexpr span longest_interval = span(3000);

/// Draws the properties of jobs.
class drawer
{
public:
    explicit drawer(unsigned seed) : m_random(seed) {}

    /// Returns whether an event of this share happens.
    bool happens(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    int number(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(m_random);
    }

    span time(span least, span most)
    {
        return span(std::uniform_int_distribution<std::int64_t>(
            least.count(), most.count())(m_random));
    }

    /// Returns a number of a lognormal distribution with this mean.
    double spread_around(double mean, double spread)
    {
        return std::lognormal_distribution<double>(
            std::log(mean) - spread * spread / 2, spread)(m_random);
    }

    /// Returns the time between two events of this rate in one second.
    double gap_s(double per_s)
    {
        return std::exponential_distribution<double>(per_s)(m_random);
    }

    std::string id()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%08x%08x",
                      static_cast<unsigned>(m_random()),
                      static_cast<unsigned>(m_random()));
        return text;
    }

private:
    std::mt19937 m_random;
};

void draw_steps(planned_job& job, const job_kind& kind, drawer& drawn)
{
    const int steps = kind.m_max_steps == 1 || drawn.happens(0.7)
                          ? 1
                          : drawn.number(2, kind.m_max_steps);
    for (int index = 0; index < steps; ++index)
    {
        const auto width = static_cast<int>(std::lround(
            drawn.spread_around(kind.m_mean_width, kind.m_width_spread)));
        job.m_steps.push_back(
            {std::clamp(width, 1, kind.m_max_width), index > 0});
    }
}

void make_persistent(planned_job& job, drawer& drawn)
{
    job.m_persistent = true;
    job.m_saves_progress = false;
    job.m_cancel_at.reset();
    job.m_steps = {{drawn.number(1, max_persistent_width), false}};
}

planned_job draw_job(const job_kind& kind, int index, span submit_at,
                     drawer& drawn)
{
    planned_job job;
    job.m_id = drawn.id();
    job.m_kind = index;
    job.m_submit_at = submit_at;
    draw_steps(job, kind, drawn);
    const span work(static_cast<std::int64_t>(drawn.spread_around(
        static_cast<double>(kind.m_mean_work.count()), kind.m_work_spread)));
    job.m_work = std::clamp(work, min_work, kind.m_max_work);
    job.m_estimate = job.m_work * drawn.number(50, 150) / 100;
    job.m_gpus = kind.m_gpus[static_cast<std::size_t>(
        drawn.number(0, static_cast<int>(kind.m_gpus.size()) - 1))];
    job.m_same_rack = drawn.happens(kind.m_same_rack);
    job.m_saves_progress = drawn.happens(kind.m_saves_progress);
    if (drawn.happens(kind.m_cancelled))
    {
        job.m_cancel_at = submit_at + drawn.time(shortest_time_to_cancel,
                                                 longest_time_to_cancel);
    }
    if (drawn.happens(kind.m_persistent))
    {
        make_persistent(job, drawn);
    }
    else if (drawn.happens(kind.m_timed))
    {
        job.m_repeats = drawn.number(2, max_repeats);
        job.m_interval = drawn.time(shortest_interval, longest_interval);
    }
    return job;
}

} // namespace

int planned_job::task_count() const
{
    int tasks = 0;
    for (const planned_step& each : m_steps)
    {
        tasks += each.m_tasks;
    }
    return tasks * m_repeats;
}

std::vector<planned_job> plan_jobs(const deployment_sheet& sheet, unsigned seed)
{
    drawer drawn(seed);
    std::vector<planned_job> jobs;
    for (std::size_t index = 0; index < sheet.m_kinds.size(); ++index)
    {
        const job_kind& kind = sheet.m_kinds[index];
        double at_s = drawn.gap_s(kind.m_jobs_per_s);
        while (at_s * ms_per_s < static_cast<double>(sheet.m_load_time.count()))
        {
            const span at(static_cast<std::int64_t>(at_s * ms_per_s));
            jobs.push_back(draw_job(kind, static_cast<int>(index), at, drawn));
            at_s += drawn.gap_s(kind.m_jobs_per_s);
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const planned_job& left, const planned_job& right)
                     { return left.m_submit_at < right.m_submit_at; });
    return jobs;
}

bool is_gang(const planned_job& job, const job_kind& kind)
{
    return kind.m_gang && job.m_steps.front().m_tasks > 1;
}

dispatch::resources demand_of(const planned_job& job, const job_kind& kind)
{
    return {kind.m_cpu, kind.m_memory_mb, job.m_gpus};
}

std::string path_of(const planned_job& job, const job_kind& kind)
{
    return "/" + kind.m_queue + "/" + job.m_id;
}

std::string body_of(const planned_job& job, const job_kind& kind,
                    std::int64_t first_due_ms)
{
    const bool gang = is_gang(job, kind);
    const nlohmann::json spec{{"runMs", job.m_work.count()},
                              {"gang", gang ? job.m_steps.front().m_tasks : 1},
                              {"cpu", kind.m_cpu},
                              {"memMb", kind.m_memory_mb},
                              {"gpu", job.m_gpus},
                              {"saves", job.m_saves_progress},
                              {"lasts", job.m_persistent}};
    nlohmann::json body{{"spec", spec.dump()},
                        {"steps", nlohmann::json::array()}};
    for (std::size_t index = 0; index < job.m_steps.size(); ++index)
    {
        nlohmann::json step{{"count", job.m_steps[index].m_tasks},
                            {"cpu", kind.m_cpu},
                            {"memMb", kind.m_memory_mb},
                            {"gpu", job.m_gpus},
                            {"estimateMs", job.m_estimate.count()},
                            {"gang", gang},
                            {"sameRack", gang && job.m_same_rack},
                            {"savesProgress", job.m_saves_progress},
                            {"persistent", job.m_persistent}};
        if (job.m_steps[index].m_after_previous)
        {
            step["after"] = {index - 1};
        }
        body["steps"].push_back(step);
    }
    if (job.m_repeats > 1)
    {
        body["repeatCount"] = job.m_repeats;
        body["startMs"] = first_due_ms;
        body["intervalMs"] = job.m_interval.count();
    }
    return body.dump();
}

} // namespace kingcuprudder::soak
