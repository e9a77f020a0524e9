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

/// Identifies one incarnation of a target: a restarted target has a new start
/// id.
struct target_ref
{
    service_id m_service;
    instance_id m_instance;
    std::string m_start_id;
    std::string m_address; ///< IP address and port.

    friend auto operator<=>(const target_ref&, const target_ref&) = default;
};

/// One entry of the instance list.
struct listed_target
{
    target_ref m_target;
    bool m_draining = false;

    friend auto operator<=>(const listed_target&,
                            const listed_target&) = default;
};

/// The state of a target as observed by this process.
enum class target_state
{
    live,     ///< Receives requests.
    draining, ///< Receives no new requests until it has a new start id.
    suspect,  ///< Receives probes only, one at a time.
    gone,     ///< Neither listed nor reachable.
};

std::string_view to_string(target_state state);

/// Tracks the state of the targets of all services from the instance list and
/// from the outcomes of calls and probes.
class target_table
{
public:
    /// The number of consecutive failures that makes a target suspect.
    static constexpr std::uint32_t failures_until_suspect = 3;
    /// An unreachable target is gone when it has been missing from the list for
    /// this long.
    static constexpr span unlisted_until_gone = span::seconds(10);
    /// The delay before the first probe of a suspect target; each failed probe
    /// doubles it, up to max_probe_delay.
    static constexpr span initial_probe_delay = span(500);
    static constexpr span max_probe_delay = span::seconds(30);

    struct target
    {
        target_ref m_ref;
        target_state m_state = target_state::live;
        std::uint32_t m_failures = 0;
        std::uint32_t m_in_flight = 0;
        bool m_probing = false;
        span m_probe_delay = initial_probe_delay;
        instant m_next_probe;
        /// The time since which the target has been missing from the list;
        /// empty while it is listed.
        std::optional<instant> m_unlisted_since;
        /// Start ids of earlier incarnations, which a stale list may still
        /// contain.
        std::vector<std::string> m_retired_start_ids;
    };

    /// Applies a list that was read successfully. When the list cannot be read,
    /// this must not be called: the last list stays in effect.
    void on_list(const std::vector<listed_target>& list, instant now);

    /// Records that the target answered a call or a probe, and whether the
    /// answer reported that it is draining.
    void on_answer(const target_ref& ref, bool draining, bool probe);

    /// Records that a call or probe to the target failed.
    void on_failure(const target_ref& ref, bool probe, instant now);

    /// Marks unreachable targets that are missing from the list as gone, and
    /// removes idle targets that have been unlisted for an hour.
    void on_tick(instant now);

    /// Returns the targets to probe now, and counts the probes as in progress;
    /// each target has at most one.
    std::vector<target_ref> start_due_probes(instant now);

    /// Returns the targets of a service, ordered by instance id; null when the
    /// service has none.
    std::vector<target>* find_service(const service_id& service);

    const std::map<service_id, std::vector<target>>& all() const
    {
        return m_services;
    }

    /// Returns the target, or null when its current incarnation is another one.
    target* find(const target_ref& ref);

private:
    void apply_entry(const listed_target& listed);
    void mark_unlisted(const std::vector<listed_target>& list, instant now);

    std::map<service_id, std::vector<target>> m_services;
};

} // namespace kingcuprudder

#endif
