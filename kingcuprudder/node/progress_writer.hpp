#ifndef KINGCUPRUDDER_NODE_PROGRESS_WRITER_HPP
#define KINGCUPRUDDER_NODE_PROGRESS_WRITER_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/record_batches.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::node
{

/// Makes the transactions that store the progress of the dispatcher's jobs, and
/// applies their outcomes to the dispatcher. One is in flight at a time. Makes
/// no calls.
class progress_writer
{
public:
    /// A job whose end is stored, and the revision of its record.
    struct ended_job
    {
        std::string m_job;
        std::int64_t m_revision = 0;
    };

    progress_writer(dispatch::dispatcher& dispatcher, event_log& log)
        : m_dispatcher(dispatcher), m_log(log)
    {
    }

    /// Returns the next transaction, or nothing if there is none to send now.
    /// Its time in the ended jobs is wall_now.
    std::optional<store_transaction> begin(instant now, instant wall_now);
    /// Notes that the transaction was not sent.
    void withdraw();
    /// Applies the outcome of the transaction. Returns the jobs whose end the
    /// store has now.
    std::vector<ended_job> finish(const store_result<commit_answer>& outcome,
                                  instant now);

private:
    struct sent_record
    {
        dispatch::job_write m_write;
        std::size_t m_bytes = 0;
    };

    /// Adds the record to the transaction unless it must be written later.
    void add_record(store_transaction& transaction, dispatch::job_write write,
                    instant now, instant wall_now);
    std::vector<ended_job> apply_stored(const std::vector<sent_record>& sent,
                                        std::int64_t revision);
    void resolve_conflict(const std::vector<sent_record>& sent,
                          const store_conflict& conflict, instant now);
    void handle_failure(const std::vector<sent_record>& sent,
                        store_failure reason, instant now);
    void write_again(const std::vector<sent_record>& sent);
    /// Keeps the record from being written with others. Its job gets no new
    /// runs until the store has it.
    void set_aside(const set_aside_record& record, const std::string& reason,
                   std::size_t bytes, instant now);
    void set_aside_sent(const std::vector<set_aside_record>& records,
                        const std::vector<sent_record>& sent,
                        const std::string& reason, instant now);

    dispatch::dispatcher& m_dispatcher;
    event_log& m_log;
    record_batches m_batches;
    std::vector<sent_record> m_sent;
    std::size_t m_sent_bytes = 0;
    /// No transaction is made before.
    instant m_next_at;
};

} // namespace kingcuprudder::node

#endif
