#ifndef KINGCUPRUDDER_REQUEST_REQUEST_ROUTER_HPP
#define KINGCUPRUDDER_REQUEST_REQUEST_ROUTER_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/membership/target_table.hpp>
#include <kingcuprudder/request/retry_budget.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace kingcuprudder
{

/// The outcome of one call to a target.
enum class target_outcome
{
    answered, ///< The target ran the request and answered.
    rejected, ///< The target answered that the request itself is invalid.
    failed,   ///< The target answered with an error of its own.
    refused,  ///< The target answered that it has not started the request.
    not_sent, ///< No connection was made, so nothing was sent.
    unknown,  ///< The request was sent, but no answer arrived.
};

/// Whether the outcome shows that the target did not run the request.
constexpr bool did_not_run(target_outcome outcome)
{
    return outcome == target_outcome::refused ||
           outcome == target_outcome::not_sent;
}

/// The answer to one call to a target.
struct target_answer
{
    target_outcome m_outcome = target_outcome::unknown;
    std::string m_body;
    /// Whether the target reported with the answer that it is draining.
    bool m_draining = false;
    /// How long the call waited, if it ended by its timeout.
    std::optional<span> m_timed_out_after;

    friend bool operator==(const target_answer&,
                           const target_answer&) = default;
};

/// Admits requests within the limits of this process and chooses a target for
/// each of them. Not thread-safe: the owner of the router must hold a lock
/// around each call.
class request_router
{
public:
    /// A call with a shorter timeout than this does not count as a failure of
    /// the target when it times out. Otherwise callers with very short
    /// deadlines would make healthy targets suspect.
    static constexpr span min_conclusive_timeout = span::seconds(1);

    request_router(std::uint32_t max_in_flight, std::uint64_t seed);

    void on_settings(std::shared_ptr<const effective_settings> settings);

    /// Admits a request, or refuses it with error_code::limit_reached,
    /// unknown_account or unknown_service. Each admitted request must be
    /// released exactly once.
    result<ok> admit(const account_id& account, const service_id& service);
    void release(const account_id& account, const service_id& service);

    /// Picks a live target below its limit of calls in flight, and counts the
    /// call. Of two targets drawn at random, the one with fewer calls in flight
    /// is picked (power of two choices). Targets in `avoid` are picked only
    /// when no other target qualifies.
    std::optional<target_ref> pick(const service_id& service,
                                   const std::vector<target_ref>& avoid);

    /// Whether the service has a live target, even one at its limit of calls.
    bool has_live_target(const service_id& service);

    /// Records the end of a call to a picked target, and updates the state of
    /// the target from the outcome.
    void on_call_ended(const target_ref& ref, const target_answer& answer,
                       instant now);

    /// Takes one retry from the service's budget. Returns false when the budget
    /// is exhausted.
    bool try_take_retry(const service_id& service);

    /// Returns a seed for the random generator of one request.
    std::uint64_t next_seed() { return m_random(); }

    target_table& targets() { return m_targets; }
    const target_table& targets() const { return m_targets; }
    std::uint32_t in_flight() const { return m_in_flight; }

    /// The number of retries that the budgets allowed, and that they refused.
    std::uint64_t retries() const { return m_retries; }
    std::uint64_t refused_retries() const { return m_refused_retries; }

private:
    std::optional<target_ref> pick_from(const service_id& service,
                                        const std::vector<target_ref>& avoid,
                                        bool only_avoided);

    std::uint32_t m_max_in_flight;
    std::mt19937_64 m_random;
    std::shared_ptr<const effective_settings> m_settings;
    target_table m_targets;
    std::uint32_t m_in_flight = 0;
    std::map<account_id, std::uint32_t> m_account_in_flight;
    std::map<service_id, std::uint32_t> m_service_in_flight;
    std::map<service_id, retry_budget> m_budgets;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refused_retries = 0;
};

} // namespace kingcuprudder

#endif
