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

/// One call that the schedule asks for.
struct planned_call
{
    std::chrono::microseconds m_at{0}; ///< After the start.
    bool m_is_job = false;
    bool m_idempotent = false;
    std::uint32_t m_tasks = 1;
    std::size_t m_entry = 0;
    std::string m_id;
};

/// Makes the load and records what the callers were told.
class load_runner
{
public:
    explicit load_runner(const load_options& options);

    /// Makes all calls and waits for their ends.
    void run();

    /// The statistics so far; call it after run().
    const load_report& report() const { return m_report; }

    /// What the callers saw; call it after run().
    const history_recorder& history() const { return m_history; }

    /// Whether the request or job with this name may run more than once.
    /// Names that this run did not use count as idempotent.
    bool idempotent(const std::string& subject) const;

    /// Jobs that had not ended when their callers gave up waiting.
    std::size_t unfinished_jobs() const { return m_unfinished; }

    /// How many workers a job ended on; zero when that is not known.
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
    nlohmann::json note_reply(const std::string& kind, history_call_id call,
                              const std::string& subject, const reply& received,
                              std::chrono::steady_clock::time_point begin);
    void note_end(const std::string& subject, const nlohmann::json& status);
    std::string subject_of(const planned_call& call) const;

    load_options m_options;
    std::vector<planned_call> m_plan;
    std::atomic<std::size_t> m_next = 0;
    std::chrono::steady_clock::time_point m_start;
    std::mutex m_mutex; // Guards the rest.
    history_recorder m_history;
    load_report m_report;
    std::map<std::string, bool> m_idempotent;
    std::map<std::string, std::uint32_t> m_parts;
    std::size_t m_unfinished = 0;
};

} // namespace kingcuprudder::load

#endif
