#ifndef KINGCUPRUDDER_NODE_RECORD_WATCHER_HPP
#define KINGCUPRUDDER_NODE_RECORD_WATCHER_HPP

#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/read_latency.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace kingcuprudder::node
{

/// Watches the records below a prefix on a thread of its own. Lists them at the
/// start, after the store has compacted its history, and after a failure.
class record_watcher
{
public:
    struct hooks
    {
        /// Receives all records; they replace those received before. `sent` is
        /// the time at which the call was sent: the records are at most as old
        /// as that, however late the answer is read.
        std::function<void(const record_list&, instant sent)> m_listed;
        std::function<void(const record_changes&, instant sent)> m_changed;
        /// Receives the send time of each answered call.
        std::function<void(instant sent)> m_answered;
    };

    /// Each watch call lasts up to `wait`, which includes the time that the
    /// store is expected to take. After changes the next call follows
    /// after `batching_delay`, so that frequent changes arrive in batches.
    record_watcher(record_store& store, event_log& log, std::string prefix,
                   span wait, span batching_delay, hooks callbacks);
    ~record_watcher();
    record_watcher(const record_watcher&) = delete;
    record_watcher& operator=(const record_watcher&) = delete;

private:
    void run();
    bool list_all();
    /// Makes one watch call. Returns false if the records must be listed again.
    bool watch_changes();
    void pause(span time);
    void log_availability_change(bool answered, std::string_view reason);

    record_store& m_store;
    event_log& m_log;
    std::string m_prefix;
    span m_wait;
    span m_batching_delay;
    hooks m_hooks;
    read_latency m_latency;
    std::int64_t m_revision = 0;
    bool m_store_available = true;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
