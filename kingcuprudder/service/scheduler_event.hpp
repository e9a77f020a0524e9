#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_EVENT_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_EVENT_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// Newer settings are in force.
struct settings_event
{
    std::shared_ptr<const effective_settings> m_settings;
};

/// The watch shows another value of the owner key.
struct owner_key_event
{
    std::optional<owner_record> m_owner;
    store_revision m_revision = 0;
};

/// The instance list shows these workers.
struct workers_event
{
    std::vector<worker> m_workers;
};

/// How a heartbeat was taken.
struct heartbeat_outcome
{
    bool m_taken = false;   ///< The reports need not be repeated.
    bool m_renewed = false; ///< The task lease is extended.
    epoch_number m_epoch = 0;
};

/// A worker reports.
struct heartbeat_event
{
    worker_report m_report;
    std::function<void(heartbeat_outcome)> m_respond;
};

/// A caller's call, with the function that sends its answer.
struct call_event
{
    caller_call m_call;
    std::function<void(const caller_answer&)> m_respond;
};

/// An operator asks for the state as text.
struct dump_event
{
    std::function<void(std::string)> m_respond;
};

/// The metrics are read. Takeovers are counted since the process started.
struct statistics_event
{
    std::function<void(std::pair<region_statistics, std::uint64_t>)> m_respond;
};

/// The process is to end.
struct shutdown_event
{
};

/// What the thread that owns the region's state machine takes in.
using scheduler_event =
    std::variant<settings_event, owner_key_event, workers_event, store_answer,
                 worker_answer, heartbeat_event, call_event, dump_event,
                 statistics_event, shutdown_event>;

} // namespace kingcuprudder

#endif
