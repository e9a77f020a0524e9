#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_TEXT_TABLE_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_TEXT_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Prints rows of text in aligned columns.
class text_table
{
public:
    explicit text_table(std::vector<std::string> head);

    /// Adds a row with as many cells as the head.
    void add(std::vector<std::string> row);

    void print(std::ostream& to) const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace kingcuprudder

#endif
