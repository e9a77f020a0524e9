#include <kingcuprudder/node/record_store.hpp>

namespace kingcuprudder::node
{

std::string_view to_string(store_failure failure)
{
    switch (failure)
    {
    case store_failure::not_done:
        return "not_done";
    case store_failure::unknown:
        return "unknown";
    case store_failure::compacted:
        return "compacted";
    case store_failure::lease_ended:
        return "lease_ended";
    }
    return "unknown";
}

} // namespace kingcuprudder::node
