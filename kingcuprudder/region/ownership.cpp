#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/ownership.hpp>
#include <kingcuprudder/region/region_keys.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

/// Standbys try to acquire the key after a random delay, so that the first one
/// usually has written it before the others try.
constexpr std::int64_t claim_jitter_ms = 100;

/// A standby reads the key at random intervals between these bounds, in case
/// its watch has stopped reporting changes.
constexpr std::int64_t min_poll_interval_ms = 4000;
constexpr std::int64_t max_poll_interval_ms = 8000;

} // namespace

ownership::ownership(const owner_options& options, const owner_codec& codec)
    : m_key(owner_key(options.m_region)), m_self{options.m_instance,
                                                 options.m_address},
      m_codec(codec), m_random(options.m_seed),
      m_backoff(initial_store_backoff, max_store_backoff)
{
}

void ownership::on_key(const std::optional<owner_record>& owner,
                       store_revision revision, instant now)
{
    // The watch can lag behind this process's own writes.
    if (m_held && (revision <= m_revision || is_own(owner)))
    {
        return;
    }
    m_owner = owner;
    m_revision = revision;
    if (owner)
    {
        m_key_absent = false;
        if (m_held && !is_own(owner))
        {
            abandon();
        }
        return;
    }
    if (m_held)
    {
        lose(now);
        return;
    }
    if (!m_key_absent)
    {
        schedule_claim(now);
    }
}

std::optional<tagged_operation> ownership::poll(instant now)
{
    if (m_in_flight || now < m_not_before)
    {
        return std::nullopt;
    }
    if (m_release_wanted && !m_held && m_step != step::deleting)
    {
        m_release_wanted = false;
        m_enabled = false;
        m_step = step::standby;
        return std::nullopt;
    }
    switch (m_step)
    {
    case step::standby:
        return poll_standby(now);
    case step::granting:
        return call(step::granting, lease_grant{owner_lease_time}, now);
    case step::claiming:
        return call(
            step::claiming,
            store_put{m_key, m_codec.m_encode_owner(m_self), 0, m_lease}, now);
    case step::verifying:
        return call(step::verifying, store_get{m_key}, now);
    case step::holding:
    case step::deleting:
        return poll_holding(now);
    }
    return std::nullopt;
}

std::optional<tagged_operation> ownership::poll_standby(instant now)
{
    if (!m_enabled || now < m_next_call)
    {
        return std::nullopt;
    }
    if (m_key_absent)
    {
        return call(step::granting, lease_grant{owner_lease_time}, now);
    }
    std::uniform_int_distribution<std::int64_t> pick(min_poll_interval_ms,
                                                     max_poll_interval_ms);
    m_next_call = now + span(pick(m_random));
    return call(step::verifying, store_get{m_key}, now);
}

std::optional<tagged_operation> ownership::poll_holding(instant now)
{
    if (m_release_wanted)
    {
        return call(step::deleting, store_delete{m_key, m_revision}, now);
    }
    if (now < m_next_call)
    {
        return std::nullopt;
    }
    m_next_call = now + owner_renewal_interval;
    return call(step::holding, lease_renew{m_lease}, now);
}

std::optional<tagged_operation>
ownership::call(step next, store_operation operation, instant now)
{
    m_step = next;
    m_in_flight = true;
    m_sent_at = now;
    return tagged_operation{0, std::move(operation)};
}

void ownership::on_outcome(const store_outcome& outcome, instant now)
{
    m_in_flight = false;
    if (std::holds_alternative<store_failed>(outcome))
    {
        on_no_answer(now);
        return;
    }
    m_store_unresponsive = false;
    m_backoff.reset();
    if (m_step == step::deleting)
    {
        abandon();
        m_release_wanted = false;
        m_enabled = false;
    }
    else if (m_step == step::holding)
    {
        on_renewed(outcome);
    }
    else if (const auto* value = std::get_if<store_value>(&outcome))
    {
        on_read(*value, now);
    }
    else if (const auto* granted = std::get_if<lease_granted>(&outcome))
    {
        m_lease = granted->m_lease;
        m_valid_until = m_sent_at + owner_lease_time;
        m_step = step::claiming;
    }
    else if (const auto* written = std::get_if<store_written>(&outcome))
    {
        on_claimed(written->m_revision);
    }
    else if (std::holds_alternative<lease_lapsed>(outcome))
    {
        m_step = step::granting;
    }
    else
    {
        // A conflict can be caused by this process's own earlier write.
        m_step = step::verifying;
    }
}

void ownership::release()
{
    m_release_wanted = true;
}

void ownership::abandon()
{
    m_held = false;
    m_step = step::standby;
    m_lease.clear();
    m_valid_until = instant();
}

void ownership::on_read(const store_value& value, instant now)
{
    m_step = step::standby;
    m_revision = value.m_revision;
    if (value.m_revision == 0)
    {
        m_owner.reset();
        if (m_held)
        {
            m_step = step::granting;
        }
        else if (!m_key_absent)
        {
            schedule_claim(now);
        }
        return;
    }
    const result<owner_record> read = m_codec.m_decode_owner(value.m_value);
    if (!succeeded(read))
    {
        return;
    }
    m_owner = value_of(read);
    m_key_absent = false;
    if (is_own(m_owner) && !m_lease.empty())
    {
        on_claimed(value.m_revision);
    }
    else
    {
        abandon();
    }
}

void ownership::on_claimed(store_revision revision)
{
    m_held = true;
    m_step = step::holding;
    m_revision = revision;
    m_owner = m_self;
    m_key_absent = false;
    m_next_call = instant();
}

void ownership::on_renewed(const store_outcome& outcome)
{
    if (std::holds_alternative<lease_granted>(outcome))
    {
        m_valid_until = m_sent_at + owner_lease_time;
        return;
    }
    // The lease has expired. The log shows whether another process has taken
    // over; if none has, this process acquires the key again and continues.
    m_valid_until = instant();
    m_lease.clear();
    m_step = step::granting;
}

void ownership::on_no_answer(instant now)
{
    m_store_unresponsive = true;
    m_not_before = now + m_backoff.next(m_random);
    if (m_step == step::holding)
    {
        m_next_call = instant();
    }
    else if (m_step == step::claiming)
    {
        m_step = step::verifying;
    }
}

void ownership::lose(instant now)
{
    // The key was deleted while this process held it, because the lease expired
    // during a pause or an outage.
    m_valid_until = instant();
    m_lease.clear();
    if (!m_in_flight)
    {
        m_step = step::granting;
        m_not_before = now;
    }
}

void ownership::schedule_claim(instant now)
{
    m_key_absent = true;
    std::uniform_int_distribution<std::int64_t> pick(0, claim_jitter_ms);
    m_next_call = now + span(pick(m_random));
}

bool ownership::is_own(const std::optional<owner_record>& owner) const
{
    return owner && *owner == m_self;
}

} // namespace kingcuprudder
