#include <kingcuprudder/codec/dispatch_codec.hpp>

#include <nlohmann/json.hpp>

#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

using nlohmann::json;

constexpr const char* end_time_field = "ended_at_ms";
constexpr const char* absence_time_field = "absent_at_ms";
constexpr const char* workers_field = "workers";

/// Returns the time in this field of an encoded object, or nothing if there is
/// none.
std::optional<instant> decode_time(const std::string& text, const char* field)
{
    const json value = json::parse(text, nullptr, false);
    const auto found = value.is_object() ? value.find(field) : value.end();
    if (found == value.end() || !found->is_number_integer())
    {
        return std::nullopt;
    }
    return instant(found->get<std::int64_t>());
}

json encode_step(const job_step& step)
{
    return {{"count", step.m_count},
            {"cpu_millis", step.m_demand.m_cpu_millis},
            {"memory_mb", step.m_demand.m_memory_mb},
            {"gpus", step.m_demand.m_gpus},
            {"estimate_ms", step.m_estimate.count()},
            {"after", step.m_depends_on},
            {"checkpoints", step.m_writes_checkpoints},
            {"gang", step.m_gang},
            {"same_rack", step.m_same_rack},
            {"required_label", step.m_required_label},
            {"data_rack", step.m_data_rack},
            {"max_per_worker", step.m_max_per_worker},
            {"speculative", step.m_speculative},
            {"persistent", step.m_persistent},
            {"fills", step.m_uses_idle_cpu},
            {"max_unavailable", step.m_max_unavailable},
            {"image", step.m_image},
            {"target_latency_ms", step.m_target_latency.count()}};
}

job_step decode_step(const json& value)
{
    job_step step;
    step.m_count = value.at("count");
    step.m_demand = {value.at("cpu_millis"), value.at("memory_mb"),
                     value.at("gpus")};
    step.m_estimate = span(value.at("estimate_ms").get<std::int64_t>());
    step.m_depends_on = value.at("after").get<std::vector<int>>();
    step.m_writes_checkpoints = value.at("checkpoints");
    step.m_gang = value.at("gang");
    step.m_same_rack = value.at("same_rack");
    step.m_required_label = value.at("required_label");
    step.m_data_rack = value.at("data_rack");
    step.m_max_per_worker = value.at("max_per_worker");
    step.m_speculative = value.at("speculative");
    step.m_persistent = value.at("persistent");
    step.m_uses_idle_cpu = value.at("fills");
    step.m_max_unavailable = value.at("max_unavailable");
    step.m_image = value.at("image");
    step.m_target_latency =
        span(value.at("target_latency_ms").get<std::int64_t>());
    return step;
}

json encode_policy(const queue_policy& policy)
{
    return {{"pool", policy.m_pool},
            {"priority", policy.m_priority},
            {"max_attempts", policy.m_max_attempts},
            {"stretch", policy.m_stretch},
            {"start_allowance_ms", policy.m_start_allowance.count()},
            {"needs_advice", policy.m_needs_advice}};
}

queue_policy decode_policy(const json& value)
{
    queue_policy policy;
    policy.m_pool = value.at("pool");
    policy.m_priority = value.at("priority");
    policy.m_max_attempts = value.at("max_attempts");
    policy.m_stretch = value.at("stretch");
    policy.m_start_allowance =
        span(value.at("start_allowance_ms").get<std::int64_t>());
    policy.m_needs_advice = value.at("needs_advice");
    return policy;
}

// Most tasks of a stored job are unstarted or done, so these two states are
// encoded as a single digit.
constexpr int unstarted_task = 0;
constexpr int done_task = 1;
// The position of the lost workers of a task, which only suspected tasks have.
constexpr std::size_t crash_fields_at = 5;
constexpr std::size_t crash_field_count = 5;

/// Returns the position of the address of a task's worker in an entry of this
/// size, which is its last field. Only tasks with a worker have one.
std::size_t address_position(std::size_t entry_size)
{
    const std::size_t with_crashes = crash_fields_at + crash_field_count;
    return entry_size >= with_crashes ? with_crashes : crash_fields_at;
}

/// Returns the encoded task if it is one of the states with a single digit.
std::optional<json> encode_short_task(const task_progress& task)
{
    if (task == task_progress())
    {
        return unstarted_task;
    }
    if (task.m_done)
    {
        return done_task;
    }
    return std::nullopt;
}

