#ifndef KINGCUPRUDDER_SERVICE_ENTRY_JOBS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_JOBS_HPP

#include <kingcuprudder/service/entry_json.hpp>
#include <kingcuprudder/service/entry_owner_calls.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <atomic>
#include <cstdint>
#include <string_view>

namespace kingcuprudder
{

/// Serves the callers' job calls by calls to the region's owner. Each call
/// is repeated until its timeout. Safe to use from several threads.
class entry_jobs
{
public:
    /// A caller can wait at most this long for a job's end in one call.
    static constexpr span longest_wait = span::seconds(60);

    entry_jobs(entry_owner_calls& owner, std::uint32_t max_waiting_callers);

    entry_response submit(std::string_view body,
                          const effective_settings& settings, span timeout);

    /// Waits up to `wait` for the job's end; zero answers at once.
    entry_response query(const job_key& job, span wait, span timeout);

    entry_response list(const account_id& account, span timeout);
    entry_response cancel(const job_key& job, span timeout);
    entry_response explain(const job_key& job, span timeout);

    /// Answers waiting callers soon with the present status, so that a
    /// shutdown need not wait for jobs to end.
    void begin_draining() { m_draining = true; }

    /// Callers that wait for a job's end at the moment.
    std::uint32_t waiting_callers() const { return m_waiting; }

private:
    entry_response call(const entry_owner_calls::call_content& content,
                        span timeout);
    entry_response submit(const job_submission& submission,
                          const job_spec& spec, span timeout);
    entry_response wait_for_end(const job_key& job, span wait, span timeout);
    result<caller_reply> wait_in_steps(const job_key& job, instant end,
                                       span timeout);

    entry_owner_calls& m_owner;
    std::uint32_t m_max_waiting_callers;
    std::atomic<std::uint32_t> m_waiting = 0;
    std::atomic<bool> m_draining = false;
};

} // namespace kingcuprudder

#endif
