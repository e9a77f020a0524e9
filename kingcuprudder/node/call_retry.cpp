#include <kingcuprudder/node/call_retry.hpp>
#include <kingcuprudder/node/clocks.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace kingcuprudder::node
{

namespace
{

constexpr span call_timeout = span(900);
constexpr span first_read_timeout = span(450);
// A silent store is reported while the caller has time to ask elsewhere.
constexpr span max_read_timeout = span(1300);
// A read is given up after this multiple of the time that reads take.
constexpr int patience_factor = 2;
constexpr span min_call_timeout = span(50);
// Reserved for sending the answer to the caller.
constexpr span answer_margin = span(60);
constexpr span first_pause = span(60);
constexpr span max_pause = span(480);
constexpr int max_attempts = 5;
// Attempts begin within one part in so many of the caller's time.
constexpr int retry_share = 3;
// Fewer than the threads for callers.
constexpr int max_repeated_retries = 4;

span time_left(instant deadline)
{
    return deadline - boottime_now() - answer_margin;
}

/// Returns a random time between half of this time and the whole.
span with_jitter(span time)
{
    thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> pick(time.count() / 2,
                                                     time.count());
    return span(pick(random));
}

} // namespace

bool retry_capacity::acquire()
{
    if (m_in_use.fetch_add(1) < max_repeated_retries)
    {
        return true;
    }
    release();
    return false;
}

void retry_capacity::release()
{
    m_in_use.fetch_sub(1);
}

call_retry::call_retry(instant deadline, retry_capacity& capacity,
                       const read_latency& latency)
    : m_capacity(capacity), m_latency(latency), m_deadline(deadline)
{
    const instant now = boottime_now();
    m_last_start = now + (deadline - now) / retry_share;
}

call_retry::~call_retry()
{
    if (m_holds_place)
    {
        m_capacity.release();
    }
}

span call_retry::read_timeout() const
{
    const span left = time_left(m_deadline);
    const span patient =
        std::min(max_read_timeout, m_latency.expected() * patience_factor);
    span wanted = max_read_timeout;
    if (m_attempts == 1)
    {
        wanted = patient > first_read_timeout
                     ? patient
                     : std::min(first_read_timeout, left / 2);
    }
    return std::max(min_call_timeout, std::min(wanted, left));
}

span call_retry::write_timeout() const
{
    return std::max(min_call_timeout,
                    std::min(call_timeout, time_left(m_deadline)));
}

bool call_retry::is_past_deadline() const
{
    return boottime_now() >= m_deadline;
}

bool call_retry::has_time() const
{
    return time_left(m_deadline) >= min_call_timeout;
}

bool call_retry::next(persistence wanted)
{
    const span pause = pause_length();
    if (m_given_up || time_left(m_deadline) - pause < min_call_timeout ||
        (wanted == persistence::while_useful && !is_useful_after(pause)))
    {
        return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.count()));
    ++m_attempts;
    return true;
}

bool call_retry::is_useful_after(span pause)
{
    if (m_attempts >= max_attempts || boottime_now() + pause > m_last_start)
    {
        return false;
    }
    if (m_attempts > 1 && !m_holds_place)
    {
        m_holds_place = m_capacity.acquire();
        return m_holds_place;
    }
    return true;
}

span call_retry::pause_length() const
{
    span pause = first_pause;
    for (int attempt = 1; attempt < m_attempts && pause < max_pause; ++attempt)
    {
        pause = pause * 2;
    }
    return with_jitter(std::min(pause, max_pause));
}

} // namespace kingcuprudder::node
