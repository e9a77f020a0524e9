#ifndef KINGCUPRUDDER_NODE_LEADER_WRITER_HPP
#define KINGCUPRUDDER_NODE_LEADER_WRITER_HPP

#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace kingcuprudder::node
{

/// Commits transactions one after the other, each under the condition that this
/// process is still the leader. Runs on a thread of its own.
class leader_writer
{
public:
    /// Receives the outcome of a transaction. Called on the writer's thread.
    using done_hook = std::function<void(const store_result<commit_answer>&)>;

    leader_writer(record_store& store, std::shared_ptr<term> current_term);
    ~leader_writer();
    leader_writer(const leader_writer&) = delete;
    leader_writer& operator=(const leader_writer&) = delete;

    bool full() const { return m_queue.full(); }
    /// Adds a transaction. Returns false when the queue is full or closed.
    bool try_push(store_transaction transaction, done_hook done);
    /// Refuses further transactions. Those in the queue are still committed.
    void close();
    /// Closes the queue and waits until it is empty.
    void join();

private:
    struct queued_write
    {
        store_transaction m_transaction;
        done_hook m_done;
    };

    void run();
    store_result<commit_answer> commit_as_leader(store_transaction transaction);
    /// Takes over the fencing token from a conflict that shows that a write of
    /// this term's leader record, whose answer was lost, was applied. Returns
    /// whether it did.
    bool adopt_fence(const store_result<commit_answer>& outcome);

    record_store& m_store;
    std::shared_ptr<term> m_term;
    bounded_ring<queued_write> m_queue;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
