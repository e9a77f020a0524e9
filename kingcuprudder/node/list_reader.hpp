#ifndef KINGCUPRUDDER_NODE_LIST_READER_HPP
#define KINGCUPRUDDER_NODE_LIST_READER_HPP

#include <kingcuprudder/node/record_store.hpp>

#include <optional>
#include <string>

namespace kingcuprudder::node
{

/// Reads the records below a prefix page by page. Pages that were read are kept
/// when a later one fails.
class list_reader
{
public:
    list_reader(record_store& store, std::string prefix);

    /// Reads the next page, or the same one again after a failure. Returns why
    /// it could not be read, or nothing if it was.
    std::optional<store_failure> read_page(span timeout);
    bool is_complete() const { return m_complete; }
    const std::string& prefix() const { return m_prefix; }
    /// Returns the records read so far. Their revision is that of the first
    /// page, so that a watch that continues from it returns all changes made
    /// while later pages were read.
    const record_list& list() const { return m_list; }

private:
    record_store* m_store;
    std::string m_prefix;
    record_list m_list;
    bool m_complete = false;
};

} // namespace kingcuprudder::node

#endif
