#include <kingcuprudder/base/verdict.hpp>

namespace kingcuprudder
{

std::string_view to_string(verdict value)
{
    switch (value)
    {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        return "ran";
    }
    return "may_have_run";
}

std::optional<verdict> verdict_from_string(std::string_view name)
{
    for (verdict value :
         {verdict::not_run, verdict::may_have_run, verdict::ran})
    {
        if (to_string(value) == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace kingcuprudder
