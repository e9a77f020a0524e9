#include <soak/balancer.hpp>

#include <chrono>
#include <httplib.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::chrono::milliseconds check_interval(1000);
constexpr std::chrono::milliseconds check_timeout(500);
constexpr int max_misses = 2;
constexpr int status_ok = 200;

} // namespace

balancer::balancer(const deployment& nodes)
    : m_deployment(nodes), m_misses(nodes.size(), 0),
      m_thread([this] { run(); })
{
}

balancer::~balancer()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

int balancer::select(unsigned choice)
{
    std::lock_guard lock(m_mutex);
    std::vector<int> ready;
    for (int node = 0; node < m_deployment.size(); ++node)
    {
        if (m_misses[node] < max_misses)
        {
            ready.push_back(node);
        }
    }
    if (2 * ready.size() < m_misses.size())
    {
        return static_cast<int>(choice % m_misses.size());
    }
    return ready[choice % ready.size()];
}

void balancer::run()
{
    while (true)
    {
        for (int node = 0; node < m_deployment.size(); ++node)
        {
            note_check(node, is_ready(node));
        }
        std::unique_lock lock(m_mutex);
        if (m_wake.wait_for(lock, check_interval,
                            [this] { return m_stopping; }))
        {
            return;
        }
    }
}

bool balancer::is_ready(int node) const
{
    httplib::Client connection("http://" +
                               m_deployment.readiness_address(node));
    connection.set_connection_timeout(check_timeout);
    connection.set_read_timeout(check_timeout);
    const auto answer = connection.Get("/kingcuprudder/ready");
    return answer && answer->status == status_ok;
}

void balancer::note_check(int node, bool ready)
{
    std::lock_guard lock(m_mutex);
    m_misses[node] = ready ? 0 : m_misses[node] + 1;
}

} // namespace kingcuprudder::soak
