#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t workers_per_rack = 8;
constexpr std::uint32_t memory_mb = 256 * 1024;
constexpr double burst_share = 0.3;
constexpr std::size_t jobs_per_burst = 25;
constexpr span burst_length = span::minutes(1);
constexpr double guaranteed_shape_share = 0.2;
constexpr double non_preemptible_share = 0.15;
/// Larger gangs, in accelerators, write checkpoints and are always preemptible,
/// as a non-preemptible job must fit beside all guarantees.
constexpr std::uint32_t max_non_preemptible_size = 16;
constexpr double urgent_share = 0.05;
constexpr int job_classes = 3;

std::string numbered(const std::string& prefix, std::size_t number)
{
    std::string digits = std::to_string(number);
    return prefix +
           std::string(4 - std::min<std::size_t>(4, digits.size()), '0') +
           digits;
}

shape gang(std::uint32_t tasks, std::uint32_t accelerators, proximity value)
{
    return {tasks, accelerators, std::max(1u, 2 * accelerators), 1024, value};
}

std::vector<worker> make_workers(std::size_t count, std::size_t zones,
                                 std::uint32_t cores)
{
    std::vector<worker> workers;
    for (std::size_t i = 0; i < count; ++i)
    {
        std::size_t zone = i * zones / count;
        std::size_t in_zone = i - (zone * count + zones - 1) / zones;
        workers.push_back({worker_id(numbered("w", i)),
                           zone_id(numbered("z", zone)),
                           rack_id(numbered("r", in_zone / workers_per_rack)),
                           8, cores, memory_mb, ""});
    }
    return workers;
}

/// Assigns accelerators to each group of eight workers: 8 to the first, one
/// each to the next three, none to the others, until all are assigned.
void spread_accelerators(std::vector<worker>& workers,
                         std::uint32_t accelerators)
{
    for (std::size_t i = 0; i < workers.size(); ++i)
    {
        std::uint32_t wanted = i % 8 == 0 ? 8 : (i % 8 < 4 ? 1 : 0);
        workers[i].m_accelerators = std::min(wanted, accelerators);
        accelerators -= workers[i].m_accelerators;
    }
}

void add_account(deployment& where, std::size_t number, double share,
                 std::vector<guarantee> guarantees)
{
    account_id id(numbered("account", number));
    account_settings values;
    values.m_priority = static_cast<std::int32_t>(number % 3);
    values.m_guarantees = std::move(guarantees);
    where.m_settings.m_accounts.emplace(id, std::move(values));
    where.m_shares.emplace_back(id, share);
}

/// Draws the values of one workload from a fixed seed.
class generator
{
public:
    generator(const deployment& where, const workload_options& options)
        : m_deployment(where), m_options(options), m_random(options.m_seed)
    {
    }

    double uniform() { return std::generate_canonical<double, 53>(m_random); }

    bool draw_bool(double share) { return uniform() < share; }

    template <class Weights>
    std::size_t draw_index(const Weights& weights)
    {
        double sum = 0;
        for (double weight : weights)
        {
            sum += weight;
        }
        double at = uniform() * sum;
        std::size_t index = 0;
        for (double weight : weights)
        {
            at -= weight;
            if (at < 0)
            {
                return index;
            }
            ++index;
        }
        return index - 1;
    }

    generated_job job(std::size_t number)
    {
        generated_job made;
        job_spec& spec = made.m_job.m_spec;
        account_id account = draw_account();
        int job_class = static_cast<int>(uniform() * job_classes);
        spec.m_key = {account, job_id(numbered("job", number))};
        spec.m_class = job_class_id("class" + std::to_string(job_class));
        spec.m_shape = draw_shape(account);
        made.m_actual = log_uniform(m_deployment.m_min_run_time,
                                    m_deployment.m_max_run_time);
        spec.m_declared_run_time = span(std::max<std::int64_t>(
            1000, std::llround(static_cast<double>(made.m_actual.count()) *
                               error(account, job_class))));
        bool may_be_non_preemptible =
            spec.m_shape.accelerators() <= max_non_preemptible_size;
        spec.m_idempotent =
            !(draw_bool(non_preemptible_share / 2) && may_be_non_preemptible);
        spec.m_preemptible =
            !(draw_bool(non_preemptible_share / 2) && may_be_non_preemptible);
        spec.m_urgent = draw_bool(urgent_share);
        return made;
    }

    /// Arrival times in [0, length), some of them in bursts.
    std::vector<instant> arrivals(std::size_t count, span length)
    {
        std::vector<instant> times;
        while (times.size() < count)
        {
            auto at = static_cast<std::int64_t>(
                uniform() * static_cast<double>(length.count()));
            bool burst =
                draw_bool(burst_share / static_cast<double>(jobs_per_burst));
            std::size_t jobs = burst ? jobs_per_burst : 1;
            for (std::size_t i = 0; i < jobs && times.size() < count; ++i)
            {
                double offset = burst ? uniform() : 0;
                times.emplace_back(
                    at + std::llround(offset * static_cast<double>(
                                                   burst_length.count())));
            }
        }
        std::sort(times.begin(), times.end());
        return times;
    }

private:
    account_id draw_account()
    {
        std::vector<double> weights;
        for (const auto& [id, share] : m_deployment.m_shares)
        {
            weights.push_back(share);
        }
        return m_deployment.m_shares[draw_index(weights)].first;
    }

