#ifndef KINGCUPRUDDER_SERVICE_ENTRY_OWNER_CALLS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_OWNER_CALLS_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/region/region_owner.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace kingcuprudder
{

/// Calls the owner of the region and switches to the new owner when it changes.
/// Safe to use from several threads.
class entry_owner_calls
{
public:
    using completion = std::function<void(result<caller_reply>)>;
    using call_content = decltype(caller_call::m_request);
    /// Sends a body to an address "ip:port" with a timeout. The verdict of an
    /// error is not_run only if nothing was sent.
    using transport = std::function<void(
        const std::string& address, std::string body, span timeout,
        std::function<void(result<std::string>)> done)>;

    entry_owner_calls(transport send, std::uint64_t seed);

    /// Waits for the calls in progress, which end by their timeouts.
    ~entry_owner_calls();
    entry_owner_calls(const entry_owner_calls&) = delete;
    entry_owner_calls& operator=(const entry_owner_calls&) = delete;

    /// Sets the owner that the watch reports.
    void on_owner(std::optional<owner_record> owner);

    /// Makes one call without retries. The completion is called once, on any
    /// thread and possibly before this function returns.
    void call_once(const call_content& content, span timeout, completion done);

    /// Makes one call without retries and waits for the reply.
    result<caller_reply> call_once(const call_content& content, span timeout);

    /// Retries a call until it is answered or the deadline has passed. Only for
    /// idempotent calls.
    result<caller_reply> call_until(const call_content& content,
                                    instant deadline);

    /// Waits until the owner changes, `until` is reached or stop() is called.
    void wait_for_owner_change(instant until);

    /// Wakes all waiting threads; calls are not retried from now on.
    void stop();

    /// Returns the address of the owner, or an empty string if there is none.
    std::string owner_address() const;

private:
    void finish_call();
    void adopt_owner(const error& refusal, const std::string& asked);

    transport m_send;
    std::atomic<call_number> m_last_call = 0;
    std::atomic<std::uint64_t> m_next_seed;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_owner;
    std::uint64_t m_owner_changes = 0;
    std::size_t m_in_progress = 0;
    bool m_stopped = false;
};

} // namespace kingcuprudder

#endif
