#include <performance_test/dispatch_load/load_profile.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

load_class urgent_class(const std::string& name, double rate, double width,
                        double max_width, resources demand, double error)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 0;
    kind.m_credit = 4;
    kind.m_late_credit = 0.8;
    kind.m_stretch = 1.5;
    kind.m_start_allowance = span(250);
    kind.m_work_ms = 2500;
    kind.m_work_spread = 0.5;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1, 2, 4, 8, 8};
    kind.m_gang = true;
    kind.m_same_rack_share = 0.8;
    return kind;
}

load_class planning_class(const std::string& name, double rate, double late,
                          double work, double error, double width,
                          double max_width, resources demand, int attempts)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 1;
    kind.m_credit = 3;
    kind.m_late_credit = late;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(1000);
    kind.m_max_attempts = attempts;
    kind.m_work_ms = work;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1, 2, 4, 8, 8};
    kind.m_gang = true;
    kind.m_same_rack_share = 0.6;
    kind.m_checkpoint_share = 0.45;
    return kind;
}

load_class background_class(const std::string& name, double rate, double late,
                            double error, double width, double max_width,
                            resources demand)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 2;
    kind.m_credit = 1;
    kind.m_late_credit = late;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(3000);
    kind.m_max_attempts = 4;
    kind.m_work_ms = 9500;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1};
    kind.m_data_rack_share = 0.15;
    kind.m_checkpoint_share = 0.45;
    return kind;
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
    load_profile profile;
    profile.m_name = "kovacsmuhely";
    profile.m_worker = {64'000, 262'144, 8};
    profile.m_zone_slowdown = {1.0, 1.0, 1.3};
    profile.m_lost_work_price = 0.0019;
    profile.m_classes = {
        planning_class("roster-plan", 0.628, 0.3, 8500, 0.9, 5, 30,
                       {26'000, 110'000, 0}, 2),
        urgent_class("seat-confirm", 2.38, 3.4, 21, {7'500, 31'000, 0}, 0.2),
        background_class("stock-check", 0.472, 0.1, 0.2, 16, 94,
                         {5'600, 16'000, 0})};
    return profile;
}

load_profile etikettwerk_profile()
{
    load_profile profile;
    profile.m_name = "etikettwerk";
    profile.m_worker = {128'000, 262'144, 8};
    profile.m_zone_slowdown = {1.0, 1.0, 1.3};
    profile.m_lost_work_price = 0.0011;
    profile.m_classes = {
        planning_class("recipe-panel", 0.687, 0.9, 9500, 0.2, 4, 24,
                       {52'000, 110'000, 0}, 4),
        urgent_class("allergen-check", 1.92, 3, 18, {15'000, 22'000, 0}, 0.5),
        background_class("batch-recalc", 0.681, 0.3, 0.9, 12, 72,
                         {11'000, 23'000, 0})};
    return profile;
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
