#include <kingcuprudder/runtime/heap_release.hpp>

#include <algorithm>
#include <malloc.h>

namespace kingcuprudder
{

namespace
{

// What a heap keeps at its end, and the size from which a block is not taken
// from a heap.
constexpr int kept_heap_bytes = 1024 * 1024;
// Lower peaks are not worth the time of a release.
constexpr std::size_t least_peak_bytes = std::size_t{4} * 1024 * 1024;
// Memory is released when less than this part of the peak is held.
constexpr std::size_t peak_share = 4;
// Bounds how often a load that comes and goes has memory released.
constexpr span release_delay = span(1000);

} // namespace

void limit_kept_heap()
{
    ::mallopt(M_MMAP_THRESHOLD, kept_heap_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

void release_freed_memory()
{
    ::malloc_trim(0);
}

heap_release::heap_release(event_loop& loop) : m_loop(loop) {}

void heap_release::note_held(std::size_t bytes)
{
    m_held_bytes = bytes;
    m_peak_bytes = std::max(m_peak_bytes, bytes);
    if (m_scheduled || m_peak_bytes < least_peak_bytes ||
        bytes > m_peak_bytes / peak_share)
    {
        return;
    }
    m_scheduled = true;
    m_timer = m_loop.run_after(release_delay,
                               [this]
                               {
                                   m_scheduled = false;
                                   m_peak_bytes = m_held_bytes;
                                   release_freed_memory();
                               });
}

} // namespace kingcuprudder