    shape draw_shape(const account_id& account)
    {
        const auto& guarantees =
            m_deployment.m_settings.m_accounts.at(account).m_guarantees;
        if (!guarantees.empty() && draw_bool(guaranteed_shape_share))
        {
            // Smaller guaranteed shapes are requested more often.
            std::vector<double> weights;
            weights.reserve(guarantees.size());
            for (const guarantee& each : guarantees)
            {
                weights.push_back(1.0 / each.m_shape.accelerators());
            }
            return guarantees[draw_index(weights)].m_shape;
        }
        return m_deployment.m_shapes[draw_index(m_deployment.m_shape_weights)];
    }

    span log_uniform(span low, span high)
    {
        double from = std::log(static_cast<double>(low.count()));
        double to = std::log(static_cast<double>(high.count()));
        return span(std::llround(std::exp(from + uniform() * (to - from))));
    }

    /// Draws declared / actual run time: a bias of the account and class times
    /// an error of the single job, limited to the maximum error.
    double error(const account_id& account, int job_class)
    {
        double limit = std::log(m_options.m_largest_error);
        auto [found, inserted] =
            m_biases.try_emplace({account, job_class}, 0.0);
        if (inserted)
        {
            found->second = (2 * uniform() - 1) * limit;
        }
        double single = (2 * uniform() - 1) * limit * 0.5;
        return std::exp(std::clamp(found->second + single, -limit, limit));
    }

    const deployment& m_deployment;
    const workload_options& m_options;
    std::mt19937_64 m_random;
    std::map<std::pair<account_id, int>, double> m_biases;
};

} // namespace

std::uint32_t deployment::accelerators() const
{
    std::uint32_t sum = 0;
    for (const worker& each : m_workers)
    {
        sum += each.m_accelerators;
    }
    return sum;
}

deployment current_deployment(const std::string& name, std::uint32_t cores,
                              std::uint32_t fragmentation_weight_percent)
{
    deployment made;
    made.m_name = name;
    made.m_workers = make_workers(48, 3, cores);
    made.m_settings.m_scheduler.m_fragmentation_weight_percent =
        fragmentation_weight_percent;
    add_account(
        made, 0, 0.45,
        {{gang(64, 1, proximity::zone), 1}, {gang(16, 1, proximity::rack), 2}});
    add_account(made, 1, 0.35,
                {{gang(32, 1, proximity::rack), 1},
                 {gang(8, 1, proximity::worker), 4}});
    add_account(made, 2, 0.15, {{gang(8, 1, proximity::worker), 2}});
    add_account(made, 3, 0.05, {{gang(8, 1, proximity::worker), 1}});
    made.m_shapes = {
        gang(1, 1, proximity::worker), gang(2, 1, proximity::worker),
        gang(4, 1, proximity::worker), gang(1, 8, proximity::worker),
        gang(8, 1, proximity::rack),   gang(16, 1, proximity::rack),
        gang(4, 8, proximity::rack),   gang(32, 1, proximity::zone),
        gang(64, 1, proximity::zone),  gang(8, 8, proximity::zone)};
    made.m_shape_weights = {35, 14, 12, 9, 8, 8, 3, 4, 2, 1};
    made.m_min_run_time = span::minutes(2);
    made.m_max_run_time = span::hours(4);
    return made;
}

deployment planned_deployment(const std::string& name, std::size_t workers,
                              std::uint32_t accelerators, std::size_t zones,
                              std::size_t accounts)
{
    deployment made;
    made.m_name = name;
    made.m_workers = make_workers(workers, zones, 64);
    spread_accelerators(made.m_workers, accelerators);
    std::size_t large = std::max<std::size_t>(1, accounts / 75);
    std::size_t medium = std::max<std::size_t>(2, accounts / 25);
    for (std::size_t i = 0; i < accounts; ++i)
    {
        guarantee held{gang(2, 1, proximity::zone), 1};
        if (i < large)
        {
            held = {gang(64, 1, proximity::zone), 1};
        }
        else if (i < large + medium)
        {
            held = {gang(16, 1, proximity::zone), 1};
        }
        add_account(made, i, 1.0 / (10.0 + static_cast<double>(i)), {held});
    }
    made.m_shapes = {
        gang(1, 1, proximity::worker), gang(2, 1, proximity::zone),
        gang(4, 1, proximity::rack),   gang(8, 1, proximity::worker),
        gang(8, 1, proximity::zone),   gang(16, 1, proximity::zone),
        gang(32, 1, proximity::zone),  gang(64, 1, proximity::zone),
        gang(64, 0, proximity::zone),  gang(64, 0, proximity::region)};
    made.m_shape_weights = {15, 10, 10, 8, 8, 8, 5, 2, 16, 16};
    made.m_min_run_time = span::hours(1);
    made.m_max_run_time = span::hours(36);
    return made;
}

std::vector<generated_job> generate_jobs(const deployment& where,
                                         const workload_options& options)
{
    generator draw(where, options);
    std::vector<generated_job> jobs;
    double work = 0;
    for (std::size_t i = 0; i < options.m_jobs; ++i)
    {
        jobs.push_back(draw.job(i));
        work += static_cast<double>(jobs.back().m_actual.count()) *
                jobs.back().m_job.m_spec.m_shape.accelerators();
    }
    span length(std::llround(work / (where.accelerators() * options.m_load)));
    std::vector<instant> times = draw.arrivals(options.m_jobs, length);
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        jobs[i].m_job.m_accepted_at = times[i] + span(1);
    }
    return jobs;
}

} // namespace kingcuprudder
