#ifndef KINGCUPRUDDER_NODE_NODE_HPP
#define KINGCUPRUDDER_NODE_NODE_HPP

#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>
#include <kingcuprudder/node/job_service.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/node_settings.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/scheduler.hpp>
#include <kingcuprudder/node/worker_calls.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace kingcuprudder::node
{

/// One kcr_node process: accepts callers' jobs and runs the scheduler while it
/// is the leader.
class node
{
public:
    node(const node_settings& settings, record_store& store,
         external_records records, worker_calls_factory worker_calls,
         event_log& log, const node_metrics& metrics);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    job_service& jobs() { return m_jobs; }
    /// Sets the hook for new versions of the configuration, and calls it with
    /// the present one, if there is one. It runs on the thread that adopts the
    /// version.
    void on_configuration(
        const std::function<void(const dispatch::service_configuration&)>&
            changed);
    /// Returns whether the process is ready to serve callers.
    bool is_ready() const;
    /// Reports not ready from now on; callers are still served.
    void begin_shutdown() { m_shutting_down = true; }
    /// Resigns leadership and waits for the calls to the store that are in
    /// progress, which may take seconds.
    void resign();
    /// Returns the state of the scheduler as JSON for operators.
    std::string dump();

private:
    void begin_term(const std::shared_ptr<term>& current_term);

    node_settings m_settings;
    record_store& m_store;
    event_log& m_log;
    const node_metrics& m_metrics;
    external_records m_records;
    worker_calls_factory m_worker_calls;
    configuration_view m_configuration;
    job_service m_jobs;
    std::atomic<bool> m_shutting_down = false;
    std::mutex m_mutex;
    std::unique_ptr<scheduler> m_scheduler;
    std::unique_ptr<leadership> m_leadership;
};

} // namespace kingcuprudder::node

#endif
