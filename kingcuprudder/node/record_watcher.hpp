#ifndef KINGCUPRUDDER_NODE_RECORD_WATCHER_HPP
#define KINGCUPRUDDER_NODE_RECORD_WATCHER_HPP

#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace kingcuprudder::node
{

/// Follows the records below a prefix on a thread of its own. Reads the list
/// first, again after the store has dropped the history, and after a failure.
class record_watcher
{
public:
    struct hooks
    {
        /// All records, in place of what was known.
        std::function<void(const record_list&)> m_listed;
        std::function<void(const record_changes&)> m_changed;
        /// The store answered a call that was sent at this time.
        std::function<void(instant sent)> m_fresh;
    };

    /// After changes the next call is made no sooner than the given time, so
    /// that frequent changes come several at a time.
    record_watcher(record_store& store, event_log& log, std::string prefix,
                   span wait, span gather, hooks calls);
    ~record_watcher();
    record_watcher(const record_watcher&) = delete;
    record_watcher& operator=(const record_watcher&) = delete;

private:
    void run();
    bool list_all();
    /// False when the list must be read again.
    bool follow();
    void pause(span time);
    void note_answer(bool answered, std::string_view reason);

    record_store& m_store;
    event_log& m_log;
    std::string m_prefix;
    span m_wait;
    span m_gather;
    hooks m_hooks;
    std::int64_t m_revision = 0;
    bool m_answers = true;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
