#include "load_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace kingcuprudder::load
{

namespace
{

constexpr std::array<std::pair<const char*, double>, 4> percentiles{
    {{"p50_us", 0.5}, {"p90_us", 0.9}, {"p99_us", 0.99}, {"max_us", 1.0}}};

std::int64_t percentile(const std::vector<std::int64_t>& sorted, double part)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto place =
        static_cast<std::size_t>(part * static_cast<double>(sorted.size() - 1));
    return sorted[place];
}

nlohmann::json describe(const call_statistics& kind)
{
    std::vector<std::int64_t> sorted = kind.m_latencies_us;
    std::sort(sorted.begin(), sorted.end());
    nlohmann::json json{{"answered", sorted.size()},
                        {"repeats", kind.m_repeats},
                        {"outcomes", kind.m_outcomes}};
    for (const auto& [name, part] : percentiles)
    {
        json[name] = percentile(sorted, part);
    }
    return json;
}

nlohmann::json describe(const load_report& report)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto& [name, kind] : report.m_kinds)
    {
        json["calls"][name] = describe(kind);
    }
    json["checked"] = report.m_checked;
    json["unread_histories"] = report.m_unread_histories;
    json["violations"] = nlohmann::json::array();
    for (const history_violation& each : report.m_violations)
    {
        json["violations"].push_back(
            {{"rule", to_string(each.m_rule)}, {"text", each.m_text}});
    }
    return json;
}

} // namespace

std::string to_json(const load_report& report)
{
    return describe(report).dump(2);
}

std::string to_text(const load_report& report)
{
    std::ostringstream text;
    for (const auto& [name, kind] : report.m_kinds)
    {
        const nlohmann::json json = describe(kind);
        text << name << ": " << json["answered"] << " answered, "
             << json["repeats"] << " repeated, outcomes "
             << json["outcomes"].dump() << "\n ";
        for (const auto& [label, part] : percentiles)
        {
            text << " " << label << " " << json[label];
        }
        text << "\n";
    }
    for (const std::string& each : report.m_unread_histories)
    {
        text << "history not read: " << each << "\n";
    }
    for (const history_violation& each : report.m_violations)
    {
        text << "VIOLATION " << to_string(each.m_rule) << ": " << each.m_text
             << "\n";
    }
    text << (report.m_checked
                 ? "checked: " + std::to_string(report.m_violations.size()) +
                       " violations\n"
                 : std::string("not checked: no history was given\n"));
    return text.str();
}

} // namespace kingcuprudder::load
