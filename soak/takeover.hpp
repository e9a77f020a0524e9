#ifndef SOAK_TAKEOVER_HPP
#define SOAK_TAKEOVER_HPP

#include <kingcuprudder/base/time.hpp>

#include <stand_ins/limited_link.hpp>

#include <optional>
#include <string>

namespace kingcuprudder::soak
{

struct takeover_options
{
    std::string m_program; ///< The path of kcr_node.
    std::string m_folder;  ///< For settings and logs.
    /// The ended jobs whose records the store still has.
    int m_ended_jobs = 0;
    /// The link of all processes to the store.
    stand_ins::link_limits m_link;
    /// How long to wait for the first start.
    span m_timeout = span::seconds(60);
};

/// Times since the leader was killed.
struct takeover_report
{
    /// When a job that was submitted after the kill was accepted.
    std::optional<span> m_accepted;
    /// When a worker received the start of its task.
    std::optional<span> m_started;
};

/// Kills the leader of two processes and measures how long a job waits for the
/// next one.
takeover_report measure_takeover(const takeover_options& options);

} // namespace kingcuprudder::soak

#endif
