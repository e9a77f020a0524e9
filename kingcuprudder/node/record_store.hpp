#ifndef KINGCUPRUDDER_NODE_RECORD_STORE_HPP
#define KINGCUPRUDDER_NODE_RECORD_STORE_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kingcuprudder::node
{

/// A stored value.
struct record
{
    std::string m_key;
    std::string m_value;
    std::int64_t m_revision = 0; ///< Of its last change; 0 if it is absent.

    friend bool operator==(const record&, const record&) = default;
};

/// Why a store call gave no answer that can be used.
enum class store_failure
{
    not_done,    ///< The call had no effect and will have none.
    unknown,     ///< A write may have happened or may still happen.
    compacted,   ///< The history asked for is no longer there.
    lease_ended, ///< The lease does not exist any more.
};

std::string_view to_string(store_failure failure);

template <class T>
using store_result = std::variant<T, store_failure>;

template <class T>
bool is_ok(const store_result<T>& outcome)
{
    return outcome.index() == 0;
}

/// The records below a prefix as of a revision.
struct record_list
{
    std::vector<record> m_records;
    std::int64_t m_revision = 0;
};

/// Changes below a prefix; a record without a revision was removed.
struct record_changes
{
    struct change
    {
        record m_record;
        bool m_removed = false;
    };
    std::vector<change> m_changes;
    std::int64_t m_revision = 0; ///< Where the next watch goes on.
};

struct record_write
{
    std::string m_key;
    std::string m_value;
    std::int64_t m_lease = 0; ///< 0 for none.
};

/// An atomic change under conditions.
struct store_transaction
{
    /// Keys and the revisions that they must have; 0 for an absent key.
    std::vector<std::pair<std::string, std::int64_t>> m_expected;
    std::vector<record_write> m_writes;
    std::vector<std::string> m_removals;
};

/// The most entries that a transaction may have.
constexpr std::size_t max_transaction_entries = 32;

/// The current records of the keys that a transaction expected otherwise.
struct store_conflict
{
    std::vector<record> m_records;
};

/// A transaction's revision, or why its conditions did not hold.
using commit_answer = std::variant<std::int64_t, store_conflict>;

/// The key-value service that keeps what must outlive every process. Safe to
/// use from several threads.
class record_store
{
public:
    virtual ~record_store() = default;

    virtual store_result<std::optional<record>> read(const std::string& key,
                                                     span timeout) = 0;
    virtual store_result<record_list> list(const std::string& prefix,
                                           span timeout) = 0;
    /// Waits for changes after the revision, at most so long.
    virtual store_result<record_changes>
    watch(const std::string& prefix, std::int64_t after, span wait) = 0;
    virtual store_result<commit_answer>
    commit(const store_transaction& transaction, span timeout) = 0;
    /// Returns the lease's id.
    virtual store_result<std::int64_t> grant_lease(span time_to_live,
                                                   span timeout) = 0;
    virtual store_result<std::monostate> renew_lease(std::int64_t lease,
                                                     span timeout) = 0;
    virtual void revoke_lease(std::int64_t lease, span timeout) = 0;
};

} // namespace kingcuprudder::node

#endif
