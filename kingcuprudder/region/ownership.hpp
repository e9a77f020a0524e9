#ifndef KINGCUPRUDDER_REGION_OWNERSHIP_HPP
#define KINGCUPRUDDER_REGION_OWNERSHIP_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/region/store_operation.hpp>

#include <optional>
#include <string>

namespace kingcuprudder
{

/// Acquires and holds the lease key that names the region's owner. The key only
/// selects the process that may take over; the log fences former owners.
class ownership
{
public:
    ownership(const owner_options& options, const owner_codec& codec);

    /// Allows this process to acquire the key; called once settings are loaded.
    void enable() { m_enabled = true; }

    /// Called when the watch reports a value of the key; empty if the key is
    /// absent.
    void on_key(const std::optional<owner_record>& owner,
                store_revision revision, instant now);

    /// Returns the store call to send now, if any.
    std::optional<tagged_operation> poll(instant now);
    void on_outcome(const store_outcome& outcome, instant now);

    /// Whether the key named this process when it was last read or written.
    bool held() const { return m_held; }

    /// Whether the lease is still valid by this process's clock.
    bool lease_valid(instant now) const
    {
        return m_held && now < m_valid_until;
    }

    /// Whether the last store call for the key got no answer.
    bool store_unresponsive() const { return m_store_unresponsive; }

    /// Requests the deletion of the key, so that another process can take over
    /// immediately.
    void release();

    /// Stops holding the key without changing it, after another owner was
    /// detected.
    void abandon();

    /// Whether a release is in progress.
    bool releasing() const { return m_release_wanted; }

    /// The last owner read from the key, to redirect callers that called
    /// another process.
    const std::optional<owner_record>& last_owner() const { return m_owner; }

private:
    enum class step
    {
        standby,   ///< Another process holds the key, or it is not read yet.
        granting,  ///< The request for a lease is in flight.
        claiming,  ///< The compare-and-swap on the key is in flight.
        verifying, ///< The key is read after a lost answer.
        holding,
        deleting,
    };

    std::optional<tagged_operation> poll_standby(instant now);
    std::optional<tagged_operation> poll_holding(instant now);
    std::optional<tagged_operation> call(step next, store_operation operation,
                                         instant now);
    void on_read(const store_value& value, instant now);
    void on_claimed(store_revision revision);
    void on_renewed(const store_outcome& outcome);
    void on_no_answer(instant now);
    void lose(instant now);
    void schedule_claim(instant now);
    bool is_own(const std::optional<owner_record>& owner) const;

    std::string m_key;
    owner_record m_self;
    const owner_codec& m_codec;
    std::mt19937_64 m_random;
    retry_backoff m_backoff;

    bool m_enabled = false;
    step m_step = step::standby;
    bool m_in_flight = false;
    bool m_held = false;
    bool m_key_absent = false;
    bool m_store_unresponsive = false;
    bool m_release_wanted = false;
    std::optional<owner_record> m_owner;
    store_revision m_revision = 0;
    std::string m_lease;
    instant m_sent_at;
    instant m_valid_until;
    instant m_next_call;
    instant m_not_before;
};

/// Time to live of the owner's key after its last renewal.
inline constexpr span owner_lease_time = span::seconds(4);

/// Three renewals fit into one lease, so that it survives one lost call.
inline constexpr span owner_renewal_interval(1300);

} // namespace kingcuprudder

#endif
