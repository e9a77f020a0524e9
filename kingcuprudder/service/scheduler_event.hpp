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

/// Newer settings have taken effect.
struct settings_event
{
    std::shared_ptr<const effective_settings> m_settings;
};

/// The watch reports a new value of the owner key.
struct owner_key_event
{
    std::optional<owner_record> m_owner;
    store_revision m_revision = 0;
};

/// The workers in the current instance list.
struct workers_event
{
    std::vector<worker> m_workers;
};

/// The result of processing a heartbeat.
struct heartbeat_outcome
{
    bool m_taken = false;   ///< The worker need not repeat its reports.
    bool m_renewed = false; ///< The task lease is extended.
    epoch_number m_epoch = 0;
};

/// The heartbeat of a worker with its reports.
struct heartbeat_event
{
    worker_report m_report;
    std::function<void(heartbeat_outcome)> m_respond;
};

/// A call of a caller, with the function that sends its answer.
struct call_event
{
    caller_call m_call;
    std::function<void(const caller_answer&)> m_respond;
};

/// An operator requests the state as text.
struct dump_event
{
    std::function<void(std::string)> m_respond;
};

/// A request for the values of the metrics. Takeovers are counted since the
/// process started.
struct statistics_event
{
    std::function<void(std::pair<region_statistics, std::uint64_t>)> m_respond;
};

/// The process starts to shut down.
struct shutdown_event
{
};

/// An input of the thread that owns the state machine of the region.
using scheduler_event =
    std::variant<settings_event, owner_key_event, workers_event, store_answer,
                 worker_answer, heartbeat_event, call_event, dump_event,
                 statistics_event, shutdown_event>;

} // namespace kingcuprudder

#endif
