#include <kingcuprudder/service/peer_calls.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr const char* call_method = "call";
constexpr const char* settings_method = "settings";
constexpr const char* offer_method = "offer_settings";
constexpr span settings_timeout = span::seconds(2);

std::string encode_settings(const live_state& live)
{
    const auto [tree, revision] = live.settings_tree();
    return encode_peer_message({revision, tree});
}

std::string encode_content(const live_state& live, std::string content)
{
    return encode_peer_message(
        {live.settings_tree().second, std::move(content)});
}

} // namespace

peer_calls::peer_calls(stream_client& client, live_state& live)
    : m_client(client), m_live(live)
{
}

void peer_calls::call(const std::string& address, const std::string& body,
                      span timeout, completion done)
{
    m_client.call(
        address, call_method, encode_content(m_live, body), timeout,
        [this, address,
         done = std::move(done)](const result<std::string>& answer)
        {
            if (!succeeded(answer))
            {
                done(error_of(answer));
                return;
            }
            result<peer_message> message =
                decode_peer_message(value_of(answer));
            if (!succeeded(message))
            {
                done(error{error_code::connection_lost,
                           error_of(message).m_message, verdict::may_have_run});
                return;
            }
            on_peer_revision(address, value_of(message).m_settings_revision);
            done(value_of(message).m_content);
        });
}

void peer_calls::on_peer_revision(const std::string& address,
                                  std::uint64_t revision)
{
    const std::uint64_t own = m_live.settings_tree().second;
    if (revision > own)
    {
        fetch_settings(address);
    }
    else if (revision < own)
    {
        send_settings(address);
    }
}

void peer_calls::fetch_settings(const std::string& address)
{
    m_client.call(address, settings_method, "", settings_timeout,
                  [this](const result<std::string>& answer)
                  {
                      if (!succeeded(answer))
                      {
                          return;
                      }
                      const auto tree = decode_peer_message(value_of(answer));
                      if (succeeded(tree))
                      {
                          m_live.offer_settings_tree(
                              value_of(tree).m_content,
                              value_of(tree).m_settings_revision);
                      }
                  });
}

void peer_calls::send_settings(const std::string& address)
{
    m_client.call(address, offer_method, encode_settings(m_live),
                  settings_timeout, [](const result<std::string>&) {});
}

peer_call_handler::peer_call_handler(live_state& live, call_handler handle)
    : m_live(live), m_handle(std::move(handle))
{
}

void peer_call_handler::operator()(
    const std::string& method, const std::string& body,
    const stream_server::responder& respond) const
{
    if (method == settings_method)
    {
        respond(encode_settings(m_live));
        return;
    }
    const auto message = decode_peer_message(body);
    if (!succeeded(message))
    {
        respond("");
        return;
    }
    if (method == offer_method)
    {
        apply_offer(value_of(message));
        respond("");
        return;
    }
    m_handle(value_of(message).m_content,
             [this, respond](const std::string& content)
             { respond(encode_content(m_live, content)); });
}

void peer_call_handler::apply_offer(const peer_message& offer) const
{
    m_live.offer_settings_tree(offer.m_content, offer.m_settings_revision);
}

} // namespace kingcuprudder
