#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/connection_budget.hpp>
#include <kingcuprudder/runtime/connection_listener.hpp>
#include <kingcuprudder/runtime/heap_release.hpp>
#include <kingcuprudder/runtime/http_server.hpp>
#include <kingcuprudder/runtime/http_session.hpp>
#include <kingcuprudder/runtime/standstill_watch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// What the kernel keeps of a connection that is not read. A typical request
// fits.
constexpr std::size_t receive_buffer_bytes = std::size_t{16} * 1024;

constexpr int status_internal_error = 500;
constexpr int status_service_unavailable = 503;
constexpr int status_outcome_unknown = 504;

http_response plain_response(int status)
{
    http_response response;
    response.m_status = status;
    response.m_body = "{}";
    response.m_close = true;
    return response;
}

http_response service_unavailable(const http_request&)
{
    http_response response = plain_response(status_service_unavailable);
    response.m_headers["Retry-After"] = "1";
    response.m_close = false;
    return response;
}

http_response outcome_unknown(const http_request&)
{
    return plain_response(status_outcome_unknown);
}

} // namespace

class http_server::implementation
    : public std::enable_shared_from_this<http_server::implementation>
{
public:
    implementation(event_loop& loop, const std::string& address,
                   const http_server_limits& limits, handler handle,
                   handler overloaded, handler abandoned)
        : m_loop(loop), m_context(loop.context()),
          m_handle(std::move(handle)), m_environment{.m_loop = loop,
                                                     .m_limits = limits},
          m_budget({limits.m_max_connections, limits.m_max_held_bytes}),
          m_heap_release(loop),
          m_listener(std::make_shared<connection_listener>(
              loop, address, receive_buffer_bytes,
              [this](tcp::socket socket) { begin_session(std::move(socket)); }))
    {
        m_environment.m_overloaded =
            overloaded ? std::move(overloaded) : handler(service_unavailable);
        m_environment.m_abandoned =
            abandoned ? std::move(abandoned) : handler(outcome_unknown);
        set_session_hooks();
        if (limits.m_handler_threads > 0)
        {
            m_threads.emplace(limits.m_handler_threads);
        }
    }

    void begin()
    {
        asio::post(m_context, [self = shared_from_this()]
                   { self->m_listener->accept(self); });
    }

    void watch_standstill(std::function<void(span)> noticed)
    {
        asio::post(m_context,
                   [self = shared_from_this(), noticed = std::move(noticed)]
                   {
                       self->m_standstill = std::make_unique<standstill_watch>(
                           self->m_loop,
                           [owner = self.get(), noticed](instant last_at_work)
                           {
                               noticed(boottime_now() - last_at_work);
                               owner->note_standstill(last_at_work);
                           });
                   });
    }

    void watch_refusals(std::function<void(connection_refusal)> refused)
    {
        asio::post(m_context,
                   [self = shared_from_this(), refused = std::move(refused)]
                   { self->m_environment.m_refused = refused; });
    }

    void set_request_limits(const http_request_limits& limits)
    {
        asio::post(m_context,
                   [self = shared_from_this(), limits]
                   {
                       http_server_limits& used = self->m_environment.m_limits;
                       used.m_max_header_bytes = limits.m_max_header_bytes;
                       used.m_max_body_bytes = limits.m_max_body_bytes;
                       used.m_header_timeout = limits.m_header_timeout;
                       used.m_idle_timeout = limits.m_idle_timeout;
                   });
    }

    std::size_t held_bytes() const { return m_held_bytes; }

    void begin_closing() { m_environment.m_closing = true; }

    void stop_accepting()
    {
        asio::post(m_context, [self = shared_from_this()]
                   { self->m_listener->stop_accepting(); });
    }

    void answer_open_requests()
    {
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       for (const auto& each : self->all_sessions())
                       {
                           each->answer_without_handler();
                       }
                   });
    }

    bool wait_for_answers(span timeout)
    {
        std::unique_lock lock(m_open_mutex);
        return m_answered.wait_for(
            lock, std::chrono::milliseconds(timeout.count()),
            [this] { return m_stopped_reading && m_open_requests == 0; });
    }

    std::size_t open_requests()
    {
        std::lock_guard lock(m_open_mutex);
        return m_open_requests;
    }

    void stop_reading()
    {
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       self->m_listener->close(false);
                       self->m_environment.m_closing = true;
                       self->m_environment.m_reading = false;
                       for (const auto& each : self->all_sessions())
                       {
                           each->end_when_idle();
                       }
                       std::lock_guard lock(self->m_open_mutex);
                       self->m_stopped_reading = true;
                       self->m_answered.notify_all();
                   });
    }

    void join_handlers()
    {
        if (m_threads)
        {
            m_threads->stop();
            m_threads->join();
        }
    }

    const std::string& address() const { return m_listener->address(); }

