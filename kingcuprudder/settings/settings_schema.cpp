#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <nlohmann/json.hpp>

#include <type_traits>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

constexpr std::int64_t milliseconds_per_second = 1000;
constexpr std::int64_t seconds_per_day = 86400;

/// 64 TiB, far above any worker; catches a value given in kilobytes.
constexpr std::int64_t max_memory_mb = 67108864;

/// Milliseconds in one unit of a duration.
std::int64_t milliseconds_per_unit(const setting_field& field)
{
    return field.m_unit == "s" ? milliseconds_per_second : 1;
}

std::uint32_t read_count(const json& values, const char* name,
                         std::uint32_t fallback)
{
    return values.contains(name) ? values.at(name).get<std::uint32_t>()
                                 : fallback;
}

guarantee decode_guarantee(const json& value)
{
    const json& from = value.at("shape");
    guarantee decoded;
    shape& to = decoded.m_shape;
    to.m_tasks = read_count(from, "tasks", to.m_tasks);
    to.m_accelerators_per_task =
        read_count(from, "accelerators_per_task", to.m_accelerators_per_task);
    to.m_cores_per_task =
        read_count(from, "cores_per_task", to.m_cores_per_task);
    to.m_memory_mb_per_task =
        read_count(from, "memory_mb_per_task", to.m_memory_mb_per_task);
    if (from.contains("proximity"))
    {
        const auto parsed =
            proximity_from_string(from.at("proximity").get<std::string>());
        KCR_ASSERT(parsed.has_value());
        to.m_proximity = *parsed;
    }
    decoded.m_count = read_count(value, "count", decoded.m_count);
    return decoded;
}

template <class T>
T decode_value(const setting_field& field, const json& value)
{
    if constexpr (std::is_same_v<T, span>)
    {
        return span(value.get<std::int64_t>() * milliseconds_per_unit(field));
    }
    else if constexpr (std::is_same_v<T, std::vector<guarantee>>)
    {
        T list;
        for (const json& each : value)
        {
            list.push_back(decode_guarantee(each));
        }
        return list;
    }
    else
    {
        return value.get<T>();
    }
}

template <class T>
json encode_value(const setting_field& field, const T& value)
{
    if constexpr (std::is_same_v<T, span>)
    {
        return value.count() / milliseconds_per_unit(field);
    }
    else if constexpr (std::is_same_v<T, std::vector<guarantee>>)
    {
        // Built-in guarantees would guarantee capacity that nobody configured.
        KCR_ASSERT(value.empty());
        return json::array();
    }
    else
    {
        return value;
    }
}

/// A setting and how its effective value is read and written.
template <class Section>
struct binding
{
    setting_field m_field;
    void (*m_write)(const setting_field&, Section&, const json&);
    json (*m_read)(const setting_field&, const Section&);
};

template <auto Member>
struct member_parts;

template <class Section, class T, T Section::*Member>
struct member_parts<Member>
{
    using section = Section;
    using value = T;
};

/// Binds a setting to the member that holds its effective value.
template <auto Member>
binding<typename member_parts<Member>::section> bind(const setting_field& field)
{
    using section = typename member_parts<Member>::section;
    using value = typename member_parts<Member>::value;
    return {field,
            [](const setting_field& in, section& to, const json& from)
            { to.*Member = decode_value<value>(in, from); },
            [](const setting_field& in, const section& from)
            { return encode_value<value>(in, from.*Member); }};
}

template <class Section>
const std::vector<binding<Section>>& bindings();

template <>
const std::vector<binding<account_settings>>& bindings()
{
    using s = account_settings;
    static const std::vector<binding<s>> list{
        bind<&s::m_priority>({settings_section::account, "priority",
                              setting_kind::integer, "", -1000, 1000,
                              "Accounts with a higher priority get their "
                              "guarantees back first."}),
        bind<&s::m_guarantees>(
            {settings_section::account, "guarantees", setting_kind::guarantees,
             "", 0, 0,
             "Capacity guaranteed to the account, as a list of shapes."}),
        bind<&s::m_max_queued_jobs>(
            {settings_section::account, "max_queued_jobs",
             setting_kind::integer, "jobs", 0, 1000000,
             "Maximum waiting jobs of the account; further ones are refused."}),
        bind<&s::m_max_requests_in_flight>(
            {settings_section::account, "max_requests_in_flight",
             setting_kind::integer, "requests", 0, 1000000,
             "Maximum requests of the account in flight on one entry "
             "process."}),
    };
    return list;
}

template <>
const std::vector<binding<job_class_settings>>& bindings()
{
    using s = job_class_settings;
    static const std::vector<binding<s>> list{
        bind<&s::m_idempotent>(
            {settings_section::job_class, "idempotent", setting_kind::boolean,
             "", 0, 0, "Whether a job of the class may be run again."}),
        bind<&s::m_preemptible>(
            {settings_section::job_class, "preemptible", setting_kind::boolean,
             "", 0, 0,
             "Whether a job of the class may be stopped and run later."}),
        bind<&s::m_urgent>(
            {settings_section::job_class, "urgent", setting_kind::boolean, "",
             0, 0, "Whether jobs of the class go to the front of the queue."}),
        bind<&s::m_default_run_time>(
            {settings_section::job_class, "default_run_time_s",
             setting_kind::integer, "s", 1, 30 * seconds_per_day,
             "Run time assumed for a job that declares none."}),
    };
    return list;
}

