#include <kingcuprudder/topology/shape.hpp>

namespace kingcuprudder
{

std::string_view to_string(proximity value)
{
    switch (value)
    {
    case proximity::worker:
        return "worker";
    case proximity::rack:
        return "rack";
    case proximity::zone:
        return "zone";
    case proximity::region:
        return "region";
    }
    return "region";
}

std::optional<proximity> proximity_from_string(std::string_view name)
{
    for (proximity value : {proximity::worker, proximity::rack, proximity::zone,
                            proximity::region})
    {
        if (to_string(value) == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

} // namespace kingcuprudder
