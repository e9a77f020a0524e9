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

/// Serves job calls of callers by forwarding them to the owner of the region. A
/// call is retried until its timeout. Safe to use from several threads.
class entry_jobs
{
public:
    /// The maximum time a caller can wait for the end of a job in one call.
    static constexpr span max_wait = span::seconds(60);

    entry_jobs(entry_owner_calls& owner, std::uint32_t max_waiting_callers);

    entry_response submit(std::string_view body,
                          const effective_settings& settings, span timeout);

    /// Waits up to `wait` for the end of the job. With zero, returns the
    /// current status immediately.
    entry_response query(const job_key& job, span wait, span timeout);

    entry_response list(const account_id& account, span timeout);
    entry_response cancel(const job_key& job, span timeout);
    entry_response explain(const job_key& job, span timeout);

    /// Makes waiting callers receive the current status within one wait step,
    /// so that a shutdown does not wait for jobs to end.
    void begin_draining() { m_draining = true; }

    /// Returns the number of callers that are waiting for the end of a job.
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
