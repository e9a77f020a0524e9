#ifndef KINGCUPRUDDER_REGION_REGION_OWNER_IMPLEMENTATION_HPP
#define KINGCUPRUDDER_REGION_REGION_OWNER_IMPLEMENTATION_HPP

#include <kingcuprudder/region/ownership.hpp>
#include <kingcuprudder/region/region_loader.hpp>
#include <kingcuprudder/region/region_scheduler.hpp>
#include <kingcuprudder/region/snapshot_writer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Coordinates the parts of the owner: passes events to them, and sends and
/// answers their store calls.
class region_owner::implementation
{
public:
    implementation(owner_options options, owner_codec codec,
                   std::unique_ptr<placement_policy> policy);

    effects on_settings(const effective_settings& settings, instant now);
    effects on_workers(const std::vector<worker>& workers, instant now);
    effects on_owner_key(const std::optional<owner_record>& owner,
                         store_revision revision, instant now);
    effects on_store_answer(const store_answer& answer, instant now);
    effects on_worker_answer(const worker_answer& answer, instant now);
    effects on_heartbeat(const worker_report& report, instant now);
    effects on_caller_call(const caller_call& call, instant now);
    effects on_tick(instant now);
    effects begin_shutdown(instant now);

    bool owning() const { return m_scheduler != nullptr; }
    bool renews_task_leases(instant now) const;
    epoch_number epoch() const { return owning() ? m_state.epoch() : 0; }
    bool shut_down() const { return m_stage == stage::shut_down; }
    std::string dump() const;
    region_statistics statistics() const;

private:
    enum class stage
    {
        standby,
        loading, ///< Reads snapshot and log.
        fencing, ///< Appends the epoch's first record.
        owning,
        shut_down,
    };

    enum class part
    {
        ownership,
        loader,
        log,
        snapshot,
    };

    struct sent_call
    {
        part m_part = part::ownership;
        std::uint32_t m_tag = 0;
    };

    effects finish(instant now);
    void check_ownership();
    void start_fencing(instant now);
    void start_owning(instant now);
    void on_log_outcome(const store_outcome& outcome, instant now);
    void on_progress(const region_log::progress& made, instant now);
    void begin_snapshot();
    void continue_shutdown(instant now);
    void send_store_calls(instant now);
    void send(part from, const tagged_operation& wanted);
    void step_down();
    std::string owner_address() const;

    owner_options m_options;
    owner_codec m_codec;
    std::unique_ptr<placement_policy> m_policy;
    std::mt19937_64 m_random;
    effect_sink m_effects;

    effective_settings m_settings;
    std::vector<worker> m_workers;

    stage m_stage = stage::standby;
    bool m_shutting_down = false;
    instant m_shutdown_since;
    bool m_release_begun = false;
    ownership m_ownership;
    region_loader m_loader;
    region_log m_log;
    snapshot_writer m_snapshots;
    region_state m_state;
    std::unique_ptr<region_scheduler> m_scheduler;
    std::map<call_number, sent_call> m_calls;
};

} // namespace kingcuprudder

#endif
