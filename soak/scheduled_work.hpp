#ifndef SOAK_SCHEDULED_WORK_HPP
#define SOAK_SCHEDULED_WORK_HPP

#include <soak/deployment_sheet.hpp>

#include <vector>

namespace kingcuprudder::soak
{

/// One piece of planned work. The time is counted from the begin of the load.
struct scheduled_work
{
    enum class kind
    {
        terminate,     ///< A process gets SIGTERM and is started again.
        retire,        ///< A process gets SIGTERM and is removed.
        add_process,   ///< A process is started that was absent.
        reload,        ///< A process gets SIGHUP.
        configure,     ///< The operators write a new configuration.
        drain_workers, ///< Workers drain and leave.
        add_workers,   ///< Workers are added.
    };

    span m_at;
    kind m_kind = kind::terminate;
    /// The index of the process, or the number of workers.
    int m_subject = 0;
};

/// Draws the planned work of a deployment from the seed, in the order of time.
/// The process with the index m_processes is the one that is absent at first.
/// In each round the absent process takes the place of another one.
std::vector<scheduled_work> plan_work(const deployment_sheet& sheet,
                                      unsigned seed);

} // namespace kingcuprudder::soak

#endif
