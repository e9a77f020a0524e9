#include <kingcuprudder/runtime/connection_filter.hpp>
#include <kingcuprudder/runtime/connection_listener.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int listen_backlog = 256;
constexpr span accept_retry = span(100);
// Connections that were begun before the listener ignores new ones are
// completed within this time, which is several round trips.
constexpr span handshake_time = span(100);

} // namespace

connection_listener::connection_listener(event_loop& loop,
                                         const std::string& address,
                                         std::size_t receive_buffer_bytes,
                                         accepted_hook on_accepted)
    : m_loop(loop), m_acceptor(loop.context()),
      m_on_accepted(std::move(on_accepted))
{
    const ip_address parsed = parse_ip_address(address);
    const tcp::endpoint where(asio::ip::make_address(parsed.m_host),
                              static_cast<unsigned short>(parsed.m_port));
    m_acceptor.open(where.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    // Accepted connections inherit it.
    error_code ignored;
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(
                              static_cast<int>(receive_buffer_bytes)),
                          ignored);
    m_acceptor.bind(where);
    m_acceptor.listen(listen_backlog);
    m_address = parsed.m_host + ":" +
                std::to_string(m_acceptor.local_endpoint().port());
}

void connection_listener::accept(const std::shared_ptr<void>& owner)
{
    m_acceptor.async_accept(
        [self = shared_from_this(), owner](const error_code& error,
                                           tcp::socket socket)
        {
            if (!error)
            {
                self->m_on_accepted(std::move(socket));
            }
            if (!self->m_acceptor.is_open())
            {
                return;
            }
            if (error)
            {
                // Most likely the descriptors are used up for the moment.
                self->accept_later(owner);
                return;
            }
            self->accept(owner);
        });
}

void connection_listener::accept_later(const std::shared_ptr<void>& owner)
{
    m_retry = m_loop.run_after(accept_retry,
                               [self = shared_from_this(), owner]
                               {
                                   if (self->m_acceptor.is_open())
                                   {
                                       self->accept(owner);
                                   }
                               });
}

bool connection_listener::accept_queued()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error || error == asio::error::connection_aborted)
    {
        tcp::socket socket(m_loop.context());
        m_acceptor.accept(socket, error);
        if (!error)
        {
            m_on_accepted(std::move(socket));
        }
    }
    return error == asio::error::would_block;
}

void connection_listener::stop_accepting()
{
    ignore_new_connections(m_acceptor.native_handle());
    m_close = m_loop.run_after(handshake_time, [self = shared_from_this()]
                               { self->close(true); });
}

void connection_listener::close(bool may_wait)
{
    if (!m_acceptor.is_open())
    {
        return;
    }
    if (!accept_queued() && may_wait)
    {
        m_close = m_loop.run_after(accept_retry, [self = shared_from_this()]
                                   { self->close(true); });
        return;
    }
    error_code ignored;
    m_acceptor.close(ignored);
}

} // namespace kingcuprudder
