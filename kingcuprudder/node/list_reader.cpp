#include <kingcuprudder/node/list_reader.hpp>

#include <iterator>

namespace kingcuprudder::node
{

list_reader::list_reader(record_store& store, std::string prefix)
    : m_store(&store), m_prefix(std::move(prefix))
{
}

std::optional<store_failure> list_reader::read_page(span timeout)
{
    std::vector<record>& records = m_list.m_records;
    const bool is_first = records.empty();
    const std::string after = is_first ? "" : records.back().m_key;
    store_result<record_page> read =
        m_store->list_page(m_prefix, after, timeout);
    if (!is_ok(read))
    {
        return std::get<store_failure>(read);
    }
    auto& page = std::get<record_page>(read);
    if (is_first)
    {
        m_list.m_revision = page.m_list.m_revision;
    }
    m_complete = !page.m_has_more || page.m_list.m_records.empty();
    std::move(page.m_list.m_records.begin(), page.m_list.m_records.end(),
              std::back_inserter(records));
    return std::nullopt;
}

} // namespace kingcuprudder::node
