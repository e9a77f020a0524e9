#ifndef KINGCUPRUDDER_CODEC_FIELDS_HPP
#define KINGCUPRUDDER_CODEC_FIELDS_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <array>
#include <tuple>

namespace kingcuprudder
{

/// A member of a value type and its name on the wire.
template <class Class, class Member>
struct field
{
    const char* m_name;
    Member Class::*m_member;
};

template <class Class, class Member>
field(const char*, Member Class::*) -> field<Class, Member>;

/// The wire format of a value type: `name` identifies the type within a
/// variant, `fields` lists its members and their names. Specialized for each
/// encoded type.
template <class T>
struct wire;

/// The values of an enum that is encoded by its name.
template <class T>
struct enum_values;

#define KCR_WIRE(type, ...)                                                    \
    template <>                                                                \
    struct wire<type>                                                          \
    {                                                                          \
        static constexpr const char* name = #type;                             \
        static constexpr auto fields = std::make_tuple(__VA_ARGS__);           \
    }

#define KCR_ENUM(type, ...)                                                    \
    template <>                                                                \
    struct enum_values<type>                                                   \
    {                                                                          \
        static constexpr auto values = std::to_array<type>({__VA_ARGS__});     \
    }

KCR_ENUM(proximity, proximity::worker, proximity::rack, proximity::zone,
         proximity::region);
KCR_ENUM(verdict, verdict::not_run, verdict::may_have_run, verdict::ran);
KCR_ENUM(stop_reason, stop_reason::cancelled, stop_reason::reclaimed,
         stop_reason::prepare_failed, stop_reason::gang_incomplete,
         stop_reason::task_failed, stop_reason::deadline_passed);
KCR_ENUM(job_outcome, job_outcome::succeeded, job_outcome::failed,
         job_outcome::cancelled, job_outcome::deadline_passed);
KCR_ENUM(job_phase, job_phase::queued, job_phase::placed, job_phase::running,
         job_phase::stopping, job_phase::ended);
KCR_ENUM(task_state, task_state::prepared, task_state::running,
         task_state::succeeded, task_state::failed, task_state::stopped);
KCR_ENUM(error_code, error_code::malformed, error_code::unknown_account,
         error_code::unknown_job_class, error_code::unknown_service,
         error_code::unknown_job, error_code::id_conflict,
         error_code::too_large, error_code::never_fits,
         error_code::limit_reached, error_code::store_unavailable,
         error_code::owner_unavailable, error_code::not_owner,
         error_code::deadline_exceeded, error_code::target_unavailable,
         error_code::revision_conflict, error_code::invalid_settings,
         error_code::cancelled, error_code::failed, error_code::stale_epoch,
         error_code::connection_lost, error_code::internal);

KCR_WIRE(ok);
KCR_WIRE(error, field{"code", &error::m_code},
         field{"message", &error::m_message},
         field{"verdict", &error::m_verdict});
KCR_WIRE(shape, field{"tasks", &shape::m_tasks},
         field{"accelerators_per_task", &shape::m_accelerators_per_task},
         field{"cores_per_task", &shape::m_cores_per_task},
         field{"memory_mb_per_task", &shape::m_memory_mb_per_task},
         field{"proximity", &shape::m_proximity});
KCR_WIRE(worker, field{"id", &worker::m_id}, field{"zone", &worker::m_zone},
         field{"rack", &worker::m_rack},
         field{"accelerators", &worker::m_accelerators},
         field{"cores", &worker::m_cores},
         field{"memory_mb", &worker::m_memory_mb},
         field{"address", &worker::m_address});
KCR_WIRE(allocation, field{"worker", &allocation::m_worker},
         field{"tasks", &allocation::m_tasks},
         field{"accelerators", &allocation::m_accelerators});
KCR_WIRE(job_key, field{"account", &job_key::m_account},
         field{"id", &job_key::m_job});
KCR_WIRE(job_spec, field{"key", &job_spec::m_key},
         field{"class", &job_spec::m_class}, field{"shape", &job_spec::m_shape},
         field{"declared_run_time_ms", &job_spec::m_declared_run_time},
         field{"deadline", &job_spec::m_deadline},
         field{"urgent", &job_spec::m_urgent},
         field{"idempotent", &job_spec::m_idempotent},
         field{"preemptible", &job_spec::m_preemptible},
         field{"payload", &job_spec::m_payload});
KCR_WIRE(request_key, field{"account", &request_key::m_account},
         field{"id", &request_key::m_request});
KCR_WIRE(attempt_key, field{"job", &attempt_key::m_job},
         field{"attempt", &attempt_key::m_attempt});

KCR_WIRE(epoch_started, field{"epoch", &epoch_started::m_epoch},
         field{"owner", &epoch_started::m_owner},
         field{"at", &epoch_started::m_at});
KCR_WIRE(job_accepted, field{"spec", &job_accepted::m_spec},
         field{"at", &job_accepted::m_at});
KCR_WIRE(job_placed, field{"job", &job_placed::m_job},
         field{"attempt", &job_placed::m_attempt},
         field{"placement", &job_placed::m_placement},
         field{"at", &job_placed::m_at});
KCR_WIRE(job_started, field{"job", &job_started::m_job},
         field{"attempt", &job_started::m_attempt},
         field{"at", &job_started::m_at});
KCR_WIRE(job_stopping, field{"job", &job_stopping::m_job},
         field{"attempt", &job_stopping::m_attempt},
         field{"reason", &job_stopping::m_reason},
         field{"at", &job_stopping::m_at});
KCR_WIRE(job_released, field{"job", &job_released::m_job},
         field{"attempt", &job_released::m_attempt},
         field{"reason", &job_released::m_reason},
         field{"verdict", &job_released::m_verdict},
         field{"saved_run_time_ms", &job_released::m_saved_run_time},
         field{"at", &job_released::m_at},
         field{"failed_workers", &job_released::m_failed_workers});
KCR_WIRE(job_ended, field{"job", &job_ended::m_job},
         field{"attempt", &job_ended::m_attempt},
         field{"outcome", &job_ended::m_outcome},
         field{"verdict", &job_ended::m_verdict},
         field{"answer", &job_ended::m_answer}, field{"at", &job_ended::m_at});
KCR_WIRE(request_permitted, field{"request", &request_permitted::m_request},
         field{"content_hash", &request_permitted::m_content_hash},
         field{"holder", &request_permitted::m_holder},
         field{"deadline", &request_permitted::m_deadline},
         field{"at", &request_permitted::m_at});
KCR_WIRE(request_ended, field{"request", &request_ended::m_request},
         field{"verdict", &request_ended::m_verdict},
         field{"answer", &request_ended::m_answer},
         field{"at", &request_ended::m_at});
KCR_WIRE(worker_set_aside, field{"worker", &worker_set_aside::m_worker},
         field{"until", &worker_set_aside::m_until});
KCR_WIRE(worker_restored, field{"worker", &worker_restored::m_worker});
KCR_WIRE(log_entry, field{"sequence", &log_entry::m_sequence},
         field{"epoch", &log_entry::m_epoch},
         field{"batch_id", &log_entry::m_batch_id},
         field{"records", &log_entry::m_records});

KCR_WIRE(task_report, field{"attempt", &task_report::m_attempt},
         field{"state", &task_report::m_state},
         field{"accelerators", &task_report::m_accelerators},
         field{"saved_run_time_ms", &task_report::m_saved_run_time},
         field{"answer", &task_report::m_answer});
KCR_WIRE(worker_report, field{"worker", &worker_report::m_worker},
         field{"boot_id", &worker_report::m_boot},
         field{"epoch", &worker_report::m_epoch},
         field{"tasks", &worker_report::m_tasks});
KCR_WIRE(worker_claim,
         field{"interval_ms", &worker_claim::m_heartbeat_interval},
         field{"task_lease_ms", &worker_claim::m_task_lease});
KCR_WIRE(worker_prepare, field{"attempt", &worker_prepare::m_attempt},
         field{"tasks", &worker_prepare::m_tasks},
         field{"accelerators", &worker_prepare::m_accelerators},
         field{"saved_run_time_ms", &worker_prepare::m_saved_run_time},
         field{"payload", &worker_prepare::m_payload});
KCR_WIRE(worker_start, field{"attempt", &worker_start::m_attempt});
KCR_WIRE(worker_stop, field{"attempt", &worker_stop::m_attempt},
         field{"grace_ms", &worker_stop::m_grace});

KCR_WIRE(submit_job, field{"spec", &submit_job::m_spec});
KCR_WIRE(query_job, field{"job", &query_job::m_job},
         field{"until_end", &query_job::m_until_end},
         field{"deadline", &query_job::m_deadline});
KCR_WIRE(list_jobs, field{"account", &list_jobs::m_account});
KCR_WIRE(cancel_job, field{"job", &cancel_job::m_job});
KCR_WIRE(explain_job, field{"job", &explain_job::m_job});
KCR_WIRE(request_permit, field{"request", &request_permit::m_request},
         field{"content_hash", &request_permit::m_content_hash},
         field{"holder", &request_permit::m_holder},
         field{"deadline", &request_permit::m_deadline});
KCR_WIRE(end_request, field{"request", &end_request::m_request},
         field{"holder", &end_request::m_holder},
         field{"verdict", &end_request::m_verdict},
         field{"answer", &end_request::m_answer});
KCR_WIRE(caller_call, field{"call", &caller_call::m_call},
         field{"request", &caller_call::m_request});
KCR_WIRE(job_status, field{"spec", &job_status::m_spec},
         field{"phase", &job_status::m_phase},
         field{"attempt", &job_status::m_attempt},
         field{"placement", &job_status::m_placement},
         field{"accepted_at", &job_status::m_accepted_at},
         field{"started_at", &job_status::m_started_at},
         field{"ended_at", &job_status::m_ended_at},
         field{"outcome", &job_status::m_outcome},
         field{"verdict", &job_status::m_verdict},
         field{"answer", &job_status::m_answer});
KCR_WIRE(wait_reason, field{"job", &wait_reason::m_job},
         field{"text", &wait_reason::m_text},
         field{"expected_start", &wait_reason::m_expected_start});
KCR_WIRE(permit_granted);
KCR_WIRE(permit_ended, field{"verdict", &permit_ended::m_verdict},
         field{"answer", &permit_ended::m_answer});
KCR_WIRE(caller_answer, field{"call", &caller_answer::m_call},
         field{"reply", &caller_answer::m_reply});

KCR_WIRE(owner_record, field{"instance", &owner_record::m_instance},
         field{"address", &owner_record::m_address});

#undef KCR_WIRE
#undef KCR_ENUM

} // namespace kingcuprudder

#endif
