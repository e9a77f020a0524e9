#include <stand_ins/minion_snapshot.hpp>

#include <map>

namespace kingcuprudder::stand_ins
{

dispatch::run_outcome outcome_of(const std::string& name)
{
    using dispatch::run_outcome;
    static const std::map<std::string, run_outcome> by_name = {
        {"done", run_outcome::done},
        {"failed", run_outcome::failed},
        {"stopped", run_outcome::stopped},
        {"lapsed", run_outcome::lease_lapsed},
        {"broken", run_outcome::gang_broken},
        {"alone", run_outcome::gang_missing}};
    return by_name.at(name);
}

} // namespace kingcuprudder::stand_ins
