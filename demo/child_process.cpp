#include <demo/child_process.hpp>
#include <sys/wait.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kingcuprudder::demo
{

namespace
{

constexpr int signal_status_base = 128;
constexpr std::chrono::milliseconds exit_poll_interval(5);

int decode_status(int status)
{
    return WIFSIGNALED(status) ? signal_status_base + WTERMSIG(status)
                               : WEXITSTATUS(status);
}

pid_t spawn(const std::string& program,
            const std::vector<std::string>& arguments,
            const std::string& log_file)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);

    // The parent may block signals for its threads; the child starts with an
    // empty signal mask.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);

    std::vector<char*> words;
    words.push_back(const_cast<char*>(program.c_str()));
    for (const std::string& argument : arguments)
    {
        words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);

    pid_t pid = -1;
    const int problem = posix_spawn(&pid, program.c_str(), &actions,
                                    &attributes, words.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0)
    {
        throw std::runtime_error("cannot start " + program + ": " +
                                 std::strerror(problem));
    }
    return pid;
}

} // namespace

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& log_file)
    : m_pid(spawn(program, arguments, log_file))
{
}

child_process::~child_process()
{
    end();
}

child_process::child_process(child_process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1)), m_exit_status(other.m_exit_status)
{
}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other)
    {
        end();
        m_pid = std::exchange(other.m_pid, -1);
        m_exit_status = other.m_exit_status;
    }
    return *this;
}

void child_process::send_signal(int signal_number) const
{
    if (m_pid > 0)
    {
        ::kill(m_pid, signal_number);
    }
}

bool child_process::wait_for_exit(span timeout)
{
    using clock = std::chrono::steady_clock;
    const auto deadline =
        clock::now() + std::chrono::milliseconds(timeout.count());
    while (m_pid > 0)
    {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid)
        {
            m_exit_status = decode_status(status);
            m_pid = -1;
            break;
        }
        if (clock::now() >= deadline)
        {
            return false;
        }
        std::this_thread::sleep_for(exit_poll_interval);
    }
    return true;
}

void child_process::end()
{
    if (m_pid > 0)
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

} // namespace kingcuprudder::demo