private:
    using connection_id = connection_budget::connection_id;

    void set_session_hooks()
    {
        m_environment.m_dispatch =
            [this](const std::shared_ptr<http_session>& session,
                   const std::shared_ptr<const http_request>& received)
        { dispatch(session, received); };
        m_environment.m_count_request = [this](bool begun)
        { count_request(begun); };
        m_environment.m_earliest_arrival = [this]
        { return m_standstill ? m_standstill->check() : boottime_now(); };
        m_environment.m_usage_changed =
            [this](const http_session& session, const connection_usage& usage)
        { note_usage(session.id(), usage); };
        m_environment.m_refused = [](connection_refusal) {};
        m_environment.m_closed = [this](const http_session& session)
        { remove(session.id()); };
    }

    void begin_session(tcp::socket socket)
    {
        if (!make_room())
        {
            m_environment.m_refused(connection_refusal::over_count);
            return; // Closes the socket.
        }
        const auto made = std::make_shared<http_session>(
            m_environment, ++m_last_id, std::move(socket));
        m_sessions.emplace(made->id(), made);
        if (m_standing_since)
        {
            made->may_be_unread_since(*m_standing_since);
        }
        made->await_request();
    }

    /// Ends connections if there are too many. Each stays open until its caller
    /// closes it, for a time and in a number that are limited. Returns whether
    /// a further connection may be served.
    bool make_room()
    {
        if (const auto replaced = m_budget.over_count())
        {
            find(*replaced)->give_way(connection_refusal::over_count);
        }
        while (m_budget.is_full())
        {
            const auto closed = m_budget.longest_unanswered();
            if (!closed)
            {
                return false;
            }
            find(*closed)->close();
        }
        return true;
    }

    void note_usage(connection_id id, const connection_usage& usage)
    {
        if (!m_sessions.contains(id))
        {
            return; // It was closed.
        }
        m_budget.update(id, usage);
        note_held_bytes();
        if (!m_drops_scheduled && m_budget.over_bytes(boottime_now()))
        {
            m_drops_scheduled = true;
            // Not from within the session that reports its usage.
            asio::post(m_context, [self = shared_from_this()]
                       { self->drop_over_bytes(); });
        }
    }

    void drop_over_bytes()
    {
        m_drops_scheduled = false;
        // A connection that is dropped counts as ending or as handled, so each
        // is chosen once at most.
        while (const auto dropped = m_budget.over_bytes(boottime_now()))
        {
            find(*dropped)->give_way(connection_refusal::over_bytes);
        }
    }

    void remove(connection_id id)
    {
        m_budget.remove(id);
        m_sessions.erase(id);
        note_held_bytes();
    }

    void note_held_bytes()
    {
        m_held_bytes = m_budget.held_bytes();
        m_heap_release.note_held(m_held_bytes);
    }

    std::shared_ptr<http_session> find(connection_id id) const
    {
        return m_sessions.at(id);
    }

    std::vector<std::shared_ptr<http_session>> all_sessions() const
    {
        std::vector<std::shared_ptr<http_session>> all;
        for (const auto& [id, session] : m_sessions)
        {
            all.push_back(session);
        }
        return all;
    }

    /// Marks all connections whose next request may have arrived since the
    /// server was last at work: those that are open, and those that the kernel
    /// has accepted. Reads that were complete before, and those connections,
    /// are handled before the end of the mark, as the loop keeps their order.
    void note_standstill(instant last_at_work)
    {
        m_standing_since = last_at_work;
        if (m_environment.m_reading && m_listener->is_open())
        {
            m_listener->accept_queued();
        }
        for (const auto& each : all_sessions())
        {
            each->may_be_unread_since(last_at_work);
        }
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       self->m_standing_since.reset();
                       for (const auto& each : self->all_sessions())
                       {
                           each->ends_standstill();
                       }
                   });
    }

    /// Counts a request that has begun to arrive, or one that is over: its
    /// response was written or its connection was closed.
    void count_request(bool begun)
    {
        std::lock_guard lock(m_open_mutex);
        begun ? ++m_open_requests : --m_open_requests;
        if (m_open_requests == 0)
        {
            m_answered.notify_all();
        }
    }

    /// Runs the handler. Its exceptions must not end a thread.
    http_response handle(const http_request& received) const
    {
        try
        {
            return m_handle(received);
        }
        catch (const std::exception& error)
        {
            m_loop.on_error()(error.what());
            return plain_response(status_internal_error);
        }
    }

    void dispatch(const std::shared_ptr<http_session>& session,
                  const std::shared_ptr<const http_request>& received)
    {
        const http_server_limits& limits = m_environment.m_limits;
        if (!m_threads)
        {
            session->send(handle(*received));
            return;
        }
        if (m_requests >= limits.m_max_requests)
        {
            session->send(m_environment.m_overloaded(*received));
            return;
        }
        ++m_requests;
        const auto pending = std::make_shared<pending_request>(received);
        const bool waits = m_requests > limits.m_handler_threads;
        session->await_response(pending,
                                waits ? limits.m_max_thread_wait : span(0));
        asio::post(*m_threads, [self = shared_from_this(), session, pending]
                   { self->run_handler(session, pending); });
    }

    /// Handles the request on a handler thread unless it was refused.
    void run_handler(const std::shared_ptr<http_session>& session,
                     const std::shared_ptr<pending_request>& pending)
    {
        std::shared_ptr<http_response> response;
        if (!pending->m_begun.exchange(true))
        {
            response =
                std::make_shared<http_response>(handle(*pending->m_received));
        }
        asio::post(m_context,
                   [self = shared_from_this(), session, pending, response]
                   {
                       --self->m_requests;
                       if (response)
                       {
                           session->answer(*pending, std::move(*response));
                       }
                   });
    }

    event_loop& m_loop;
    asio::io_context& m_context;
    handler m_handle;
    std::mutex m_open_mutex;
    std::condition_variable m_answered;
    std::size_t m_open_requests = 0;
    bool m_stopped_reading = false;
    std::atomic<std::size_t> m_held_bytes = 0;
    // The members below are used on the event loop's thread only.
    http_session_environment m_environment;
    connection_budget m_budget;
    heap_release m_heap_release;
    std::shared_ptr<connection_listener> m_listener;
    std::unique_ptr<standstill_watch> m_standstill;
    /// Set from the notice of a standstill until what arrived before is known.
    std::optional<instant> m_standing_since;
    std::size_t m_requests = 0;
    connection_id m_last_id = 0;
    std::map<connection_id, std::shared_ptr<http_session>> m_sessions;
    bool m_drops_scheduled = false;
    std::optional<asio::thread_pool> m_threads;
};

