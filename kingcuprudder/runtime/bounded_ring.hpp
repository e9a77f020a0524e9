#ifndef KINGCUPRUDDER_RUNTIME_BOUNDED_RING_HPP
#define KINGCUPRUDDER_RUNTIME_BOUNDED_RING_HPP

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace kingcuprudder
{

/// A bounded blocking queue between threads, in a ring buffer that is allocated
/// once, at construction. Any number of threads may push and pop.
template <class T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : m_items(capacity) {}

    /// Adds an item. Returns false when the ring is full or closed; the item
    /// is then left unchanged.
    bool try_push(T&& item)
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_items.full())
            {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_not_empty.notify_one();
        return true;
    }

    /// Adds an item, waiting while the ring is full. Returns false when the
    /// ring is closed.
    bool push(T item)
    {
        {
            std::unique_lock lock(m_mutex);
            m_not_full.wait(lock,
                            [this] { return m_closed || !m_items.full(); });
            if (m_closed)
            {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_not_empty.notify_one();
        return true;
    }

    /// Removes and returns the oldest item, waiting for one up to the timeout.
    /// Returns nothing on timeout or when the ring is closed and empty.
    std::optional<T> pop(std::chrono::milliseconds timeout)
    {
        std::optional<T> item;
        {
            std::unique_lock lock(m_mutex);
            m_not_empty.wait_for(
                lock, timeout, [this] { return m_closed || !m_items.empty(); });
            if (m_items.empty())
            {
                return item;
            }
            item.emplace(std::move(m_items.front()));
            m_items.pop_front();
        }
        m_not_full.notify_one();
        return item;
    }

    /// Refuses further items and wakes all waiting threads. Items already in
    /// the ring can still be popped.
    void close()
    {
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
        }
        m_not_empty.notify_all();
        m_not_full.notify_all();
    }

    /// Whether the ring is at its capacity.
    bool full() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.full();
    }

    /// Returns the number of items.
    std::size_t size() const
    {
        std::lock_guard lock(m_mutex);
        return m_items.size();
    }

    bool closed() const
    {
        std::lock_guard lock(m_mutex);
        return m_closed;
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_not_empty;
    std::condition_variable m_not_full;
    boost::circular_buffer<T> m_items;
    bool m_closed = false;
};

} // namespace kingcuprudder

#endif
