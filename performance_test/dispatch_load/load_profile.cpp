#include <performance_test/dispatch_load/load_profile.hpp>

#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

/// What differs between the users' classes of one kind.
struct class_size
{
    std::string m_name;
    double m_per_second = 1;
    double m_estimate_error = 0;
    double m_width = 1;
    double m_max_width = 1;
    resources m_per_task;
};

load_class class_of(const class_size& size, int priority)
{
    load_class kind;
    kind.m_name = size.m_name;
    kind.m_per_second = size.m_per_second;
    kind.m_priority = priority;
    kind.m_estimate_error = size.m_estimate_error;
    kind.m_width = size.m_width;
    kind.m_max_width = size.m_max_width;
    kind.m_per_task = size.m_per_task;
    return kind;
}

/// Makes a class of gangs that are usually kept within a rack.
load_class gang_class(const class_size& size, int priority,
                      double same_rack_share)
{
    load_class kind = class_of(size, priority);
    kind.m_gpus = {1, 2, 4, 8, 8};
    kind.m_gang = true;
    kind.m_same_rack_share = same_rack_share;
    return kind;
}

load_class urgent_class(const class_size& size)
{
    load_class kind = gang_class(size, 0, 0.8);
    kind.m_credit = 4;
    kind.m_late_credit = 0.8;
    kind.m_stretch = 1.5;
    kind.m_start_allowance = span(250);
    kind.m_work_ms = 2500;
    kind.m_work_spread = 0.5;
    return kind;
}

load_class planning_class(const class_size& size, double late_credit,
                          double work_ms, int max_attempts)
{
    load_class kind = gang_class(size, 1, 0.6);
    kind.m_credit = 3;
    kind.m_late_credit = late_credit;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(1000);
    kind.m_max_attempts = max_attempts;
    kind.m_work_ms = work_ms;
    kind.m_checkpoint_share = 0.45;
    return kind;
}

load_class background_class(const class_size& size, double late_credit)
{
    load_class kind = class_of(size, 2);
    kind.m_credit = 1;
    kind.m_late_credit = late_credit;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(3000);
    kind.m_max_attempts = 4;
    kind.m_work_ms = 9500;
    kind.m_gpus = {1};
    kind.m_data_rack_share = 0.15;
    kind.m_checkpoint_share = 0.45;
    return kind;
}

load_profile profile_of(const std::string& name, std::int64_t cpu_millis,
                        double lost_work_price, std::vector<load_class> classes)
{
    load_profile profile;
    profile.m_name = name;
    profile.m_worker = {cpu_millis, 262'144, 8};
    profile.m_zone_slowdown = {1.0, 1.0, 1.3};
    profile.m_lost_work_price = lost_work_price;
    profile.m_classes = std::move(classes);
    return profile;
}

load_profile grown(load_profile profile, const std::vector<double>& rates,
                   const std::vector<double>& widths, int workers_per_rack)
{
    profile.m_name += "-grown";
    profile.m_workers = 350;
    profile.m_workers_per_rack = workers_per_rack;
    profile.m_accounts = 10;
    profile.m_guaranteed_gpus = 170;
    for (std::size_t kind = 0; kind < profile.m_classes.size(); ++kind)
    {
        load_class& each = profile.m_classes[kind];
        each.m_max_width *= widths[kind] / each.m_width;
        each.m_width = widths[kind];
        each.m_per_second = rates[kind];
    }
    return profile;
}

} // namespace

load_profile kovacsmuhely_profile()
{
    return profile_of(
        "kovacsmuhely", 64'000, 0.0019,
        {planning_class(
             {"roster-plan", 0.628, 0.9, 5, 30, {26'000, 110'000, 0}}, 0.3,
             8500, 2),
         urgent_class({"seat-confirm", 2.38, 0.2, 3.4, 21, {7'500, 31'000, 0}}),
         background_class(
             {"stock-check", 0.472, 0.2, 16, 94, {5'600, 16'000, 0}}, 0.1)});
}

load_profile etikettwerk_profile()
{
    return profile_of(
        "etikettwerk", 128'000, 0.0011,
        {planning_class(
             {"recipe-panel", 0.687, 0.2, 4, 24, {52'000, 110'000, 0}}, 0.9,
             9500, 4),
         urgent_class(
             {"allergen-check", 1.92, 0.5, 3, 18, {15'000, 22'000, 0}}),
         background_class(
             {"batch-recalc", 0.681, 0.9, 12, 72, {11'000, 23'000, 0}}, 0.3)});
}

load_profile kovacsmuhely_grown_profile()
{
    return grown(kovacsmuhely_profile(), {2.07, 11, 1.63}, {13, 5, 39}, 12);
}

load_profile etikettwerk_grown_profile()
{
    return grown(etikettwerk_profile(), {2.96, 13.8, 2.92}, {10, 5, 30}, 20);
}

load_profile kovacsmuhely_large_profile()
{
    load_profile profile =
        grown(kovacsmuhely_profile(), {4.29, 17.2, 2.7}, {13, 5, 38}, 12);
    profile.m_name = "kovacsmuhely-large";
    profile.m_workers = 540;
    profile.m_accounts = 24;
    profile.m_classes[0].m_work_ms = 6800;
    return profile;
}

} // namespace kingcuprudder::dispatch
