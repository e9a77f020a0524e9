#ifndef STAND_INS_SIMULATED_MINIONS_HPP
#define STAND_INS_SIMULATED_MINIONS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>

#include <nlohmann/json_fwd.hpp>
#include <stand_ins/memory_store.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// Simulates minions and records violations of what must hold for their runs. A
/// task runs for the time in its spec, in milliseconds. A second number in the
/// spec is the size of the task's gang, whose members begin to work when all of
/// them have been started, and end together. All minions listen on one address;
/// the header X-Target-Instance of a call selects the minion.
class simulated_minions
{
public:
    simulated_minions(memory_store& store, int count);
    ~simulated_minions();
    simulated_minions(const simulated_minions&) = delete;
    simulated_minions& operator=(const simulated_minions&) = delete;

    /// Drops this share of the calls: they get status 500 after 700 ms. Half
    /// of the starts among them are carried out two seconds later.
    void lose_calls(double share, unsigned seed);
    /// Returns how often each task was completed, by the name of the task.
    std::map<std::string, int> completion_counts();
    /// Returns a message for each violation: concurrent runs of a task, a run
    /// or a second completion of a task that was completed, exceeded capacity.
    std::vector<std::string> violations();

private:
    struct run
    {
        std::string m_task;
        int m_run = 0;
        instant m_started_at;
        span m_duration;
        int m_gang_size = 1;
        /// When the run is done; empty while members of its gang are missing.
        std::optional<instant> m_ends_at;
    };
    /// Identifies a gang by the name of the step and the number of the run.
    using gang = std::pair<std::string, int>;
    struct ended_run
    {
        std::int64_t m_number = 0;
        std::string m_task;
        int m_run = 0;
        std::string m_reason;
    };
    struct minion
    {
        /// The highest fencing token received.
        std::int64_t m_fence = 0;
        instant m_lease_end;
        std::vector<run> m_running;
        std::vector<ended_run> m_ended;
        std::int64_t m_last_number = 0;
        std::map<std::string, int> m_highest_ended_run;
    };

    void install(httplib::Server& server);
    nlohmann::json start(minion& target, const nlohmann::json& order,
                         int& status);
    nlohmann::json stop(minion& target, const nlohmann::json& order,
                        int& status);
    nlohmann::json renew_lease(std::unique_lock<std::mutex>& lock,
                               minion& target, const nlohmann::json& order,
                               int& status);
    void end_run(minion& target, std::size_t index, const std::string& reason);
    /// Ends the runs that are due to end and carries out the late starts.
    void advance();
    static gang gang_of(const run& member);
    /// Sets the end of the runs of each gang whose members have all started.
    void start_complete_gangs();
    /// Ends the remaining members of gangs of which a member has ended without
    /// being done.
    void end_broken_gangs();
    void apply_late_starts();
    /// Returns why a run ends now, or nothing if it continues.
    static std::optional<std::string> end_reason(const minion& where,
                                                 const run& each, instant now);
    /// Writes the worker entry of each minion to the store.
    void publish();
    void run_update_loop();

    memory_store& m_store;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, minion> m_minions;
    std::map<std::string, int> m_completed;
    std::vector<std::string> m_violations;
    std::set<gang> m_broken_gangs;
    std::mt19937 m_random;
    double m_lost_share = 0;
    std::vector<std::pair<instant, std::pair<std::string, std::string>>>
        m_late_starts;
    bool m_stopping = false;
    std::unique_ptr<http_listener> m_listener;
    std::thread m_update_thread;
};

} // namespace kingcuprudder::stand_ins

#endif
