#include <soak/etw_label_sheet.hpp>
#include <soak/named_sheets.hpp>

#include <stdexcept>

namespace kingcuprudder::soak
{

namespace
{

const std::string default_name = "default";
const std::string etw_label_name = "etw-label";

} // namespace

std::vector<std::string> sheet_names()
{
    return {default_name, etw_label_name};
}

deployment_sheet sheet_named(const std::string& name)
{
    if (name == default_name)
    {
        return deployment_sheet();
    }
    if (name == etw_label_name)
    {
        return etw_label_sheet();
    }
    throw std::invalid_argument("no sheet is named " + name);
}

} // namespace kingcuprudder::soak
