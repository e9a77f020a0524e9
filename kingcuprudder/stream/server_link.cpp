#include <kingcuprudder/stream/server_link.hpp>

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <string_view>

namespace kingcuprudder
{

namespace
{

constexpr std::string_view path_prefix = "/rpc/";
constexpr int status_not_found = 404;
constexpr int status_too_large = 413;

} // namespace

/// The nghttp2 data source for the body of a response.
struct answer_reader
{
    static ssize_t read(nghttp2_session*, std::int32_t, std::uint8_t* buffer,
                        std::size_t size, std::uint32_t* flags,
                        nghttp2_data_source* source, void*)
    {
        auto& call = *static_cast<server_link::call_stream*>(source->ptr);
        const std::size_t count =
            std::min(size, call.m_answer.size() - call.m_answer_sent);
        std::copy_n(call.m_answer.data() + call.m_answer_sent, count, buffer);
        call.m_answer_sent += count;
        if (call.m_answer_sent == call.m_answer.size())
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(count);
    }
};

server_link::server_link(socket_handle socket, call_handler handle)
    : http2_link(std::move(socket), side::server), m_handle(std::move(handle))
{
}

void server_link::answer(std::int32_t stream, int status, std::string body)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.m_answered)
    {
        return;
    }
    call_stream& call = found->second;
    call.m_answered = true;
    call.m_answer = std::move(body);
    const std::string text = std::to_string(status);
    const std::string_view name = ":status";
    // nghttp2 takes non-const header names and values but does not modify them.
    const nghttp2_nv header = {
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data())),
        name.size(), text.size(), NGHTTP2_NV_FLAG_NONE};
    nghttp2_data_provider content{};
    content.source.ptr = &call;
    content.read_callback = answer_reader::read;
    nghttp2_submit_response(session(), stream, &header, 1, &content);
}

void server_link::refuse_new_calls()
{
    nghttp2_submit_goaway(session(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(session()),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    flush();
}

void server_link::on_header(std::int32_t stream, const std::string& name,
                            const std::string& value)
{
    call_stream& call = m_streams[stream];
    if (name == ":path")
    {
        call.m_path = value;
    }
    else if (name == ":method")
    {
        call.m_method_name = value;
    }
}

void server_link::on_data(std::int32_t stream, const std::uint8_t* data,
                          std::size_t size)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.m_answered)
    {
        return;
    }
    std::string& body = found->second.m_body;
    if (body.size() + size > max_call_bytes)
    {
        body = std::string();
        answer(stream, status_too_large, "");
        return;
    }
    body.append(reinterpret_cast<const char*>(data), size);
}

void server_link::on_end_of_input(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.m_answered)
    {
        return;
    }
    call_stream& call = found->second;
    if (call.m_method_name != "POST" || !call.m_path.starts_with(path_prefix))
    {
        answer(stream, status_not_found, "");
        return;
    }
    m_handle(stream, call.m_path.substr(path_prefix.size()),
             std::move(call.m_body));
}

void server_link::on_stream_closed(std::int32_t stream, std::uint32_t)
{
    m_streams.erase(stream);
}

void server_link::on_request_sent(std::int32_t) {}

void server_link::on_request_not_sent(std::int32_t) {}

} // namespace kingcuprudder