http_server::http_server(event_loop& loop, const std::string& address,
                         const http_server_limits& limits, handler handle,
                         handler overloaded, handler abandoned)
    : m_implementation(std::make_shared<implementation>(
          loop, address, limits, std::move(handle), std::move(overloaded),
          std::move(abandoned)))
{
    m_implementation->begin();
}

http_server::~http_server()
{
    m_implementation->join_handlers();
}

const std::string& http_server::address() const
{
    return m_implementation->address();
}

void http_server::answer_open_requests()
{
    m_implementation->answer_open_requests();
}

bool http_server::wait_for_answers(span timeout)
{
    return m_implementation->wait_for_answers(timeout);
}

std::size_t http_server::open_requests() const
{
    return m_implementation->open_requests();
}

void http_server::watch_standstill(std::function<void(span length)> noticed)
{
    m_implementation->watch_standstill(std::move(noticed));
}

void http_server::watch_refusals(
    std::function<void(connection_refusal)> refused)
{
    m_implementation->watch_refusals(std::move(refused));
}

void http_server::set_request_limits(const http_request_limits& limits)
{
    m_implementation->set_request_limits(limits);
}

std::size_t http_server::held_bytes() const
{
    return m_implementation->held_bytes();
}

void http_server::begin_closing()
{
    m_implementation->begin_closing();
}

void http_server::stop_accepting()
{
    m_implementation->stop_accepting();
}

void http_server::stop_reading()
{
    m_implementation->stop_reading();
}

} // namespace kingcuprudder
