#ifndef KINGCUPRUDDER_NODE_RECORD_STORE_HPP
#define KINGCUPRUDDER_NODE_RECORD_STORE_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace kingcuprudder::node
{

/// A key of the store and its value.
struct record
{
    std::string m_key;
    std::string m_value;
    /// The revision of the last change; 0 if absent.
    std::int64_t m_revision = 0;

    friend bool operator==(const record&, const record&) = default;
};

/// Reasons why a store call failed.
enum class store_failure
{
    not_done,    ///< The call had no effect and will have none.
    unknown,     ///< A write may have taken effect or may still do so.
    compacted,   ///< The store no longer has the requested history.
    lease_ended, ///< The lease no longer exists.
    refused,     ///< Not done, and it never will be with the same content.
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

/// One page of a list of records.
struct record_page
{
    record_list m_list;
    bool m_has_more = false;
};

/// Changes below a prefix. A removed record has no revision.
struct record_changes
{
    struct change
    {
        record m_record;
        bool m_removed = false;
    };
    std::vector<change> m_changes;
    std::int64_t m_revision = 0; ///< The next watch continues from it.
};

struct record_write
{
    std::string m_key;
    std::string m_value;
    std::int64_t m_lease = 0; ///< 0 for none.
};

/// Writes and removals that are applied atomically if all conditions hold.
struct store_transaction
{
    /// Keys and the revisions that they must have; 0 for an absent key.
    std::vector<std::pair<std::string, std::int64_t>> m_expected;
    std::vector<record_write> m_writes;
    std::vector<std::string> m_removals;
};

/// The longest value that the store takes, in bytes.
constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;

/// Maximum number of entries in a transaction.
constexpr std::size_t max_transaction_entries = 32;

/// Current records of the keys whose revisions a transaction did not expect.
struct store_conflict
{
    std::vector<record> m_records;
};

/// The revision of a committed transaction, or the conflict that prevented it.
using commit_answer = std::variant<std::int64_t, store_conflict>;

/// Returns the revision of a transaction that was committed.
std::optional<std::int64_t>
committed_revision(const store_result<commit_answer>& outcome);
/// Returns the conflict that prevented a transaction, or null.
const store_conflict* conflict_of(const store_result<commit_answer>& outcome);

/// Interface of the key-value service that holds all state that must survive
/// the processes. Safe to use from several threads.
class record_store
{
public:
    virtual ~record_store() = default;

    virtual store_result<std::optional<record>> read(const std::string& key,
                                                     span timeout) = 0;
    /// Returns the records whose keys begin with the prefix and come after the
    /// given key, in the order of the keys, as far as a page holds them. The
    /// timeout applies to the wait for each piece of the answer.
    virtual store_result<record_page> list_page(const std::string& prefix,
                                                const std::string& after,
                                                span timeout) = 0;
    /// Returns all records below the prefix, or the failure of the first page
    /// that could not be read. The timeout applies to each page.
    store_result<record_list> list(const std::string& prefix, span timeout);
    /// Waits up to `wait` for changes after the revision. The timeout of the
    /// call includes the wait.
    virtual store_result<record_changes> watch(const std::string& prefix,
                                               std::int64_t after, span wait,
                                               span timeout) = 0;
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
