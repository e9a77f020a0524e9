#ifndef KINGCUPRUDDER_STREAM_SERVER_LINK_HPP
#define KINGCUPRUDDER_STREAM_SERVER_LINK_HPP

#include <kingcuprudder/stream/http2_link.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace kingcuprudder
{

/// The server side of a connection, with the calls in progress on it.
class server_link : public http2_link
{
public:
    /// Called for each call that was received completely.
    using call_handler = std::function<void(
        std::int32_t stream, const std::string& method, std::string body)>;

    server_link(socket_handle socket, call_handler handle);

    /// Sends the response to a call; ignored if its stream is closed.
    void answer(std::int32_t stream, int status, std::string body);

    /// Announces to the peer that no further calls are accepted.
    void refuse_new_calls();

    bool idle() const { return m_streams.empty(); }

private:
    struct call_stream
    {
        std::string m_path;
        std::string m_method_name;
        std::string m_body;
        std::string m_answer;
        std::size_t m_answer_sent = 0;
        bool m_answered = false;
    };
    friend struct answer_reader;

    void on_header(std::int32_t stream, const std::string& name,
                   const std::string& value) override;
    void on_data(std::int32_t stream, const std::uint8_t* data,
                 std::size_t size) override;
    void on_end_of_input(std::int32_t stream) override;
    void on_stream_closed(std::int32_t stream, std::uint32_t code) override;
    void on_request_sent(std::int32_t stream) override;
    void on_request_not_sent(std::int32_t stream) override;

    std::map<std::int32_t, call_stream> m_streams;
    call_handler m_handle;
};

} // namespace kingcuprudder

#endif
