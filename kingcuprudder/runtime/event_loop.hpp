#ifndef KINGCUPRUDDER_RUNTIME_EVENT_LOOP_HPP
#define KINGCUPRUDDER_RUNTIME_EVENT_LOOP_HPP

#include <kingcuprudder/base/time.hpp>

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
} // namespace boost::asio

namespace kingcuprudder
{

/// One thread that carries out callbacks, timers and socket operations one at a
/// time. An exception that leaves a callback is reported and the loop goes on.
class event_loop
{
public:
    using callback = std::function<void()>;
    /// Receives the text of an exception that left a callback. Called from any
    /// thread.
    using error_hook = std::function<void(const std::string& what)>;

    /// A subscription to the timer service. Destroying it or assigning to it
    /// cancels the callback. Used on the loop's thread only.
    class timer
    {
    public:
        timer();
        ~timer();
        timer(timer&&) noexcept;
        timer& operator=(timer&&) noexcept;

    private:
        friend class event_loop;
        class implementation;
        std::unique_ptr<implementation> m_implementation;
    };

    explicit event_loop(error_hook on_error);
    /// Stops the loop.
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Carries out the callback on the loop's thread. Callable from any thread.
    void post(callback call);
    /// Carries out the callback after the delay unless the timer is destroyed.
    /// Called on the loop's thread only.
    timer run_after(span delay, callback call);
    /// Ends the thread. Callbacks that were not carried out yet are dropped.
    void stop();

    /// The hook that receives errors; callable from any thread.
    const error_hook& on_error() const;
    /// The context for sockets whose handlers run on the loop's thread.
    boost::asio::io_context& context();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
