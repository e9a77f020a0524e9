#include <kingcuprudder/stream/client_link.hpp>

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <poll.h>

namespace kingcuprudder
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_too_large = 413;

// nghttp2 takes non-const header names and values but does not modify them.
nghttp2_nv header(const char* name, const std::string& value)
{
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// The nghttp2 data source for the body of a request.
struct request_body_reader
{
    static ssize_t read(nghttp2_session*, std::int32_t, std::uint8_t* buffer,
                        std::size_t size, std::uint32_t* flags,
                        nghttp2_data_source* source, void*)
    {
        auto& body = *static_cast<client_link::request_body*>(source->ptr);
        const std::size_t count =
            std::min(size, body.m_bytes.size() - body.m_sent);
        std::copy_n(body.m_bytes.data() + body.m_sent, count, buffer);
        body.m_sent += count;
        if (body.m_sent == body.m_bytes.size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

error call_error(const outgoing_call& call, error_code code,
                 const std::string& message)
{
    return {code, message,
            call.m_sent ? verdict::may_have_run : verdict::not_run};
}

client_link::client_link(const std::string& address,
                         std::int64_t connect_deadline)
    : http2_link(begin_connect(address), side::client),
      m_connect_deadline(connect_deadline)
{
}

void client_link::start(std::unique_ptr<outgoing_call> call)
{
    const std::string path = "/rpc/" + call->m_method;
    const std::string authority = call->m_address;
    const std::string post = "POST";
    const std::string scheme = "http";
    const std::array<nghttp2_nv, 4> headers = {
        header(":method", post), header(":scheme", scheme),
        header(":authority", authority), header(":path", path)};
    auto content = std::make_unique<request_body>();
    content->m_bytes = std::move(call->m_body);
    nghttp2_data_provider body{};
    body.source.ptr = content.get();
    body.read_callback = request_body_reader::read;
    const std::int32_t stream = nghttp2_submit_request(
        session(), nullptr, headers.data(), headers.size(), &body, nullptr);
    if (stream < 0)
    {
        // The stream ids of the connection are exhausted, so it is replaced.
        m_failed = true;
        error refusal = call_error(*call, error_code::connection_lost,
                                   nghttp2_strerror(stream));
        m_finished.push_back({std::move(call), std::move(refusal)});
        return;
    }
    m_bodies[stream] = std::move(content);
    m_calls[stream] = std::move(call);
}

short client_link::poll_events() const
{
    return m_connecting ? short{POLLOUT} : wanted_events();
}

void client_link::handle_poll(short events)
{
    if (m_connecting)
    {
        if (events == 0)
        {
            return;
        }
        m_connecting = false;
        if (!connect_succeeded(socket()))
        {
            m_failed = true;
            return;
        }
    }
    handle_events(events);
}

std::int64_t client_link::check_deadlines(std::int64_t now)
{
    std::int64_t next = INT64_MAX;
    std::vector<std::int32_t> expired;
    for (const auto& [stream, call] : m_calls)
    {
        if (call->m_deadline <= now)
        {
            expired.push_back(stream);
        }
        else
        {
            next = std::min(next, call->m_deadline);
        }
    }
    for (const std::int32_t stream : expired)
    {
        fail(stream, error_code::deadline_exceeded, "the call timed out");
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream,
                                  NGHTTP2_CANCEL);
    }
    if (m_connecting)
    {
        m_failed = m_failed || now >= m_connect_deadline;
        return std::min(next, m_connect_deadline);
    }
    if (!expired.empty())
    {
        flush();
    }
    return std::min(next, check_pings(now, !m_calls.empty()));
}

void client_link::fail_all(const std::string& reason)
{
    while (!m_calls.empty())
    {
        fail(m_calls.begin()->first, error_code::connection_lost, reason);
    }
}

std::vector<finished_call> client_link::take_finished()
{
    return std::exchange(m_finished, {});
}

void client_link::on_header(std::int32_t stream, const std::string& name,
                            const std::string& value)
{
    const auto found = m_calls.find(stream);
    if (found != m_calls.end() && name == ":status")
    {
        std::from_chars(value.data(), value.data() + value.size(),
                        found->second->m_status);
    }
}

void client_link::on_data(std::int32_t stream, const std::uint8_t* data,
                          std::size_t size)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
    {
        return;
    }
    std::string& answer = found->second->m_answer;
    if (answer.size() + size > max_answer_bytes)
    {
        fail(stream, error_code::too_large, "the response is too large");
        nghttp2_submit_rst_stream(session(), NGHTTP2_FLAG_NONE, stream,
                                  NGHTTP2_CANCEL);
        return;
    }
    answer.append(reinterpret_cast<const char*>(data), size);
}

void client_link::on_end_of_input(std::int32_t stream)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
    {
        return;
    }
    outgoing_call& call = *found->second;
    if (call.m_status == status_ok)
    {
        finish(stream, std::move(call.m_answer));
        return;
    }
    // The server responds with an error status only before it handles the call.
    const bool too_large = call.m_status == status_too_large;
    finish(stream,
           error{too_large ? error_code::too_large : error_code::internal,
                 "status " + std::to_string(call.m_status) + " from " +
                     call.m_address,
                 verdict::not_run});
}

void client_link::on_stream_closed(std::int32_t stream, std::uint32_t code)
{
    m_bodies.erase(stream);
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
    {
        return;
    }
    // This error code guarantees that the peer has not handled the call.
    if (code == NGHTTP2_REFUSED_STREAM)
    {
        found->second->m_sent = false;
    }
    fail(stream, error_code::connection_lost, "the call was reset");
}

void client_link::on_request_sent(std::int32_t stream)
{
    const auto found = m_calls.find(stream);
    if (found != m_calls.end())
    {
        found->second->m_sent = true;
    }
}

void client_link::on_request_not_sent(std::int32_t stream)
{
    m_bodies.erase(stream);
    fail(stream, error_code::connection_lost, "the call could not be sent");
}

void client_link::finish(std::int32_t stream, result<std::string> outcome)
{
    const auto found = m_calls.find(stream);
    if (found == m_calls.end())
    {
        return;
    }
    std::unique_ptr<outgoing_call> call = std::move(found->second);
    m_calls.erase(found);
    m_finished.push_back({std::move(call), std::move(outcome)});
}

void client_link::fail(std::int32_t stream, error_code code,
                       const std::string& message)
{
    const auto found = m_calls.find(stream);
    if (found != m_calls.end())
    {
        finish(stream, call_error(*found->second, code, message));
    }
}

} // namespace kingcuprudder
