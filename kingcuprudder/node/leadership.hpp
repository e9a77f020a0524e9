#ifndef KINGCUPRUDDER_NODE_LEADERSHIP_HPP
#define KINGCUPRUDDER_NODE_LEADERSHIP_HPP

#include <kingcuprudder/node/event_log.hpp>
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

namespace kingcuprudder::node
{

/// The right to decide, held under a lease of the store.
class term
{
public:
    term(std::int64_t fence, instant valid_until)
        : m_fence(fence), m_valid_until(valid_until.count())
    {
    }

    /// Rises with each term; the revision of the leader record.
    std::int64_t fence() const { return m_fence; }
    /// Whether no other process can have taken over yet.
    bool is_valid() const;
    void extend(instant valid_until) { m_valid_until = valid_until.count(); }
    /// Ends the term for good.
    void end() { m_ended = true; }
    bool ended() const { return m_ended; }

private:
    std::int64_t m_fence;
    std::atomic<bool> m_ended = false;
    std::atomic<std::int64_t> m_valid_until;
};

/// Takes and keeps the lease under which one process decides for all. Runs on
/// a thread of its own.
class leadership
{
public:
    struct hooks
    {
        std::function<void(const std::shared_ptr<term>&)> m_began;
        std::function<void()> m_ended;
    };

    /// The node name must be unique; a process that starts on a node takes
    /// over at once from an earlier process of the same node, which is gone.
    leadership(record_store& store, event_log& log, std::string node,
               double processor_share, hooks calls);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    /// Gives the lease back and takes it no more.
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
    void try_to_lead(std::int64_t expected_revision);
    bool own_record(std::int64_t revision, instant lease_sent);
    void end_term(const std::string& reason);
    void pause(span time);
    /// How long this process lets others take the lead first.
    span start_delay() const;
    std::string own_value() const;
    static std::optional<holder> read_holder(const std::string& value);

    record_store& m_store;
    event_log& m_log;
    std::string m_node;
    std::string m_process;
    double m_processor_share;
    /// The most processor time that a leader was seen to have.
    double m_best_share = 1;
    hooks m_hooks;
    std::int64_t m_lease = 0;
    std::shared_ptr<term> m_term;
    std::string m_seen_holder;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
