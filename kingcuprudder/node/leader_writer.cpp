#include <kingcuprudder/node/leader_writer.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <chrono>
#include <optional>
#include <utility>

namespace kingcuprudder::node
{

namespace
{

constexpr std::size_t max_queued_writes = 8;
constexpr span store_timeout = span(1500);
constexpr std::chrono::milliseconds idle_wait(1000);

} // namespace

leader_writer::leader_writer(record_store& store,
                             std::shared_ptr<term> current_term)
    : m_store(store), m_term(std::move(current_term)),
      m_queue(max_queued_writes), m_thread([this] { run(); })
{
}

leader_writer::~leader_writer()
{
    join();
}

bool leader_writer::try_push(store_transaction transaction, done_hook done)
{
    return m_queue.try_push({std::move(transaction), std::move(done)});
}

void leader_writer::close()
{
    m_queue.close();
}

void leader_writer::join()
{
    m_queue.close();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void leader_writer::run()
{
    while (true)
    {
        std::optional<queued_write> next = m_queue.pop(idle_wait);
        if (!next)
        {
            if (m_queue.closed())
            {
                return;
            }
            continue;
        }
        const store_result<commit_answer> outcome =
            commit_as_leader(std::move(next->m_transaction));
        if (next->m_done)
        {
            next->m_done(outcome);
        }
    }
}

store_result<commit_answer>
leader_writer::commit_as_leader(store_transaction transaction)
{
    transaction.m_expected.emplace_back(record_keys::leader, 0);
    std::int64_t& expected_fence = transaction.m_expected.back().second;
    store_result<commit_answer> outcome = store_failure::not_done;
    do
    {
        if (!m_term->is_valid())
        {
            return store_failure::not_done;
        }
        expected_fence = m_term->fence();
        outcome = m_store.commit(transaction, store_timeout);
    } while (adopt_fence(outcome));
    return outcome;
}

bool leader_writer::adopt_fence(const store_result<commit_answer>& outcome)
{
    const store_conflict* conflict = conflict_of(outcome);
    if (conflict == nullptr)
    {
        return false;
    }
    for (const record& found : conflict->m_records)
    {
        if (found.m_key == record_keys::leader &&
            found.m_value == m_term->leader_record().m_value &&
            found.m_revision > m_term->fence())
        {
            m_term->raise_fence(found.m_revision);
            return true;
        }
    }
    return false;
}

} // namespace kingcuprudder::node
