#ifndef KINGCUPRUDDER_SERVICE_STORE_CALLER_HPP
#define KINGCUPRUDDER_SERVICE_STORE_CALLER_HPP

#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <functional>
#include <thread>
#include <vector>

namespace kingcuprudder
{

/// Executes store calls on a fixed number of threads.
class store_caller
{
public:
    /// Called once for each accepted call, on an internal thread, with the
    /// duration of the call.
    using completion = std::function<void(store_answer, span latency)>;

    /// The store must outlive this object.
    store_caller(key_value_store& store, completion done);
    ~store_caller();
    store_caller(const store_caller&) = delete;
    store_caller& operator=(const store_caller&) = delete;

    /// Queues a call. Returns false if the queue is full; the completion is
    /// then not called.
    bool call(store_call request);

private:
    void run();

    key_value_store& m_store;
    completion m_done;
    bounded_ring<store_call> m_waiting;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuprudder

#endif
