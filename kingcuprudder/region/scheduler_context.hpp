#ifndef KINGCUPRUDDER_REGION_SCHEDULER_CONTEXT_HPP
#define KINGCUPRUDDER_REGION_SCHEDULER_CONTEXT_HPP

#include <kingcuprudder/region/region_log.hpp>
#include <kingcuprudder/region/region_state.hpp>

#include <random>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Collects the effects of one event and numbers the calls among them.
class effect_sink
{
public:
    call_number store(store_operation operation)
    {
        m_effects.emplace_back(store_call{++m_last_call, std::move(operation)});
        return m_last_call;
    }

    call_number command(const worker_id& worker, epoch_number epoch,
                        decltype(worker_call::m_command) command)
    {
        m_effects.emplace_back(
            worker_call{++m_last_call, worker, epoch, std::move(command)});
        return m_last_call;
    }

    void answer(call_number call, result<caller_reply> reply)
    {
        m_effects.emplace_back(caller_answer{call, std::move(reply)});
    }

    void add(owner_effect effect) { m_effects.push_back(std::move(effect)); }

    std::vector<owner_effect> take() { return std::exchange(m_effects, {}); }

private:
    std::vector<owner_effect> m_effects;
    call_number m_last_call = 0;
};

/// References that the parts of the scheduler share. The state changes only
/// when records are committed.
struct scheduler_context
{
    const region_state& m_state;
    region_log& m_log;
    effect_sink& m_effects;
    const effective_settings& m_settings;
    std::mt19937_64& m_random;
};

} // namespace kingcuprudder

#endif
