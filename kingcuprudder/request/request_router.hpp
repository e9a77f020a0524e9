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

/// What became of one call to a target.
enum class target_outcome
{
    answered, ///< The target ran the request and answered.
    rejected, ///< The target answered that the request itself is at fault.
    failed,   ///< The target answered with a failure of its own.
    refused,  ///< The target answered that it has not started the request.
    not_sent, ///< No connection was made, so that nothing was sent.
    unknown,  ///< The request was sent and no answer came.
};

/// Whether the outcome shows that the call ran nothing.
constexpr bool ran_nothing(target_outcome outcome)
{
    return outcome == target_outcome::refused ||
           outcome == target_outcome::not_sent;
}

/// The answer to one call to a target.
struct target_answer
{
    target_outcome m_outcome = target_outcome::unknown;
    std::string m_body;
    /// Whether the target itself has said that it is leaving.
    bool m_draining = false;
    /// How long the call waited in vain, when it ended by its timeout.
    std::optional<span> m_timed_out_after;

    friend bool operator==(const target_answer&,
                           const target_answer&) = default;
};

/// Chooses targets for requests and keeps the limits of this process. Not
/// safe for several threads: its owner holds a lock around each call.
class request_router
{
public:
    /// A timeout below this says nothing about the target. Otherwise callers
    /// with very short deadlines would make healthy targets suspect.
    static constexpr span shortest_telling_timeout = span::seconds(1);

    request_router(std::uint32_t max_in_flight, std::uint64_t seed);

    void on_settings(std::shared_ptr<const effective_settings> settings);

    /// Admits a request or refuses it early with error_code::limit_reached,
    /// unknown_account or unknown_service. Each admitted request must be
    /// released once.
    result<ok> admit(const account_id& account, const service_id& service);
    void release(const account_id& account, const service_id& service);

    /// A live target with room, by the power of two choices over the calls in
    /// flight. Targets in `avoid` are chosen only when no other has room.
    std::optional<target_ref> pick(const service_id& service,
                                   const std::vector<target_ref>& avoid);

    /// Whether the service has a live target, with or without room.
    bool has_live_target(const service_id& service);

    /// A call to a picked target has ended.
    void on_call_ended(const target_ref& ref, const target_answer& answer,
                       instant now);

    /// Takes one retry from the service's budget; false when it is used up.
    bool try_take_retry(const service_id& service);

    /// A seed for a generator of one request.
    std::uint64_t next_seed() { return m_random(); }

    target_table& targets() { return m_targets; }
    const target_table& targets() const { return m_targets; }
    std::uint32_t in_flight() const { return m_in_flight; }

    /// Retries that the budgets allowed, and those that they did not.
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
