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
    case store_failure::refused:
        return "refused";
    }
    return "unknown";
}

std::optional<std::int64_t>
committed_revision(const store_result<commit_answer>& outcome)
{
    if (!is_ok(outcome))
    {
        return std::nullopt;
    }
    const auto* revision = std::get_if<std::int64_t>(&std::get<0>(outcome));
    return revision == nullptr ? std::nullopt : std::optional(*revision);
}

const store_conflict* conflict_of(const store_result<commit_answer>& outcome)
{
    return is_ok(outcome) ? std::get_if<store_conflict>(&std::get<0>(outcome))
                          : nullptr;
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
