#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_watcher.hpp>

#include <chrono>

namespace kingcuprudder::node
{

namespace
{

constexpr span list_timeout = span(1500);
constexpr span retry_pause = span(150);

} // namespace

record_watcher::record_watcher(record_store& store, event_log& log,
                               std::string prefix, span wait,
                               span batching_delay, hooks callbacks)
    : m_store(store), m_log(log), m_prefix(std::move(prefix)), m_wait(wait),
      m_batching_delay(batching_delay), m_hooks(std::move(callbacks)),
      m_thread([this] { run(); })
{
}

record_watcher::~record_watcher()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

void record_watcher::run()
{
    while (!m_stopping)
    {
        if (!list_all())
        {
            pause(retry_pause);
            continue;
        }
        while (!m_stopping && watch_changes())
        {
        }
    }
}

bool record_watcher::list_all()
{
    const instant sent = boottime_now();
    const store_result<record_list> listed =
        m_store.list(m_prefix, list_timeout);
    if (!is_ok(listed))
    {
        log_availability_change(false, to_string(std::get<1>(listed)));
        return false;
    }
    m_latency.observe(boottime_now() - sent, true);
    log_availability_change(true, "listed");
    const record_list& list = std::get<0>(listed);
    m_revision = list.m_revision;
    m_hooks.m_listed(list, sent);
    if (m_hooks.m_answered)
    {
        m_hooks.m_answered(sent);
    }
    return true;
}

bool record_watcher::watch_changes()
{
    const instant sent = boottime_now();
    const span wait = wait_with_latency(m_wait, m_latency);
    const store_result<record_changes> watched =
        m_store.watch(m_prefix, m_revision, wait, watch_timeout(m_wait));
    if (is_ok(watched))
    {
        log_availability_change(true, "watched");
        const record_changes& changes = std::get<0>(watched);
        m_revision = changes.m_revision;
        if (changes.m_changes.empty())
        {
            m_latency.observe(boottime_now() - sent - wait, true);
        }
        if (!changes.m_changes.empty())
        {
            m_hooks.m_changed(changes, sent);
        }
        if (m_hooks.m_answered)
        {
            m_hooks.m_answered(sent);
        }
        if (!changes.m_changes.empty() && m_batching_delay.count() > 0)
        {
            pause(m_batching_delay);
        }
        return true;
    }
    if (std::get<1>(watched) == store_failure::compacted)
    {
        m_log.write("watch", "history_dropped", m_prefix,
                    {{"revision", std::to_string(m_revision)}});
        return false;
    }
    // Changes may have been lost with a broken connection; listing the records
    // again is cheap and reliable.
    log_availability_change(false, to_string(std::get<1>(watched)));
    pause(retry_pause);
    return false;
}

void record_watcher::log_availability_change(bool answered,
                                             std::string_view reason)
{
    if (answered != m_store_available)
    {
        m_log.write("watch", answered ? "store_regained" : "store_lost",
                    m_prefix,
                    {{"reason", std::string(reason)},
                     {"revision", std::to_string(m_revision)}});
    }
    m_store_available = answered;
}

void record_watcher::pause(span time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, std::chrono::milliseconds(time.count()),
                    [this] { return m_stopping.load(); });
}

} // namespace kingcuprudder::node
