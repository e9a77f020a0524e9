#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_SCENARIO_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_SCENARIO_HPP

#include "fault_harness.hpp"
#include <kingcuprudder/history/history_checker.hpp>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// The faults of the matrix.
enum class fault
{
    owner_killed,
    owner_frozen,     ///< Paused for 20 s, then resumed.
    lease_expired,    ///< Paused just past its lease, then resumed.
    store_down,       ///< For 60 s.
    store_slow,       ///< Answers after 1.5 s, for 20 s.
    answer_lost,      ///< The next two writes take effect without an answer.
    write_delayed,    ///< The next two writes take effect late.
    caller_silent,    ///< Callers receive nothing for 10 s.
    worker_fails,     ///< A worker fails every task for 60 s.
    worker_lost,      ///< A worker crashes and restarts after 90 s.
    commands_blocked, ///< Commands do not reach a worker for 100 s.
    reports_blocked,  ///< Nothing arrives from a worker for 100 s.
    cancellations,    ///< 200 queued jobs are cancelled at once.
    burst,            ///< 100 small jobs arrive at once.
    runs_longer,      ///< All run times are ten times as long.
    runs_shorter,     ///< All run times are a tenth.
    rack_lost,        ///< Two workers crash and leave the list for 120 s.
    all_dead,         ///< All instances crash and restart after 10 s.
};

inline constexpr auto all_faults = std::to_array<fault>(
    {fault::owner_killed, fault::owner_frozen, fault::lease_expired,
     fault::store_down, fault::store_slow, fault::answer_lost,
     fault::write_delayed, fault::caller_silent, fault::worker_fails,
     fault::worker_lost, fault::commands_blocked, fault::reports_blocked,
     fault::cancellations, fault::burst, fault::runs_longer,
     fault::runs_shorter, fault::rack_lost, fault::all_dead});

inline constexpr auto all_steps = std::to_array<fault_step>(
    {fault_step::accept, fault_step::record, fault_step::decide,
     fault_step::reserve, fault_step::commit, fault_step::start,
     fault_step::run, fault_step::report, fault_step::answer,
     fault_step::release, fault_step::reclaim, fault_step::hand_over,
     fault_step::drain});

std::string_view to_string(fault value);
std::string_view to_string(fault_step value);

/// Injects a fault now. Owner faults affect the current owner.
void inject(fault_harness& harness, fault value);

/// A fault that is injected after a delay once the step was reached.
struct timed_fault
{
    fault m_fault = fault::owner_killed;
    span m_delay;
};

/// The outcome of one run.
struct scenario_outcome
{
    bool m_step_reached = false;
    bool m_all_ended = false;
    std::string m_unfinished;
    std::vector<history_violation> m_violations;
    bool passed() const
    {
        return m_step_reached && m_all_ended && m_violations.empty();
    }
};

/// Schedules the submissions, cancellations and requests of a run.
void load_scenario(fault_harness& harness);

/// Runs the load, injects the faults at the step and waits for the end.
scenario_outcome run_scenario(fault_step step,
                              const std::vector<timed_fault>& faults,
                              std::uint64_t seed);

/// Describes a failed outcome for the test's message.
std::string describe(const scenario_outcome& outcome);

} // namespace kingcuprudder

#endif
