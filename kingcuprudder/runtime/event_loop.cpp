#include <kingcuprudder/runtime/event_loop.hpp>

// <boost/asio> of this version uses std::exchange without including <utility>.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <thread>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr int threads_of_loop = 1;

} // namespace

class event_loop::timer::implementation
{
public:
    explicit implementation(boost::asio::io_context& context) : m_timer(context)
    {
    }

    ~implementation() { *m_cancelled = true; }

    boost::asio::steady_timer m_timer;
    /// Outlives the timer in its callback: one that has expired may already
    /// wait for its turn and is not cancelled by the timer's destructor.
    std::shared_ptr<bool> m_cancelled = std::make_shared<bool>(false);
};

event_loop::timer::timer() = default;
event_loop::timer::~timer() = default;
event_loop::timer::timer(timer&&) noexcept = default;
event_loop::timer& event_loop::timer::operator=(timer&&) noexcept = default;

class event_loop::implementation
{
public:
    explicit implementation(error_hook on_error)
        : m_on_error(std::move(on_error)), m_context(threads_of_loop),
          m_work(boost::asio::make_work_guard(m_context)),
          m_thread([this] { run(); })
    {
    }

    ~implementation() { stop(); }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

    error_hook m_on_error;
    boost::asio::io_context m_context;

private:
    void run()
    {
        while (!m_context.stopped())
        {
            try
            {
                m_context.run();
            }
            catch (const std::exception& error)
            {
                m_on_error(error.what());
            }
        }
    }

    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_work;
    std::thread m_thread;
};

event_loop::event_loop(error_hook on_error)
    : m_implementation(std::make_unique<implementation>(std::move(on_error)))
{
}

event_loop::~event_loop() = default;

void event_loop::post(callback call)
{
    boost::asio::post(m_implementation->m_context, std::move(call));
}

event_loop::timer event_loop::run_after(span delay, callback call)
{
    timer made;
    made.m_implementation =
        std::make_unique<timer::implementation>(m_implementation->m_context);
    boost::asio::steady_timer& clock = made.m_implementation->m_timer;
    clock.expires_after(std::chrono::milliseconds(delay.count()));
    clock.async_wait(
        [call = std::move(call),
         cancelled = made.m_implementation->m_cancelled](
            const boost::system::error_code& error)
        {
            if (!error && !*cancelled)
            {
                call();
            }
        });
    return made;
}

void event_loop::stop()
{
    m_implementation->stop();
}

const event_loop::error_hook& event_loop::on_error() const
{
    return m_implementation->m_on_error;
}

boost::asio::io_context& event_loop::context()
{
    return m_implementation->m_context;
}

} // namespace kingcuprudder