void append_crashes(json& entry, const task_progress& task)
{
    if (task.m_crashes.any() || task.m_workers_ended > 0)
    {
        entry.push_back(task.m_crashes.m_certain);
        entry.push_back(task.m_crashes.m_possible);
        entry.push_back(task.m_crashes.m_slight);
        entry.push_back(task.m_workers_ended);
        entry.push_back(task.m_lost_run);
    }
}

json encode_task(const task_progress& task)
{
    if (const auto encoded = encode_short_task(task))
    {
        return *encoded;
    }
    json entry =
        json::array({task.m_last_run, task.m_worker, task.m_worker_incarnation,
                     task.m_failed_runs, task.m_checkpoint});
    append_crashes(entry, task);
    if (!task.m_worker_address.empty())
    {
        entry.push_back(task.m_worker_address);
    }
    return entry;
}

/// The workers of a compact record. A task has the position of its worker.
class worker_list
{
public:
    int position_of(const task_progress& task)
    {
        const auto [found, added] = m_positions.try_emplace(
            {task.m_worker, task.m_worker_incarnation, task.m_worker_address},
            static_cast<int>(m_positions.size()));
        if (added)
        {
            m_encoded.push_back({task.m_worker, task.m_worker_incarnation,
                                 task.m_worker_address});
        }
        return found->second;
    }

    const json& encoded() const { return m_encoded; }

private:
    std::map<std::tuple<std::string, std::int64_t, std::string>, int>
        m_positions;
    json m_encoded = json::array();
};

// The position of the lost workers of a task in a compact record.
constexpr std::size_t compact_crash_fields_at = 4;

json encode_compact_task(const task_progress& task, worker_list& workers)
{
    if (const auto encoded = encode_short_task(task))
    {
        return *encoded;
    }
    json entry = json::array({task.m_last_run, workers.position_of(task),
                              task.m_failed_runs, task.m_checkpoint});
    append_crashes(entry, task);
    return entry;
}

/// Returns the entries of an array; any other value is an error.
const json::array_t& items(const json& value)
{
    return value.get_ref<const json::array_t&>();
}

/// Reads a task in one of the states that are encoded as a single digit.
std::optional<task_progress> decode_short_task(const json& value)
{
    const int state = value.get<int>();
    if (state != unstarted_task && state != done_task)
    {
        return std::nullopt;
    }
    task_progress task;
    task.m_done = state == done_task;
    return task;
}

/// Reads the fields that begin at this position if the entry has them.
void read_crashes(const json& entry, std::size_t at, task_progress& task)
{
    if (entry.size() < at + crash_field_count)
    {
        return;
    }
    task.m_crashes.m_certain = entry.at(at);
    task.m_crashes.m_possible = entry.at(at + 1);
    task.m_crashes.m_slight = entry.at(at + 2);
    task.m_workers_ended = entry.at(at + 3);
    task.m_lost_run = entry.at(at + 4);
}

std::optional<task_progress> decode_task(const json& value)
{
    if (value.is_number_integer())
    {
        return decode_short_task(value);
    }
    task_progress task;
    task.m_last_run = value.at(0);
    task.m_worker = value.at(1);
    task.m_worker_incarnation = value.at(2);
    task.m_failed_runs = value.at(3).get<std::vector<int>>();
    task.m_checkpoint = value.at(4);
    read_crashes(value, crash_fields_at, task);
    const std::size_t address_at = address_position(value.size());
    if (value.size() > address_at)
    {
        task.m_worker_address = value.at(address_at);
    }
    return task;
}

std::optional<task_progress> decode_compact_task(const json& value,
                                                 const json& workers)
{
    if (value.is_number_integer())
    {
        return decode_short_task(value);
    }
    const json& worker = workers.at(value.at(1).get<std::size_t>());
    task_progress task;
    task.m_last_run = value.at(0);
    task.m_worker = worker.at(0);
    task.m_worker_incarnation = worker.at(1);
    task.m_worker_address = worker.at(2);
    task.m_failed_runs = value.at(2).get<std::vector<int>>();
    task.m_checkpoint = value.at(3);
    read_crashes(value, compact_crash_fields_at, task);
    return task;
}

/// Encodes tasks: [repetition][step][task].
template <class Encode>
json tasks_json(const job_progress& progress, const Encode& encode)
{
    json tasks = json::array();
    for (const auto& repeat : progress.m_tasks)
    {
        json& steps = tasks.emplace_back(json::array());
        for (const auto& step : repeat)
        {
            json& entries = steps.emplace_back(json::array());
            for (const task_progress& task : step)
            {
                entries.push_back(encode(task));
            }
        }
    }
    return tasks;
}

