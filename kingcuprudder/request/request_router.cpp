#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/request/request_router.hpp>
#include <kingcuprudder/request/unknown_name_error.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace kingcuprudder
{

namespace
{

error refusal(error_code code, std::string message)
{
    return error{code, std::move(message), verdict::not_run};
}

template <class Id>
void decrease(std::map<Id, std::uint32_t>& counts, const Id& id)
{
    auto found = counts.find(id);
    KCR_ASSERT(found != counts.end() && found->second > 0);
    if (--found->second == 0)
    {
        counts.erase(found);
    }
}

template <class Id>
std::uint32_t count_of(const std::map<Id, std::uint32_t>& counts, const Id& id)
{
    auto found = counts.find(id);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

request_router::request_router(std::uint32_t max_in_flight, std::uint64_t seed)
    : m_max_in_flight(max_in_flight), m_random(seed),
      m_settings(std::make_shared<effective_settings>())
{
}

void request_router::on_settings(
    std::shared_ptr<const effective_settings> settings)
{
    KCR_ASSERT(settings != nullptr);
    m_settings = std::move(settings);
}

result<ok> request_router::admit(const account_id& account,
                                 const service_id& service)
{
    auto account_found = m_settings->m_accounts.find(account);
    if (account_found == m_settings->m_accounts.end())
    {
        return unknown_name_error(error_code::unknown_account, "account",
                                  account, m_settings->m_accounts);
    }
    auto service_found = m_settings->m_services.find(service);
    if (service_found == m_settings->m_services.end())
    {
        return unknown_name_error(error_code::unknown_service, "service",
                                  service, m_settings->m_services);
    }
    if (count_of(m_account_in_flight, account) >=
        account_found->second.m_max_requests_in_flight)
    {
        return refusal(error_code::limit_reached,
                       "too many requests in flight for account '" +
                           account.str() + "'");
    }
    if (count_of(m_service_in_flight, service) >=
        service_found->second.m_max_in_flight)
    {
        return refusal(error_code::limit_reached,
                       "too many requests in flight for service '" +
                           service.str() + "'");
    }
    if (m_in_flight >= m_max_in_flight)
    {
        return refusal(error_code::limit_reached,
                       "too many requests in flight on this instance");
    }
    ++m_in_flight;
    ++m_account_in_flight[account];
    ++m_service_in_flight[service];
    m_budgets[service].on_first_attempt();
    return ok{};
}

void request_router::release(const account_id& account,
                             const service_id& service)
{
    KCR_ASSERT(m_in_flight > 0);
    --m_in_flight;
    decrease(m_account_in_flight, account);
    decrease(m_service_in_flight, service);
}

std::optional<target_ref>
request_router::pick(const service_id& service,
                     const std::vector<target_ref>& avoid)
{
    std::optional<target_ref> picked = pick_from(service, avoid, false);
    if (!picked && !avoid.empty())
    {
        picked = pick_from(service, avoid, true);
    }
    return picked;
}

std::optional<target_ref>
request_router::pick_from(const service_id& service,
                          const std::vector<target_ref>& avoid,
                          bool only_avoided)
{
    auto found = m_settings->m_services.find(service);
    auto* targets = m_targets.find_service(service);
    if (found == m_settings->m_services.end() || targets == nullptr)
    {
        return std::nullopt;
    }
    const std::uint32_t max_in_flight =
        found->second.m_max_in_flight_per_target;

    // Reservoir sampling: draws two distinct targets in one pass, each pair
    // with equal probability.
    std::array<target_table::target*, 2> drawn{};
    std::uint64_t eligible = 0;
    for (target_table::target& each : *targets)
    {
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), each.m_ref) != avoid.end();
        if (each.m_state != target_state::live ||
            each.m_in_flight >= max_in_flight || avoided != only_avoided)
        {
            continue;
        }
        const std::uint64_t slot =
            eligible < 2 ? eligible : m_random() % (eligible + 1);
        if (slot < 2)
        {
            drawn[slot] = &each;
        }
        ++eligible;
    }
    if (eligible == 0)
    {
        return std::nullopt;
    }
    const bool swap = m_random() % 2 == 1;
    target_table::target* chosen = drawn[eligible > 1 && swap ? 1 : 0];
    target_table::target* other = drawn[eligible > 1 && !swap ? 1 : 0];
    if (other->m_in_flight < chosen->m_in_flight)
    {
        chosen = other;
    }
    ++chosen->m_in_flight;
    return chosen->m_ref;
}

bool request_router::has_live_target(const service_id& service)
{
    const auto* targets = m_targets.find_service(service);
    return targets != nullptr &&
           std::any_of(targets->begin(), targets->end(),
                       [](const target_table::target& each)
                       { return each.m_state == target_state::live; });
}

void request_router::on_call_ended(const target_ref& ref,
                                   const target_answer& answer, instant now)
{
    target_table::target* called = m_targets.find(ref);
    if (called == nullptr)
    {
        return;
    }
    KCR_ASSERT(called->m_in_flight > 0);
    --called->m_in_flight;
    const bool responded = answer.m_outcome == target_outcome::answered ||
                           answer.m_outcome == target_outcome::rejected ||
                           answer.m_outcome == target_outcome::refused;
    const bool conclusive = !answer.m_timed_out_after ||
                            *answer.m_timed_out_after >= min_conclusive_timeout;
    if (responded || answer.m_draining)
    {
        m_targets.on_answer(ref, answer.m_draining, false);
    }
    else if (conclusive)
    {
        m_targets.on_failure(ref, false, now);
    }
}

bool request_router::try_take_retry(const service_id& service)
{
    const bool allowed = m_budgets[service].try_take();
    ++(allowed ? m_retries : m_refused_retries);
    return allowed;
}

} // namespace kingcuprudder
