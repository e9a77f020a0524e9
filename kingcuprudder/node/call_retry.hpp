#ifndef KINGCUPRUDDER_NODE_CALL_RETRY_HPP
#define KINGCUPRUDDER_NODE_CALL_RETRY_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/node/read_latency.hpp>

#include <atomic>
#include <cstdint>

namespace kingcuprudder::node
{

/// Limits how many calls are retried more than once at the same time, so that a
/// store that refuses everyone is not flooded and other callers find a thread.
class retry_capacity
{
public:
    /// Takes a place. Returns false if none is free.
    bool acquire();
    void release();

private:
    std::atomic<int> m_in_use = 0;
};

/// How long the calls to the store took that one caller's request waited for.
struct store_times
{
    span m_confirmation; ///< Of the configuration.
    span m_read;         ///< Of records, the job's state for example.

    friend bool operator==(const store_times&, const store_times&) = default;
};

/// The attempts of one caller's request at the store: their timeouts, and
/// whether and when the next one follows. An instance that does not reach the
/// store gives up while its caller still has time to ask another one. Not safe
/// to use from several threads.
class call_retry
{
public:
    /// When to give up.
    enum class persistence
    {
        while_useful, ///< After a part of the caller's time.
        until_deadline,
    };

    call_retry(instant deadline, retry_capacity& capacity,
               const read_latency& latency);
    ~call_retry();
    call_retry(const call_retry&) = delete;
    call_retry& operator=(const call_retry&) = delete;

    /// The times of all attempts together.
    store_times& times() { return m_times; }
    const store_times& times() const { return m_times; }
    /// How long a read is expected to take.
    span expected_read_time() const { return m_latency.expected(); }
    /// Number of attempts that have begun.
    int attempts() const { return m_attempts; }
    /// Timeout of a read. The first attempt leaves time for one on a new
    /// connection, unless the store is known to be slow.
    span read_timeout() const;
    span write_timeout() const;
    /// Whether the caller waits no longer.
    bool is_past_deadline() const;
    /// Whether the time left suffices for another call.
    bool has_time() const;
    /// Waits before the next attempt. Returns false, without waiting, if there
    /// is to be none.
    bool next(persistence wanted);
    /// No further attempt follows: it would fail like this one.
    void give_up() { m_given_up = true; }

private:
    bool is_useful_after(span pause);
    span pause_length() const;

    retry_capacity& m_capacity;
    const read_latency& m_latency;
    store_times m_times;
    instant m_deadline;
    instant m_last_start; ///< No attempt begins later, unless it must.
    int m_attempts = 1;
    bool m_holds_place = false;
    bool m_given_up = false;
};

} // namespace kingcuprudder::node

#endif
