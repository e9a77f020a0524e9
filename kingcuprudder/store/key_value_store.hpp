#ifndef KINGCUPRUDDER_STORE_KEY_VALUE_STORE_HPP
#define KINGCUPRUDDER_STORE_KEY_VALUE_STORE_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// One change that a watch reports.
struct watch_event
{
    std::string m_key;
    std::string m_value; ///< Empty when the key was deleted.
    store_revision m_revision = 0;
    bool m_deleted = false;

    friend auto operator<=>(const watch_event&, const watch_event&) = default;
};

/// All changes below the watched prefix up to a revision of the store.
struct watch_batch
{
    store_revision m_revision = 0;
    std::vector<watch_event> m_events;

    friend bool operator==(const watch_batch&, const watch_batch&) = default;
};

/// Interface of the platform's key-value service. Calls block until they are
/// answered or time out. Safe to use from several threads.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Makes one call. Its outcome is store_failed if there is no valid answer.
    virtual store_answer call(const store_call& request) = 0;

    /// Waits up to `wait` for changes below a prefix after a revision.
    /// Revision 0 returns all present keys at once. Fails with
    /// error_code::store_unavailable.
    virtual result<watch_batch> watch(const std::string& prefix,
                                      store_revision after, span wait) = 0;
};

} // namespace kingcuprudder

#endif
