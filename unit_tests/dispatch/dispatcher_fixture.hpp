#ifndef UNIT_TESTS_DISPATCH_DISPATCHER_FIXTURE_HPP
#define UNIT_TESTS_DISPATCH_DISPATCHER_FIXTURE_HPP

#include "recorded_log.hpp"
#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A dispatcher with workers whose reports the test supplies.
class dispatcher_fixture : public ::testing::Test
{
protected:
    dispatcher_fixture() : m_dispatcher(dispatch_limits(), m_log.recorder())
    {
        m_configuration.m_version = 1;
        m_configuration.m_pools.push_back({"pool", false, false});
        m_configuration.m_accounts.push_back({"account", {"key"}, 8});
        m_configuration.m_queues = {queue("urgent", 0), queue("normal", 1)};
        m_dispatcher.configure(m_configuration);
        m_dispatcher.begin_term(m_now, 1);
    }

    static queue_configuration queue(const std::string& name, int priority)
    {
        queue_configuration made;
        made.m_name = name;
        made.m_policy.m_pool = "pool";
        made.m_policy.m_priority = priority;
        made.m_policy.m_max_attempts = 2;
        made.m_policy.m_stretch = 3;
        made.m_policy.m_start_allowance = span(1000);
        return made;
    }

    worker_description worker(const std::string& id, int gpus = 8) const
    {
        worker_description made;
        made.m_id = id;
        made.m_pool = "pool";
        made.m_address = "address-of-" + id;
        made.m_zone = "zone";
        made.m_rack = "rack-1";
        made.m_labels = {"a", "rack-1"};
        made.m_capacity = {64'000, 256'000, gpus};
        made.m_incarnation = 100;
        return made;
    }

    /// Lists a worker and reports that it has no runs.
    void add_worker(const std::string& id, int gpus = 8)
    {
        m_dispatcher.worker_listed(worker(id, gpus), m_now);
        report(id, {});
    }

    static job_submission job(const std::string& id, int tasks, int gpus,
                              const std::string& queue_name = "normal")
    {
        job_submission made;
        made.m_id = id;
        made.m_account = "account";
        made.m_queue = queue_name;
        made.m_policy.m_pool = "pool";
        job_step step;
        step.m_count = tasks;
        step.m_demand = {1000, 1000, gpus};
        step.m_estimate = span(5000);
        made.m_steps = {step};
        return made;
    }

    void accept(job_submission submission)
    {
        submission.m_accepted_at = m_now;
        m_dispatcher.add_job(submission, std::nullopt, 1, m_now, m_now);
    }

    /// Stores all pending records.
    std::vector<job_write> store()
    {
        constexpr std::size_t enough = 1000;
        std::vector<job_write> writes = m_dispatcher.take_writes(enough);
        for (const job_write& write : writes)
        {
            m_dispatcher.write_stored(write.m_job, write.m_version,
                                      ++m_revision);
        }
        return writes;
    }

    void raise_required_fence()
    {
        if (m_dispatcher.fence() < m_dispatcher.required_fence())
        {
            m_dispatcher.fence_raised(m_dispatcher.required_fence());
        }
    }

    /// Raises the fencing token, if required, plans and returns the orders.
    dispatch_effects step()
    {
        raise_required_fence();
        m_dispatcher.plan(m_now, m_now);
        return m_dispatcher.collect_orders(m_now);
    }

    /// Plans, stores all records, and returns the starts to send.
    std::vector<start_order> start_all()
    {
        std::vector<start_order> starts = step().m_starts;
        store();
        for (const start_order& order : step().m_starts)
        {
            starts.push_back(order);
        }
        return starts;
    }

    void confirm(const std::vector<start_order>& orders)
    {
        for (const start_order& order : orders)
        {
            m_dispatcher.start_finished(order, order_outcome::accepted, m_now);
        }
    }

    static running_report running(const start_order& order)
    {
        return {order.m_run.m_task.str(), order.m_run.m_run, "", 10};
    }

    static completion_report ended(std::int64_t number,
                                   const start_order& order, run_outcome how)
    {
        return {number, order.m_run.m_task.str(), order.m_run.m_run, how, ""};
    }

    void report(const std::string& id, std::vector<running_report> running,
                std::vector<completion_report> ended = {},
                std::int64_t started = 100)
    {
        worker_report made;
        made.m_clock = m_now.count();
        made.m_incarnation = started;
        made.m_fence = m_dispatcher.fence();
        made.m_running = std::move(running);
        made.m_ended = std::move(ended);
        m_dispatcher.renewal_answered(id, made, m_now, m_now);
    }

    /// The worker's next process answers and accepts the raised fencing token.
    void report_restart(const std::string& id, std::int64_t started)
    {
        report(id, {}, {}, started);
        raise_required_fence();
        report(id, {}, {}, started);
    }

    /// Reports the run with each completed percentage in turn, at the usual
    /// interval between reports.
    void report_shares(const start_order& order,
                       const std::vector<int>& percents)
    {
        for (const int percent : percents)
        {
            pass(span(1500));
            running_report going = running(order);
            going.m_percent = percent;
            report(order.m_worker, {going});
        }
    }

    void pass(span time) { m_now = m_now + time; }

    std::int64_t acknowledged(const std::string& id) const
    {
        return m_dispatcher.workers().at(id).m_acknowledged;
    }

    instant m_now = instant(1'000'000);
    std::int64_t m_revision = 10;
    service_configuration m_configuration;
    recorded_log m_log;
    dispatcher m_dispatcher;
};

} // namespace kingcuprudder::dispatch

#endif