json state_json(const job_progress& progress)
{
    return {{"state", to_string(progress.m_state)},
            {"account", progress.m_account}};
}

json progress_json(const job_progress& progress)
{
    json value = state_json(progress);
    if (!is_final(progress.m_state))
    {
        value["tasks"] = tasks_json(progress, encode_task);
    }
    return value;
}

} // namespace

std::string encode_submission(const job_submission& submission)
{
    json steps = json::array();
    for (const job_step& step : submission.m_steps)
    {
        steps.push_back(encode_step(step));
    }
    return json{{"id", submission.m_id},
                {"account", submission.m_account},
                {"queue", submission.m_queue},
                {"policy", encode_policy(submission.m_policy)},
                {"spec", submission.m_spec},
                {"steps", steps},
                {"repeats", submission.m_repeats},
                {"first_due_ms", submission.m_first_due.count()},
                {"interval_ms", submission.m_interval.count()},
                {"accepted_at_ms", submission.m_accepted_at.count()}}
        .dump();
}

std::optional<job_submission> decode_submission(const std::string& text)
{
    try
    {
        const json value = json::parse(text);
        job_submission submission;
        submission.m_id = value.at("id");
        submission.m_account = value.at("account");
        submission.m_queue = value.at("queue");
        submission.m_policy = decode_policy(value.at("policy"));
        submission.m_spec = value.at("spec");
        for (const json& step : value.at("steps"))
        {
            submission.m_steps.push_back(decode_step(step));
        }
        submission.m_repeats = value.at("repeats");
        submission.m_first_due =
            instant(value.at("first_due_ms").get<std::int64_t>());
        submission.m_interval =
            span(value.at("interval_ms").get<std::int64_t>());
        submission.m_accepted_at =
            instant(value.at("accepted_at_ms").get<std::int64_t>());
        if (!has_valid_size(submission))
        {
            return std::nullopt;
        }
        return submission;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::string encode_progress(const job_progress& progress)
{
    return progress_json(progress).dump();
}

std::string encode_progress_compactly(const job_progress& progress)
{
    json value = state_json(progress);
    worker_list workers;
    value["tasks"] = tasks_json(progress, [&workers](const task_progress& task)
                                { return encode_compact_task(task, workers); });
    value[workers_field] = workers.encoded();
    return value.dump();
}

std::string encode_ended_progress(const job_progress& progress,
                                  instant ended_at)
{
    json value = progress_json(progress);
    value[end_time_field] = ended_at.count();
    return value.dump();
}

std::optional<instant> decode_end_time(const std::string& text)
{
    return decode_time(text, end_time_field);
}

std::string encode_cancellation()
{
    return "{}";
}

std::string encode_cancellation_of_absent_job(instant cancelled_at)
{
    return json{{absence_time_field, cancelled_at.count()}}.dump();
}

std::optional<instant> decode_absence_time(const std::string& text)
{
    return decode_time(text, absence_time_field);
}

std::optional<job_progress> decode_progress(const std::string& text)
{
    try
    {
        const json value = json::parse(text);
        job_progress progress;
        const std::optional<job_state> state =
            job_state_from_string(value.at("state").get<std::string>());
        if (!state)
        {
            return std::nullopt;
        }
        progress.m_state = *state;
        progress.m_account = value.at("account");
        if (is_final(progress.m_state))
        {
            return progress;
        }
        const auto workers = value.find(workers_field);
        const auto decode = [&](const json& task)
        {
            return workers == value.end() ? decode_task(task)
                                          : decode_compact_task(task, *workers);
        };
        for (const json& repeat : items(value.at("tasks")))
        {
            auto& steps = progress.m_tasks.emplace_back();
            for (const json& step : items(repeat))
            {
                auto& tasks = steps.emplace_back();
                for (const json& task : items(step))
                {
                    const std::optional<task_progress> decoded = decode(task);
                    if (!decoded)
                    {
                        return std::nullopt;
                    }
                    tasks.push_back(*decoded);
                }
            }
        }
        return progress;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

std::string encode_summary(const queue_summary& summary)
{
    return json{{"waiting", summary.m_waiting},
                {"written_at_ms", summary.m_written_at.count()}}
        .dump();
}

std::optional<queue_summary> decode_summary(const std::string& text)
{
    try
    {
        const json value = json::parse(text);
        queue_summary summary;
        summary.m_waiting =
            value.at("waiting").get<std::map<std::string, int>>();
        summary.m_written_at =
            instant(value.at("written_at_ms").get<std::int64_t>());
        return summary;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace kingcuprudder::dispatch
