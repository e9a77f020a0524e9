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

/// Calls the region's owner and follows it when it changes. Safe to use from
/// several threads.
class entry_owner_calls
{
public:
    using completion = std::function<void(result<caller_reply>)>;
    using call_content = decltype(caller_call::m_request);
    /// Sends one body to an address "ip:port" within the time given. The
    /// error's verdict is not_run only when nothing was sent.
    using transport = std::function<void(
        const std::string& address, std::string body, span timeout,
        std::function<void(result<std::string>)> done)>;

    entry_owner_calls(transport send, std::uint64_t seed);

    /// Waits for the calls in progress; each ends by its timeout.
    ~entry_owner_calls();
    entry_owner_calls(const entry_owner_calls&) = delete;
    entry_owner_calls& operator=(const entry_owner_calls&) = delete;

    /// The owner that the watch shows.
    void on_owner(std::optional<owner_record> owner);

    /// Makes one call without repetition. The completion is called once, on
    /// any thread, possibly before this function returns.
    void call_once(const call_content& content, span timeout, completion done);

    /// The same, waiting for the answer.
    result<caller_reply> call_once(const call_content& content, span timeout);

    /// Repeats a call until it is answered or the deadline has passed. Only
    /// for calls that have the same effect when repeated.
    result<caller_reply> call_until(const call_content& content,
                                    instant deadline);

    /// Waits until the owner has changed or the time has come.
    void wait_for_owner_change(instant until);

    /// Ends all waiting; later calls are not repeated.
    void stop();

    /// The owner's address; empty when none is known.
    std::string owner_address() const;

private:
    void note_end();
    void follow(const error& refusal, const std::string& asked);

    transport m_send;
    std::atomic<call_number> m_last_call = 0;
    std::atomic<std::uint64_t> m_next_seed;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_owner;
    std::uint64_t m_changes = 0;
    std::size_t m_in_progress = 0;
    bool m_stopped = false;
};

} // namespace kingcuprudder

#endif
