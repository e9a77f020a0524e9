#ifndef KINGCUPRUDDER_MEMBERSHIP_TARGET_TABLE_HPP
#define KINGCUPRUDDER_MEMBERSHIP_TARGET_TABLE_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/base/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// Names one life of a target: a restarted target has a new start id.
struct target_ref
{
    service_id m_service;
    instance_id m_instance;
    std::string m_start_id;
    std::string m_address; ///< IP number and port.

    friend auto operator<=>(const target_ref&, const target_ref&) = default;
};

/// One line of the instance list.
struct listed_target
{
    target_ref m_target;
    bool m_draining = false;

    friend auto operator<=>(const listed_target&,
                            const listed_target&) = default;
};

/// How a target is judged.
enum class target_state
{
    live,     ///< Takes requests.
    draining, ///< Takes no new requests until it has a new start id.
    suspect,  ///< Gets single probes only.
    gone,     ///< Neither listed nor reachable.
};

std::string_view to_string(target_state state);

/// Judges the targets of all services from the instance list and from what
/// calls and probes observe.
class target_table
{
public:
    /// Failures in a row after which a target is suspect.
    static constexpr std::uint32_t failures_until_suspect = 3;
    /// How long an unreachable target may be missing from the list.
    static constexpr span absence_until_gone = span::seconds(10);
    /// A suspect target is probed after this time, doubling each time.
    static constexpr span first_probe_delay = span(500);
    static constexpr span longest_probe_delay = span::seconds(30);

    struct target
    {
        target_ref m_ref;
        target_state m_state = target_state::live;
        std::uint32_t m_failures = 0;
        std::uint32_t m_in_flight = 0;
        bool m_probing = false;
        span m_probe_delay = first_probe_delay;
        instant m_next_probe;
        /// Since when the list has been without it; nothing while listed.
        std::optional<instant> m_absent_since;
        /// Start ids of earlier lives. A stale list may still show them.
        std::vector<std::string> m_retired;
    };

    /// Takes over a list that was read successfully. A list that could not be
    /// read is not reported: the last one then stays in effect.
    void on_list(const std::vector<listed_target>& list, instant now);

    /// The target answered a call or a probe.
    void on_answer(const target_ref& ref, bool leaving, bool probe);

    /// A call or probe to the target failed.
    void on_failure(const target_ref& ref, bool probe, instant now);

    /// Time has passed: unreachable targets missing from the list are gone.
    void on_tick(instant now);

    /// The probes to send now; each target has at most one in progress.
    std::vector<target_ref> start_due_probes(instant now);

    /// The targets of a service, in the order of their ids; null when the
    /// service has none.
    std::vector<target>* find_service(const service_id& service);

    const std::map<service_id, std::vector<target>>& all() const
    {
        return m_services;
    }

    /// The target in the same life, or null.
    target* find(const target_ref& ref);

private:
    void take_over(const listed_target& listed);
    void note_absence(const std::vector<listed_target>& list, instant now);

    std::map<service_id, std::vector<target>> m_services;
};

} // namespace kingcuprudder

#endif
