#ifndef KINGCUPRUDDER_RUNTIME_HEAP_RELEASE_HPP
#define KINGCUPRUDDER_RUNTIME_HEAP_RELEASE_HPP

#include <kingcuprudder/runtime/event_loop.hpp>

#include <cstddef>

namespace kingcuprudder
{

/// Has the allocator return large blocks and free memory at the end of a heap
/// to the system. By default it keeps more for each thread with each large
/// block that is freed. Called before the process has other threads.
void limit_kept_heap();

/// Returns all freed memory of the process to the system. Takes milliseconds
/// when there is much of it. Callable from any thread.
void release_freed_memory();

/// Returns freed memory of the process to the system after a peak, as the
/// allocator keeps it otherwise. Used on the event loop's thread only.
class heap_release
{
public:
    explicit heap_release(event_loop& loop);

    /// Notes how much the caller of this function holds now, in bytes.
    void note_held(std::size_t bytes);

private:
    event_loop& m_loop;
    event_loop::timer m_timer;
    bool m_scheduled = false;
    std::size_t m_held_bytes = 0;
    /// The most that was held since memory was last released.
    std::size_t m_peak_bytes = 0;
};

} // namespace kingcuprudder

#endif
