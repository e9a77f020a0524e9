#ifndef KINGCUPRUDDER_DEMO_CHILD_PROCESS_HPP
#define KINGCUPRUDDER_DEMO_CHILD_PROCESS_HPP

#include <kingcuprudder/base/time.hpp>

#include <sys/types.h>

#include <string>
#include <vector>

namespace kingcuprudder::demo
{

/// A child process. The destructor kills it with SIGKILL if it still runs.
class child_process
{
public:
    /// Starts a program and appends its output to the log file. Throws
    /// std::runtime_error if the program cannot be started.
    child_process(const std::string& program,
                  const std::vector<std::string>& arguments,
                  const std::string& log_file);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal. Has no effect if the process has ended.
    void send_signal(int signal_number) const;

    /// Waits for the process to end. Returns false on timeout.
    bool wait_for_exit(span timeout);

    /// Returns the exit status, or 128 plus the signal number if a signal ended
    /// the process. Valid after wait_for_exit() has returned true.
    int exit_status() const { return m_exit_status; }

private:
    void end();

    pid_t m_pid = -1;
    int m_exit_status = -1;
};

} // namespace kingcuprudder::demo

#endif
