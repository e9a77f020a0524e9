#ifndef KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_RUNNER_HPP
#define KINGCUPRUDDER_TOOLS_KCR_LOAD_LOAD_RUNNER_HPP

#include "load_options.hpp"
#include "load_report.hpp"
#include <kingcuprudder/history/history_recorder.hpp>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace kingcuprudder::load
{

/// One scheduled call.
struct planned_call
{
    std::chrono::microseconds m_at{0}; ///< Offset from the start.
    bool m_is_job = false;
    bool m_idempotent = false;
    std::uint32_t m_tasks = 1;
    std::size_t m_entry = 0;
    std::string m_id;
};

/// Generates the load and records the answers that the callers received.
class load_runner
{
public:
    explicit load_runner(const load_options& options);

    /// Makes all calls and waits until they end.
    void run();

    /// Returns the statistics; valid after run().
    const load_report& report() const { return m_report; }

    /// Returns the calls and answers of the callers; valid after run().
    const history_recorder& history() const { return m_history; }

    /// Whether the request or job with this name may run more than once.
    /// Names that this load run did not use count as idempotent.
    bool idempotent(const std::string& subject) const;

    /// Returns the number of jobs that had not ended when the wait for them
    /// timed out.
    std::size_t unfinished_jobs() const { return m_unfinished; }

    /// Returns the number of workers in the last reported placement of an
    /// ended job, or zero if no end was reported.
    std::uint32_t parts_of(const std::string& subject) const;

private:
    struct reply
    {
        bool m_answered = false;
        int m_status = 0;
        std::string m_body;
    };

    void plan();
    void run_calls();
    void run_request(const planned_call& call);
    void run_job(const planned_call& call);
    bool submit(const planned_call& call, const std::string& subject);
    void wait_for_end(const planned_call& call, const std::string& subject);
    reply send(std::size_t entry, const std::string& path,
               const std::string& body, span timeout);
    history_call_id invoke(const std::string& subject, call_kind kind,
                           bool idempotent);
    nlohmann::json record_reply(const std::string& kind, history_call_id call,
                                const std::string& subject,
                                const reply& received,
                                std::chrono::steady_clock::time_point begin);
    void record_end(const std::string& subject, const nlohmann::json& status);
    std::string subject_of(const planned_call& call) const;

    load_options m_options;
    std::vector<planned_call> m_plan;
    std::atomic<std::size_t> m_next = 0;
    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex; // Guards the members below.
    history_recorder m_history;
    load_report m_report;
    std::map<std::string, bool> m_idempotent;
    std::map<std::string, std::uint32_t> m_parts;
    std::size_t m_unfinished = 0;
};

} // namespace kingcuprudder::load

#endif
