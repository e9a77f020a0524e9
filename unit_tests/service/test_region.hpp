#ifndef KINGCUPRUDDER_UNIT_TESTS_SERVICE_TEST_REGION_HPP
#define KINGCUPRUDDER_UNIT_TESTS_SERVICE_TEST_REGION_HPP

#include <kingcuprudder/placement/gang_policy.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_owner_calls.hpp>
#include <kingcuprudder/service/peer_calls.hpp>
#include <kingcuprudder/service/scheduler_service.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>

#include <stand_ins/fake_instance_list.hpp>
#include <stand_ins/fake_store.hpp>
#include <stand_ins/fake_worker.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder
{

/// Waits until a condition holds. Returns false if it does not within the
/// limit.
inline bool wait_until(const std::function<bool()>& holds,
                       std::chrono::seconds limit = std::chrono::seconds(30))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds())
    {
        if (std::chrono::steady_clock::now() > end)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// Returns a settings tree for the region "r" with the account "a" and the
/// class "c".
inline std::string test_settings(const std::string& scheduler = "{}")
{
    return R"({"regions":{"r":{"accounts":{"a":{}},"job_classes":{"c":{}},)"
           R"("scheduler":)" +
           scheduler + "}}}";
}

/// A complete region on loopback: the stand-ins, scheduler processes and one
/// caller that stands for an entry process.
class test_region
{
public:
    explicit test_region(std::size_t workers, std::size_t schedulers,
                         const std::string& settings = test_settings())
        : m_caller_store(m_store.address())
    {
        m_store.put("live/settings", settings);
        for (std::size_t i = 0; i < workers; ++i)
        {
            add_worker(i);
        }
        for (std::size_t i = 0; i < schedulers; ++i)
        {
            add_scheduler("scheduler-" + std::to_string(i));
        }
        m_live = std::make_unique<live_state>(
            m_caller_store, region_id("r"),
            [](const std::shared_ptr<const effective_settings>&) {},
            [this](const std::optional<owner_record>& owner, store_revision)
            { m_owner_calls.on_owner(owner); });
        m_peers = std::make_unique<peer_calls>(m_stream, *m_live);
    }

    ~test_region()
    {
        m_owner_calls.stop();
        m_caller_store.stop();
    }

    void add_worker(std::size_t index)
    {
        stand_ins::fake_worker_options options;
        options.m_worker = worker{worker_id("w" + std::to_string(index)),
                                  zone_id("z" + std::to_string(index % 3)),
                                  rack_id("k" + std::to_string(index / 8)),
                                  8,
                                  64,
                                  262144,
                                  "127.0.0.1:0"};
        m_workers.push_back(std::make_unique<stand_ins::fake_worker>(options));
        m_list.add(stand_ins::instance_entry(m_workers.back()->description()));
    }

    scheduler_service& add_scheduler(const std::string& name)
    {
        scheduler_options options;
        options.m_instance = instance_id(name);
        options.m_region = region_id("r");
        options.m_stream_address = "127.0.0.1:0";
        options.m_http_address = "127.0.0.1:0";
        options.m_health_address = "127.0.0.1:0";
        options.m_store_address = m_store.address();
        options.m_instance_list_address = m_list.address();
        auto& added = m_schedulers[name];
        added = std::make_unique<scheduler_service>(
            options, std::make_unique<gang_policy>());
        return *added;
    }

    /// Returns the name of the scheduler that owns the region, or an empty
    /// string if there is none.
    std::string owner() const
    {
        for (const auto& [name, each] : m_schedulers)
        {
            if (each->owning())
            {
                return name;
            }
        }
        return "";
    }

    result<caller_reply> call(const entry_owner_calls::call_content& content)
    {
        return m_owner_calls.call_until(content,
                                        system_now() + span::seconds(60));
    }

    /// Submits a job and retries while the store is unreachable, as a caller
    /// does after a refusal.
    result<caller_reply> submit(const job_spec& spec)
    {
        result<caller_reply> reply = error{};
        wait_until(
            [&]
            {
                reply = call(submit_job{spec});
                return succeeded(reply) ||
                       error_of(reply).m_code != error_code::store_unavailable;
            });
        return reply;
    }

    static job_spec gang(const std::string& id, std::uint32_t tasks,
                         std::int64_t run_ms)
    {
        job_spec spec;
        spec.m_key = {account_id("a"), job_id(id)};
        spec.m_class = job_class_id("c");
        spec.m_shape.m_tasks = tasks;
        spec.m_shape.m_accelerators_per_task = 1;
        spec.m_declared_run_time = span::seconds(5);
        spec.m_payload = R"({"run_ms":)" + std::to_string(run_ms) + "}";
        return spec;
    }

    /// Waits for the end of a job. Returns the outcome as text, or the message
    /// of the error.
    std::string end_of(const job_spec& spec)
    {
        const auto reply =
            call(query_job{spec.m_key, true, system_now() + span::seconds(55)});
        if (!succeeded(reply))
        {
            return error_of(reply).m_message;
        }
        const auto* status = std::get_if<job_status>(&value_of(reply));
        return status == nullptr || status->m_phase != job_phase::ended
                   ? "not ended"
                   : std::string(to_string(status->m_outcome));
    }

    /// Returns the number of accelerators on which each attempt of a job was
    /// started, over all workers. An accelerator that was started twice counts
    /// twice.
    std::map<std::uint32_t, int> started(const job_key& job) const
    {
        std::map<std::uint32_t, int> counts;
        for (const auto& each : m_workers)
        {
            for (const stand_ins::task_event& event : each->history())
            {
                if (event.m_is_start && event.m_attempt.m_job == job)
                {
                    counts[event.m_attempt.m_attempt] +=
                        __builtin_popcountll(event.m_accelerators);
                }
            }
        }
        return counts;
    }

    stand_ins::fake_store m_store;
    stand_ins::fake_instance_list m_list;
    std::vector<std::unique_ptr<stand_ins::fake_worker>> m_workers;
    std::map<std::string, std::unique_ptr<scheduler_service>> m_schedulers;
    http_key_value_store m_caller_store;
    std::unique_ptr<peer_calls> m_peers;
    entry_owner_calls m_owner_calls{
        [this](const std::string& address, const std::string& body,
               span timeout, std::function<void(result<std::string>)> done)
        { m_peers->call(address, body, timeout, std::move(done)); },
        7};
    std::unique_ptr<live_state> m_live;
    stream_client m_stream;
};

} // namespace kingcuprudder

#endif