template <>
const std::vector<binding<service_settings>>& bindings()
{
    using s = service_settings;
    static const std::vector<binding<s>> list{
        bind<&s::m_max_in_flight_per_target>(
            {settings_section::service, "max_in_flight_per_target",
             setting_kind::integer, "requests", 1, 10000,
             "Maximum requests in flight from one entry process to one "
             "target."}),
        bind<&s::m_max_in_flight>({settings_section::service, "max_in_flight",
                                   setting_kind::integer, "requests", 1,
                                   1000000,
                                   "Maximum requests to the service in flight "
                                   "on one entry process."}),
        bind<&s::m_default_deadline>(
            {settings_section::service, "default_deadline_ms",
             setting_kind::integer, "ms", 1,
             seconds_per_day * milliseconds_per_second,
             "Deadline of a request that states none."}),
    };
    return list;
}

template <>
const std::vector<binding<scheduler_settings>>& bindings()
{
    using s = scheduler_settings;
    static const std::vector<binding<s>> list{
        bind<&s::m_fragmentation_weight_percent>(
            {settings_section::scheduler, "fragmentation_weight_percent",
             setting_kind::integer, "percent", 0, 100,
             "0 weighs only completion time, 100 only fragmentation."}),
        bind<&s::m_reclaim_bound>({settings_section::scheduler,
                                   "reclaim_bound_ms", setting_kind::integer,
                                   "ms", 50, 60000,
                                   "Time for a checkpoint before a job on "
                                   "borrowed capacity is stopped."}),
        bind<&s::m_max_attempts>({settings_section::scheduler, "max_attempts",
                                  setting_kind::integer, "attempts", 1, 100,
                                  "Attempts before a job ends as failed."}),
        bind<&s::m_worker_failures_before_set_aside>(
            {settings_section::scheduler, "worker_failures_before_set_aside",
             setting_kind::integer, "jobs", 1, 1000,
             "Different jobs in a row that fail on a worker before the worker "
             "is set aside."}),
        bind<&s::m_worker_probation>(
            {settings_section::scheduler, "worker_probation_s",
             setting_kind::integer, "s", 1, 7 * seconds_per_day,
             "Time before a worker that was set aside is tried again."}),
        bind<&s::m_min_task_lease>({settings_section::scheduler,
                                    "min_task_lease_s", setting_kind::integer,
                                    "s", 5, 3600,
                                    "Minimum duration of a task lease."}),
        bind<&s::m_max_queued_jobs>(
            {settings_section::scheduler, "max_queued_jobs",
             setting_kind::integer, "jobs", 1, 1000000,
             "Maximum waiting jobs of the region; further ones are refused."}),
    };
    return list;
}

template <class Section>
std::vector<setting_field> fields_of()
{
    std::vector<setting_field> fields;
    for (const auto& each : bindings<Section>())
    {
        fields.push_back(each.m_field);
    }
    return fields;
}

template <class Section>
json defaults_of()
{
    const Section section;
    json values = json::object();
    for (const auto& each : bindings<Section>())
    {
        values[std::string(each.m_field.m_name)] =
            each.m_read(each.m_field, section);
    }
    return values;
}

} // namespace

std::string_view to_string(settings_section section)
{
    switch (section)
    {
    case settings_section::account:
        return "account";
    case settings_section::job_class:
        return "job_class";
    case settings_section::service:
        return "service";
    case settings_section::scheduler:
        return "scheduler";
    }
    return "scheduler";
}

std::string_view region_key(settings_section section)
{
    switch (section)
    {
    case settings_section::account:
        return "accounts";
    case settings_section::job_class:
        return "job_classes";
    case settings_section::service:
        return "services";
    case settings_section::scheduler:
        return "scheduler";
    }
    return "scheduler";
}

const std::vector<setting_field>& section_fields(settings_section section)
{
    static const std::vector<setting_field> lists[] = {
        fields_of<account_settings>(), fields_of<job_class_settings>(),
        fields_of<service_settings>(), fields_of<scheduler_settings>()};
    return lists[static_cast<std::size_t>(section)];
}

const std::vector<guarantee_field>& shape_fields()
{
    // A worker has at most 64 accelerators, since a set of them is a 64-bit
    // mask.
    static const std::vector<guarantee_field> list{
        {"tasks", true, 1, 4096},
        {"accelerators_per_task", true, 1, 64},
        {"cores_per_task", false, 1, 4096},
        {"memory_mb_per_task", false, 0, max_memory_mb},
    };
    return list;
}

const guarantee_field& guarantee_count_field()
{
    static const guarantee_field field{"count", false, 1, 10000};
    return field;
}

json built_in_defaults(settings_section section)
{
    switch (section)
    {
    case settings_section::account:
        return defaults_of<account_settings>();
    case settings_section::job_class:
        return defaults_of<job_class_settings>();
    case settings_section::service:
        return defaults_of<service_settings>();
    case settings_section::scheduler:
        return defaults_of<scheduler_settings>();
    }
    return json::object();
}

template <class Section>
Section decode_section(const json& values)
{
    Section section;
    for (const auto& each : bindings<Section>())
    {
        const auto found = values.find(std::string(each.m_field.m_name));
        if (found != values.end())
        {
            each.m_write(each.m_field, section, *found);
        }
    }
    return section;
}

template account_settings decode_section<account_settings>(const json&);
template job_class_settings decode_section<job_class_settings>(const json&);
template service_settings decode_section<service_settings>(const json&);
template scheduler_settings decode_section<scheduler_settings>(const json&);

} // namespace kingcuprudder
