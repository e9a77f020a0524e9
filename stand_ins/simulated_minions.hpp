#ifndef STAND_INS_SIMULATED_MINIONS_HPP
#define STAND_INS_SIMULATED_MINIONS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>

#include <nlohmann/json_fwd.hpp>
#include <stand_ins/counting_relay.hpp>
#include <stand_ins/crash_record.hpp>
#include <stand_ins/memory_store.hpp>
#include <stand_ins/minion_options.hpp>
#include <stand_ins/minion_snapshot.hpp>
#include <stand_ins/task_spec.hpp>

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
/// task does what its spec says (see task_spec). The members of a gang begin to
/// work when all of them have been started, and end together. A minion that has
/// crashed loses its connections and its runs at once and returns after some
/// seconds. Each incarnation has a clock of its own, which starts anew; every
/// second one is 2% slow. A minion answers calls at its own address only.
class simulated_minions
{
public:
    /// What is wrong in an entry of the worker list that another writer puts
    /// there.
    enum class false_entry
    {
        later_start,   ///< A living minion's entry with a later start time.
        other_address, ///< A living minion's entry with another one's address.
        other_id,      ///< A living minion's entry under a new id.
        unreadable,    ///< A living minion's entry without a valid port.
    };

    /// Starts the minions. They hold their runs at most for `max_hold` after
    /// the arrival of an order, measured on their clocks.
    simulated_minions(memory_store& store, int count,
                      span max_hold = span(6000));
    simulated_minions(memory_store& store, const minion_options& options);
    ~simulated_minions();
    simulated_minions(const simulated_minions&) = delete;
    simulated_minions& operator=(const simulated_minions&) = delete;

    /// Drops this share of the calls: they get status 500 after 700 ms. Half
    /// of the starts among them are carried out up to 2.5 s later, by the
    /// process that then has the minion's id.
    void lose_calls(double share, unsigned seed);
    /// Crashes one of the running minions, selected by the number.
    void crash_one(unsigned choice);
    /// Crashes a minion that is still to carry out a late start, selected by
    /// the number among them, which returns under its id after 0.5 s. Returns
    /// whether there was one.
    bool restart_one_with_late_start(unsigned choice);
    /// Writes an entry of another writer about a minion selected by the number.
    /// The minion's next heartbeat overwrites it; an entry under a new id
    /// expires.
    void write_false_entry(false_entry kind, unsigned choice);
    /// Makes one of the minions that are up drain, selected by the number. It
    /// leaves for good when its drain time is over. Returns whether there was
    /// one that did not drain yet.
    bool drain_one(unsigned choice);
    /// Adds a minion in one of the racks, selected by the number.
    void add_one(unsigned choice);
    /// Returns how many minions are up and do not drain.
    int ready_count();
    /// Returns how many runs of the task are at work.
    int run_count(const std::string& task);
    /// Returns how many minions have crashed.
    int crash_count();
    /// Returns how often the task was started.
    int start_count(const std::string& task);
    /// Returns how many minions have crashed while they ran the task.
    int crash_count(const std::string& task);
    /// Returns how often each task was completed, by the name of the task.
    std::map<std::string, int> completion_counts();
    /// Returns a message for each violation: concurrent runs of a task, a run
    /// or a second completion of a task that was completed, exceeded capacity,
    /// too many starts of a task that crashes its minions.
    std::vector<std::string> violations();
    /// Returns the minions that are up with the tasks on them, and the starts
    /// and ends of runs after the first `known_events`.
    minions_snapshot snapshot(std::size_t known_events) const;

private:
    struct run
    {
        std::string m_task;
        int m_run = 0;
        instant m_started_at;
        /// The time from the beginning of its work until its end.
        span m_duration;
        task_spec m_spec;
        /// The work that it has taken over from earlier runs.
        span m_work_before;
        /// When the run is done; empty while members of its gang are missing.
        std::optional<instant> m_ends_at;
        /// When the run crashes its minion, if it does.
        std::optional<instant> m_crashes_at;
    };
    /// Identifies a gang by the name of the step and the number of the run.
    using gang = std::pair<std::string, int>;
    struct ended_run
    {
        std::int64_t m_number = 0;
        std::string m_task;
        int m_run = 0;
        std::string m_reason;
        std::string m_saved;
    };
    struct minion
    {
        /// The start of its present incarnation.
        std::int64_t m_born = 0;
        int m_rack = 0;
        std::string m_address;
        /// Forwards the minion's connections; empty while it is down.
        std::unique_ptr<counting_relay> m_relay;
        /// When it starts again after a crash.
        std::optional<instant> m_restarts_at;
        /// When it leaves for good, if it drains.
        std::optional<instant> m_leaves_at;
        /// Wakes the calls that wait for an end of a run.
        std::shared_ptr<std::condition_variable> m_changed =
            std::make_shared<std::condition_variable>();
        /// Whether it then has the same id.
        bool m_keeps_id = false;
        /// The highest fencing token received.
        std::int64_t m_fence = 0;
        /// When its clock began to count.
        instant m_started_at;
        bool m_slow_clock = false;
        /// On its own clock.
        instant m_lease_end;
        std::vector<run> m_running;
        std::vector<ended_run> m_ended;
        std::int64_t m_last_number = 0;
        std::map<std::string, int> m_highest_ended_run;

