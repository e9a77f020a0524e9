#include "process_watch.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t kb_per_mb = 1024;
constexpr std::chrono::milliseconds watch_interval(5);

/// Returns a field of /proc/PID/status in MB, or 0.
std::size_t status_field_mb(pid_t process, const std::string& name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string field;
    while (status >> field)
    {
        if (field == name)
        {
            std::size_t kb = 0;
            status >> kb;
            return kb / kb_per_mb;
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator all(
        "/proc/" + std::to_string(process) + "/fd", error);
    return error
               ? 0
               : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

} // namespace

std::size_t resident_mb(pid_t process)
{
    return status_field_mb(process, "VmRSS:");
}

std::size_t peak_resident_mb(pid_t process)
{
    return status_field_mb(process, "VmHWM:");
}

descriptor_watch::descriptor_watch(pid_t process)
    : m_thread(
          [this, process]
          {
              while (!m_stopped)
              {
                  m_peak = std::max(m_peak.load(), open_descriptors(process));
                  std::this_thread::sleep_for(watch_interval);
              }
          })
{
}

descriptor_watch::~descriptor_watch()
{
    m_stopped = true;
    m_thread.join();
}

} // namespace kingcuprudder
