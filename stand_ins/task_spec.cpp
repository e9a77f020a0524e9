#include <nlohmann/json.hpp>
#include <stand_ins/task_spec.hpp>

#include <sstream>

namespace kingcuprudder::stand_ins
{

namespace
{

constexpr span persistent_duration = span::seconds(86'400);

task_spec parse_numbers(const std::string& text)
{
    std::istringstream numbers(text);
    task_spec spec;
    std::int64_t duration_ms = 0;
    numbers >> duration_ms;
    spec.m_duration = span(duration_ms);
    int gang_size = 1;
    if (numbers >> gang_size)
    {
        spec.m_gang_size = gang_size;
    }
    int crashing_index = 0;
    std::int64_t crash_delay_ms = 0;
    if (numbers >> crashing_index >> crash_delay_ms)
    {
        spec.m_crashing_index = crashing_index;
        spec.m_crash_delay = span(crash_delay_ms);
    }
    return spec;
}

} // namespace

task_spec parse_task_spec(const std::string& spec)
{
    if (!spec.starts_with('{'))
    {
        return parse_numbers(spec);
    }
    const auto body = nlohmann::json::parse(spec);
    task_spec parsed;
    parsed.m_persistent = body.value("lasts", false);
    parsed.m_duration = parsed.m_persistent
                            ? persistent_duration
                            : span(body.value("runMs", std::int64_t(0)));
    parsed.m_gang_size = body.value("gang", 1);
    parsed.m_gpus = body.value("gpu", 1);
    parsed.m_cpu = body.value("cpu", std::int64_t(0));
    parsed.m_memory_mb = body.value("memMb", std::int64_t(0));
    parsed.m_saves_progress = body.value("saves", false);
    return parsed;
}

} // namespace kingcuprudder::stand_ins
