#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>

#include <nlohmann/json.hpp>
#include <stand_ins/fake_minion.hpp>

#include <chrono>
#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <utility>

namespace kingcuprudder::stand_ins
{

namespace
{

using json = nlohmann::json;

json describe(const minion_run& run)
{
    return {{"request", run.m_request},
            {"started_ms", run.m_started_at.count()},
            {"ended_ms", run.m_ended_at.count()},
            {"leaving", run.m_leaving}};
}

instant deadline_of(const httplib::Request& request)
{
    const std::string text = request.get_header_value("x-deadline-ms");
    return instant(text.empty() ? 0 : std::stoll(text));
}

/// Sends the header of the response, then breaks the connection.
void break_answer(httplib::Response& response)
{
    response.set_content_provider(
        1024, "text/plain",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

} // namespace

class fake_minion::implementation
{
public:
    explicit implementation(const minion_options& options)
        : m_slots(options.m_slots), m_service_time(options.m_service_time),
          m_listener(options.m_address, options.m_connections,
                     [this](httplib::Server& server) { install(server); })
    {
    }

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_ending = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }

    const std::string& address() const { return m_listener.address(); }

    void set_faults(const minion_faults& faults)
    {
        std::lock_guard lock(m_mutex);
        m_faults = faults;
        m_changed.notify_all();
    }

    void set_service_time(span service_time)
    {
        std::lock_guard lock(m_mutex);
        m_service_time = service_time;
    }

    void begin_leaving()
    {
        std::lock_guard lock(m_mutex);
        m_leaving = true;
    }

    void wait_until_idle()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_running == 0; });
    }

    std::vector<minion_run> history() const
    {
        std::lock_guard lock(m_mutex);
        return m_history;
    }

    std::size_t arrivals() const
    {
        std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

private:
    void install(httplib::Server& server)
    {
        server.Post("/v1/run", [this](const httplib::Request& request,
                                      httplib::Response& response)
                    { run(request, response); });
        server.Get("/v1/health",
                   [this](const httplib::Request&, httplib::Response& response)
                   { answer_health(response); });
        server.Get("/admin/history",
                   [this](const httplib::Request&, httplib::Response& response)
                   { answer_history(response); });
        server.Post("/admin/behaviour", [this](const httplib::Request& request,
                                               httplib::Response& response)
                    { change_behaviour(request, response); });
    }

    void run(const httplib::Request& request, httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        ++m_arrivals;
        if (m_faults.m_silent)
        {
            m_changed.wait(lock,
                           [this] { return m_ending || !m_faults.m_silent; });
            break_answer(response);
            return;
        }
        mark_draining(response);
        const instant deadline = deadline_of(request);
        const bool late = deadline != instant() && system_now() >= deadline;
        if (m_leaving || late || m_running >= m_slots)
        {
            response.status = 503;
            response.set_header("x-not-run", "true");
            response.set_content("refused", "text/plain");
            return;
        }
        carry_out(request, lock);
        mark_draining(response);
        answer(request, response);
    }

    void carry_out(const httplib::Request& request,
                   std::unique_lock<std::mutex>& lock)
    {
        ++m_running;
        const std::size_t place = m_history.size();
        minion_run begun;
        begun.m_request = request.get_header_value("x-request-id");
        begun.m_started_at = system_now();
        begun.m_leaving = m_leaving;
        m_history.push_back(std::move(begun));
        m_changed.wait_for(lock,
                           std::chrono::milliseconds(m_service_time.count()),
                           [this] { return m_ending; });
        m_history[place].m_ended_at = system_now();
        --m_running;
        m_changed.notify_all();
    }

    void answer(const httplib::Request& request, httplib::Response& response)
    {
        if (m_faults.m_drop_answers)
        {
            break_answer(response);
        }
        else if (m_faults.m_failing)
        {
            response.status = 500;
            response.set_content("failed", "text/plain");
        }
        else
        {
            response.set_content("answer to " +
                                     request.get_header_value("x-request-id"),
                                 "text/plain");
        }
    }

    void mark_draining(httplib::Response& response) const
    {
        if (m_leaving && !response.has_header("x-leaving"))
        {
            response.set_header("x-leaving", "true");
        }
    }

    void answer_health(httplib::Response& response)
    {
        std::unique_lock lock(m_mutex);
        if (m_faults.m_silent)
        {
            m_changed.wait(lock,
                           [this] { return m_ending || !m_faults.m_silent; });
            break_answer(response);
            return;
        }
        mark_draining(response);
        response.set_content("{}", "application/json");
    }

    void answer_history(httplib::Response& response) const
    {
        json runs = json::array();
        for (const minion_run& each : history())
        {
            runs.push_back(describe(each));
        }
        response.set_content(json{{"runs", runs}}.dump(), "application/json");
    }

    void change_behaviour(const httplib::Request& request,
                          httplib::Response& response)
    {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object())
        {
            response.status = 400;
            return;
        }
        std::lock_guard lock(m_mutex);
        m_faults.m_silent = wanted.value("silent", false);
        m_faults.m_drop_answers = wanted.value("drop_answers", false);
        m_faults.m_failing = wanted.value("failing", false);
        m_service_time =
            span(wanted.value("service_time_ms", m_service_time.count()));
        m_leaving = m_leaving || wanted.value("leaving", false);
        m_changed.notify_all();
        response.set_content("{}", "application/json");
    }

    std::size_t m_slots;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    span m_service_time;
    minion_faults m_faults;
    bool m_leaving = false;
    bool m_ending = false;
    std::size_t m_running = 0;
    std::size_t m_arrivals = 0;
    std::vector<minion_run> m_history;
    http_listener m_listener;
};

fake_minion::fake_minion(const minion_options& options)
    : m_implementation(std::make_unique<implementation>(options))
{
}

fake_minion::~fake_minion() = default;

const std::string& fake_minion::address() const
{
    return m_implementation->address();
}

void fake_minion::set_faults(const minion_faults& faults)
{
    m_implementation->set_faults(faults);
}

void fake_minion::set_service_time(span service_time)
{
    m_implementation->set_service_time(service_time);
}

void fake_minion::begin_leaving()
{
    m_implementation->begin_leaving();
}

void fake_minion::wait_until_idle()
{
    m_implementation->wait_until_idle();
}

std::vector<minion_run> fake_minion::history() const
{
    return m_implementation->history();
}

std::size_t fake_minion::arrivals() const
{
    return m_implementation->arrivals();
}

} // namespace kingcuprudder::stand_ins
