#ifndef UNIT_TESTS_CROWD_PROCESS_WATCH_HPP
#define UNIT_TESTS_CROWD_PROCESS_WATCH_HPP

#include <sys/types.h>

#include <atomic>
#include <cstddef>
#include <thread>

namespace kingcuprudder
{

/// Returns the resident memory of a process in MB, or 0 if it has ended.
std::size_t resident_mb(pid_t process);

/// Returns the largest resident memory that a process has had, in MB, or 0 if
/// it has ended.
std::size_t peak_resident_mb(pid_t process);

/// Counts the open descriptors of a process, every few milliseconds.
class descriptor_watch
{
public:
    explicit descriptor_watch(pid_t process);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    /// Returns the largest count.
    std::size_t peak() const { return m_peak; }

private:
    std::atomic<bool> m_stopped = false;
    std::atomic<std::size_t> m_peak = 0;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
