#ifndef KINGCUPRUDDER_SERVICE_ENTRY_REQUESTS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_REQUESTS_HPP

#include <kingcuprudder/request/request_session.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/service/entry_minion_calls.hpp>
#include <kingcuprudder/service/entry_owner_calls.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace kingcuprudder
{

/// Runs requests on minions: drives the session of each request on the thread
/// of its caller, and reports outcomes to the owner of the region from a
/// separate thread. Safe to use from several threads.
class entry_requests
{
public:
    /// The router is shared with the membership poller; `router_mutex` guards
    /// it.
    entry_requests(request_router& router, std::mutex& router_mutex,
                   entry_minion_calls& minions, entry_owner_calls& owner,
                   std::string holder_prefix);
    ~entry_requests();
    entry_requests(const entry_requests&) = delete;
    entry_requests& operator=(const entry_requests&) = delete;

    /// Runs a request to completion and returns the answer for its caller.
    result<request_answer> run(const service_request& request);

    /// Waits until every outcome is reported or its report abandoned.
    void finish_reports();

    /// Returns the number of outcomes that the owner has not acknowledged.
    std::size_t open_reports() const;

private:
    struct event
    {
        std::uint64_t m_session = 0;
        session_call_id m_call = 0;
        std::unique_ptr<request_session> m_new;
        std::unique_ptr<report_outcome> m_first_report;
        std::unique_ptr<result<caller_reply>> m_reply;
    };
    struct reporting
    {
        std::unique_ptr<request_session> m_session;
        instant m_due; ///< Zero while waiting for a reply.
    };

    result<request_answer> drive(std::unique_ptr<request_session> session);
    request_session::effects carry_out(request_session& session,
                                       const session_effect& effect);
    void queue_report(std::unique_ptr<request_session> session,
                      const report_outcome& report);
    void report_loop();
    void handle(event& each);
    void run_due_timers(instant now);
    void apply(std::uint64_t id, reporting& entry,
               const request_session::effects& effects);
    span time_to_next() const;
    void remove_finished(std::uint64_t id);

    request_router& m_router;
    std::mutex& m_router_mutex;
    entry_minion_calls& m_minions;
    entry_owner_calls& m_owner;
    std::string m_holder_prefix;
    std::atomic<std::uint64_t> m_last_holder = 0;
    std::shared_ptr<bounded_ring<event>> m_events;
    std::map<std::uint64_t, reporting> m_reporting; // Report thread only.
    std::uint64_t m_last_session = 0;               // Report thread only.
    mutable std::mutex m_open_mutex;
    std::condition_variable m_none_open;
    std::size_t m_open = 0;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
