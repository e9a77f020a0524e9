#ifndef KINGCUPRUDDER_NODE_LEADERSHIP_HPP
#define KINGCUPRUDDER_NODE_LEADERSHIP_HPP

#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/read_latency.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/record_watcher.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace kingcuprudder::node
{

/// One period of leadership, held under a lease of the store.
class term
{
public:
    /// The record is the one that names this term's leader. Its value is
    /// different in each term.
    term(std::int64_t fence, instant valid_until, record_write leader_record)
        : m_leader_record(std::move(leader_record)), m_fence(fence),
          m_valid_until(valid_until.count())
    {
    }

    /// Returns the fencing token of the term: the revision of the leader
    /// record, which increases monotonically. It rises when the leader writes
    /// its record again.
    std::int64_t fence() const { return m_fence; }
    /// Sets the fencing token after the leader record was written again.
    void raise_fence(std::int64_t fence) { m_fence = fence; }
    const record_write& leader_record() const { return m_leader_record; }
    /// Returns whether no other process can have become the leader yet.
    bool is_valid() const;
    /// Returns whether none can have become the leader by this time.
    bool is_valid_at(instant time) const
    {
        return !m_ended && time.count() < m_valid_until;
    }
    void extend(instant valid_until) { m_valid_until = valid_until.count(); }
    /// Ends the term; a later extend() does not make it valid again.
    void end() { m_ended = true; }
    bool ended() const { return m_ended; }

private:
    record_write m_leader_record;
    std::atomic<std::int64_t> m_fence;
    std::atomic<bool> m_ended = false;
    std::atomic<std::int64_t> m_valid_until;
};

/// Takes part in the election of the leader and renews the leader's lease while
/// this process is the leader. Runs on a thread of its own.
class leadership
{
public:
    struct hooks
    {
        std::function<void(const std::shared_ptr<term>&)> m_began;
        std::function<void()> m_ended;
    };

    /// The node name must be unique. A process that starts on a node takes over
    /// at once from an earlier process of the same node, as that has ended.
    leadership(record_store& store, event_log& log, std::string node,
               double processor_share, hooks callbacks);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    /// Releases the lease, if held, and leaves the election.
    void resign();

private:
    struct holder
    {
        std::string m_node;
        std::string m_process;
        double m_processor_share = 0;
    };

    void run();
    void follow();
    void lead();
    void try_to_acquire(std::int64_t expected_revision);
    bool begin_term(std::int64_t revision, instant lease_sent);
    void end_term(const std::string& reason);
    void pause(span time);
    /// Returns how long this process waits for candidates with more processor
    /// time before it tries to become the leader.
    span election_delay() const;
    std::string leader_record_value() const;
    static std::optional<holder> parse_holder(const std::string& value);

    record_store& m_store;
    read_latency m_latency;
    event_log& m_log;
    std::string m_node;
    std::string m_process;
    double m_processor_share;
    /// Processor time, in cores, of the last leader on another node.
    double m_leader_processor_share = 1;
    hooks m_hooks;
    std::int64_t m_lease = 0;
    std::shared_ptr<term> m_term;
    std::string m_logged_holder;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
