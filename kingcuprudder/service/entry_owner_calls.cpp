#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/request/backoff.hpp>
#include <kingcuprudder/request/owner_retry.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_owner_calls.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr span initial_retry_delay = span(20);
constexpr span max_retry_delay = span::seconds(1);

/// Returns whether a text has the form "ip:port".
bool is_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    return colon != std::string::npos && colon > 0 && colon + 1 < text.size() &&
           text.find_first_not_of("0123456789", colon + 1) ==
               std::string::npos &&
           text.find(' ') == std::string::npos;
}

result<caller_reply> check_answer(call_number call,
                                  const result<std::string>& body)
{
    if (!succeeded(body))
    {
        return error_of(body);
    }
    const result<caller_answer> answer =
        from_cbor<caller_answer>(value_of(body));
    if (!succeeded(answer))
    {
        return error{error_code::connection_lost,
                     "malformed response from the owner: " +
                         error_of(answer).m_message,
                     verdict::may_have_run};
    }
    if (value_of(answer).m_call != call)
    {
        return error{error_code::connection_lost,
                     "the response belongs to another call",
                     verdict::may_have_run};
    }
    return value_of(answer).m_reply;
}

} // namespace

entry_owner_calls::entry_owner_calls(transport send, std::uint64_t seed)
    : m_send(std::move(send)), m_next_seed(seed)
{
}

entry_owner_calls::~entry_owner_calls()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_in_progress == 0; });
}

void entry_owner_calls::finish_call()
{
    // Notifies with the lock held, because the destructor may run as soon as it
    // is released.
    std::lock_guard lock(m_mutex);
    --m_in_progress;
    m_changed.notify_all();
}

void entry_owner_calls::on_owner(std::optional<owner_record> owner)
{
    {
        std::lock_guard lock(m_mutex);
        m_owner = owner ? owner->m_address : std::string();
        ++m_owner_changes;
    }
    m_changed.notify_all();
}

std::string entry_owner_calls::owner_address() const
{
    std::lock_guard lock(m_mutex);
    return m_owner;
}

void entry_owner_calls::call_once(const call_content& content, span timeout,
                                  completion done)
{
    const std::string address = owner_address();
    if (address.empty())
    {
        done(error{error_code::owner_unavailable,
                   "the region currently has no owner", verdict::not_run});
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        ++m_in_progress;
    }
    const call_number call = ++m_last_call;
    m_send(address, to_cbor(caller_call{call, content}), timeout,
           [this, call, address,
            done = std::move(done)](const result<std::string>& body)
           {
               result<caller_reply> reply = check_answer(call, body);
               if (!succeeded(reply))
               {
                   adopt_owner(error_of(reply), address);
               }
               done(std::move(reply));
               finish_call();
           });
}

result<caller_reply> entry_owner_calls::call_once(const call_content& content,
                                                  span timeout)
{
    auto answer = std::make_shared<std::promise<result<caller_reply>>>();
    std::future<result<caller_reply>> received = answer->get_future();
    call_once(content, timeout,
              [answer](result<caller_reply> reply)
              { answer->set_value(std::move(reply)); });
    return received.get();
}

result<caller_reply> entry_owner_calls::call_until(const call_content& content,
                                                   instant deadline)
{
    backoff delays(initial_retry_delay, max_retry_delay, ++m_next_seed);
    bool reached = false;
    while (true)
    {
        const instant now = system_now();
        const span left = std::max(deadline - now, span(1));
        result<caller_reply> reply = call_once(content, left);
        if (succeeded(reply) || !is_retryable(error_of(reply).m_code))
        {
            return reply;
        }
        reached |= error_of(reply).m_verdict != verdict::not_run;
        const instant next = system_now() + delays.next();
        bool stopped = false;
        {
            std::lock_guard lock(m_mutex);
            stopped = m_stopped;
        }
        if (next >= deadline || stopped)
        {
            return reached ? error{error_code::deadline_exceeded,
                                   "no response from the region's owner by the "
                                   "deadline",
                                   verdict::may_have_run}
                           : error{error_code::owner_unavailable,
                                   "the region's owner cannot be reached: " +
                                       error_of(reply).m_message,
                                   verdict::not_run};
        }
        wait_for_owner_change(next);
    }
}

void entry_owner_calls::wait_for_owner_change(instant until)
{
    std::unique_lock lock(m_mutex);
    const std::uint64_t seen = m_owner_changes;
    const span left = until - system_now();
    if (left > span(0))
    {
        m_changed.wait_for(lock, std::chrono::milliseconds(left.count()),
                           [&]
                           { return m_stopped || m_owner_changes != seen; });
    }
}

void entry_owner_calls::stop()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
}

void entry_owner_calls::adopt_owner(const error& refusal,
                                    const std::string& asked)
{
    if (refusal.m_code != error_code::not_owner ||
        !is_address(refusal.m_message))
    {
        return;
    }
    {
        std::lock_guard lock(m_mutex);
        // The watch may have reported a newer owner in the meantime.
        if (m_owner != asked)
        {
            return;
        }
        m_owner = refusal.m_message;
        ++m_owner_changes;
    }
    m_changed.notify_all();
}

} // namespace kingcuprudder
