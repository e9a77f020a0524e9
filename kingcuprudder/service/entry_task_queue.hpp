#ifndef KINGCUPRUDDER_SERVICE_ENTRY_TASK_QUEUE_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_TASK_QUEUE_HPP

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace kingcuprudder
{

/// How the current thread handles the connection that it serves.
enum class connection_mode
{
    serve,  ///< Answer its requests.
    refuse, ///< Answer one request with a refusal, then close.
    drop,   ///< Close immediately.
};

/// The thread pool of an HTTP server. The pool of cpp-httplib queues
/// connections without a bound; this one passes connections over the bound to a
/// dedicated thread that refuses them.
class entry_task_queue final : public httplib::TaskQueue
{
public:
    entry_task_queue(std::size_t threads, std::size_t max_queued);

    void enqueue(std::function<void()> task) override;

    /// Runs all queued tasks, then joins the threads.
    void shutdown() override;

    /// Returns the mode of the task that the current thread runs.
    static connection_mode current_mode();

private:
    struct lane
    {
        std::deque<std::function<void()>> m_tasks;
        std::condition_variable m_changed;
    };

    void run(lane& source, connection_mode mode);

    std::size_t m_max_queued;
    std::mutex m_mutex;
    lane m_served;
    lane m_refused;
    std::size_t m_idle_threads = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuprudder

#endif
