#include "text_table.hpp"

#include <kingcuprudder/base/assert.hpp>

#include <algorithm>
#include <ostream>
#include <utility>

namespace kingcuprudder
{

text_table::text_table(std::vector<std::string> head) : m_rows{std::move(head)}
{
}

void text_table::add(std::vector<std::string> row)
{
    KCR_ASSERT(row.size() == m_rows.front().size());
    m_rows.push_back(std::move(row));
}

void text_table::print(std::ostream& to) const
{
    constexpr std::size_t gap = 2;
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (const auto& row : m_rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size() + gap);
        }
    }
    for (const auto& row : m_rows)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - row[i].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        to << line << "\n";
    }
}

} // namespace kingcuprudder
