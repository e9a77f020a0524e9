#ifndef KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_REPORT_HPP
#define KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_REPORT_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/history/history_checker.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::load
{

/// Latencies and outcomes of the calls of one kind.
struct call_statistics
{
    std::vector<std::int64_t> m_latencies_us;        ///< Of answered calls.
    std::map<std::string, std::uint64_t> m_outcomes; ///< By verdict or code.
    std::uint64_t m_repeats = 0; ///< Retries with the same id.
};

/// The result of a load run.
struct load_report
{
    std::map<std::string, call_statistics> m_kinds;
    std::vector<history_violation> m_violations;
    /// Histories that could not be read. The check is incomplete unless this
    /// is empty.
    std::vector<std::string> m_unread_histories;
    bool m_checked = false;
};

std::string to_text(const load_report& report);
std::string to_json(const load_report& report);

} // namespace kingcuprudder::load

#endif
