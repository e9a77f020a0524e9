#include <kingcuprudder/node/list_reader.hpp>
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

store_result<record_list> record_store::list(const std::string& prefix,
                                             span timeout)
{
    list_reader reader(*this, prefix);
    while (!reader.is_complete())
    {
        if (const auto failure = reader.read_page(timeout))
        {
            return *failure;
        }
    }
    return reader.list();
}

} // namespace kingcuprudder::node
