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

/// Minions that run tasks for the time that their spec names, in milliseconds,
/// and note what must never happen. A second number in the spec is the size of
/// the task's gang: its members work from when all are there and end together.
/// All listen on one address and are told apart by the instance that a call
/// names.
class simulated_minions
{
public:
    simulated_minions(memory_store& store, int count);
    ~simulated_minions();
    simulated_minions(const simulated_minions&) = delete;
    simulated_minions& operator=(const simulated_minions&) = delete;

    /// This share of orders gets no answer; half of those are carried out
    /// two seconds later.
    void lose_orders(double share, unsigned seed);
    /// How often a task was run to its end, by its name.
    std::map<std::string, int> completed();
    /// What must never happen and did: doubled runs, capacity exceeded.
    std::vector<std::string> violations();

private:
    struct run
    {
        std::string m_task;
        int m_run = 0;
        instant m_began;
        span m_length;
        int m_members = 1;
        /// When it is done; nothing while members of its gang are missing.
        std::optional<instant> m_ends;
    };
    /// The runs of one gang: the step's name and the run's number.
    using gang = std::pair<std::string, int>;
    struct ended
    {
        std::int64_t m_number = 0;
        std::string m_task;
        int m_run = 0;
        std::string m_how;
    };
    struct minion
    {
        std::int64_t m_fence = 0;
        instant m_lease_end;
        std::vector<run> m_running;
        std::vector<ended> m_ended;
        std::int64_t m_last_number = 0;
        std::map<std::string, int> m_highest_ended;
    };

    void install(httplib::Server& server);
    nlohmann::json start(minion& target, const nlohmann::json& order,
                         int& status);
    nlohmann::json stop(minion& target, const nlohmann::json& order,
                        int& status);
    nlohmann::json hold(std::unique_lock<std::mutex>& lock, minion& target,
                        const nlohmann::json& order, int& status);
    void finish(minion& target, std::size_t at, const std::string& how);
    void advance();
    static gang gang_of(const run& member);
    void begin_complete_gangs();
    /// Ends the other members of gangs of which one has ended undone.
    void break_gangs();
    void carry_out_late_starts();
    /// How a run ends now, or nothing while it goes on.
    static std::optional<std::string> end_of(const minion& where,
                                             const run& each, instant now);
    void publish();
    void run_clock();

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
    std::thread m_clock;
};

} // namespace kingcuprudder::stand_ins

#endif