        /// Returns the reading of its clock.
        instant clock(instant now) const;
    };
    /// A start that got no answer and is carried out later.
    struct late_start
    {
        instant m_due;
        std::string m_minion;
        std::string m_order;
    };

    void install(httplib::Server& server);
    nlohmann::json start(minion& target, const nlohmann::json& order,
                         int& status);
    /// Notes what an accepted order starts, and what it violates.
    void add_run(minion& target, const nlohmann::json& order);
    nlohmann::json stop(minion& target, const nlohmann::json& order,
                        int& status);
    nlohmann::json renew_lease(std::unique_lock<std::mutex>& lock,
                               minion& target, const nlohmann::json& order,
                               int& status);
    /// Starts a minion under its id, if possible at the given address.
    void start_minion(const std::string& id, int rack,
                      const std::string& address);
    /// Extends the minion's lease to the order's deadline, within the maximum.
    void extend_lease(minion& target, const nlohmann::json& order) const;
    /// Returns the ids of the minions that are up.
    std::vector<std::string> running_minions() const;
    /// Ends the process of a minion with all that it runs and knows, and
    /// notes the ends that are lost with it.
    void end_process(minion& target);
    /// Ends the process of a minion, which returns later.
    void crash(const std::string& id, minion& target);
    /// Crashes the minions with a run that is due to do so.
    void crash_minions_that_are_due();
    /// Removes the minions whose drain time is over.
    void remove_drained_minions();
    bool exceeds_capacity(const minion& target) const;
    /// Returns the progress that a run has saved, or "" without one.
    static std::string saved_progress(const run& each, instant now,
                                      span interval);
    /// Starts the minions again whose down time is over.
    void restart_minions();
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
    std::optional<std::string> end_reason(const minion& where, const run& each,
                                          instant now) const;
    /// Writes the worker entry of each running minion to the store and removes
    /// the entries that have expired.
    void publish();
    nlohmann::json entry_of(const minion& target) const;
    /// Returns the id and the text of an entry of another writer.
    std::pair<std::string, std::string> false_entry_of(false_entry kind,
                                                       unsigned choice);
    void run_update_loop();

    memory_store& m_store;
    const minion_options m_options;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, minion> m_minions;
    /// When the entries of crashed minions, and those under false ids, expire.
    std::map<std::string, instant> m_silent_entries;
    std::int64_t m_last_born = 0;
    crash_record m_crash_record;
    int m_crashes = 0;
    /// Tasks that were done, but whose minion crashed before it was told that
    /// their end had been noted; they may run again.
    std::set<std::string> m_lost_ends;
    std::map<std::string, int> m_completed;
    std::vector<std::string> m_violations;
    std::vector<run_event> m_run_events;
    std::set<gang> m_broken_gangs;
    std::mt19937 m_random;
    double m_lost_share = 0;
    std::vector<late_start> m_late_starts;
    int m_false_ids = 0;
    /// Whether the minion that was started last has a slow clock.
    bool m_slow_clocks = false;
    bool m_stopping = false;
    std::unique_ptr<http_listener> m_listener;
    std::thread m_update_thread;
};

} // namespace kingcuprudder::stand_ins

#endif
