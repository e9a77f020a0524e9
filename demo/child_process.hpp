#ifndef KINGCUPRUDDER_DEMO_CHILD_PROCESS_HPP
#define KINGCUPRUDDER_DEMO_CHILD_PROCESS_HPP

#include <kingcuprudder/base/time.hpp>

#include <sys/types.h>

#include <string>
#include <vector>

namespace kingcuprudder::demo
{

/// A process that the demo or a test has started. Killed with SIGKILL when
/// the object goes, if it still runs.
class child_process
{
public:
    /// Starts a program; its output goes to the end of the log file. Throws
    /// std::runtime_error when it cannot be started.
    child_process(const std::string& program,
                  const std::vector<std::string>& arguments,
                  const std::string& log_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal; does nothing when the process has ended.
    void send_signal(int signal_number) const;

    /// Waits for the end. Returns whether it has ended within the timeout.
    bool wait_for_exit(span timeout);

    /// The exit status once wait_for_exit has returned true; a process that
    /// a signal ended has 128 plus the signal's number.
    int exit_status() const { return m_exit_status; }

private:
    void end();

    pid_t m_pid = -1;
    int m_exit_status = -1;
};

} // namespace kingcuprudder::demo

#endif
