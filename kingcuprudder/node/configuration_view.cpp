#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/configuration_view.hpp>

#include <algorithm>

namespace kingcuprudder::node
{

namespace
{

// Bounds a watch call without changes, so that an unresponsive connection is
// not relied on for longer than this.
constexpr span watch_wait = span(1200);

} // namespace

configuration_view::configuration_view(record_store& store,
                                       const external_records& records,
                                       event_log& log)
    : m_store(store), m_records(records), m_log(log),
      m_watcher(store, log, records.m_configuration_key, watch_wait, span(0),
                {[this](const record_list& list, instant sent)
                 {
                     for (const record& each : list.m_records)
                     {
                         adopt(each, sent);
                     }
                 },
                 [this](const record_changes& changes, instant sent)
                 {
                     for (const auto& change : changes.m_changes)
                     {
                         if (!change.m_removed)
                         {
                             adopt(change.m_record, sent);
                         }
                     }
                 },
                 [this](instant sent) { note_confirmation(sent); }})
{
}

configuration_view::snapshot configuration_view::current() const
{
    std::lock_guard lock(m_mutex);
    return m_snapshot;
}

instant configuration_view::confirmed_at() const
{
    std::lock_guard lock(m_mutex);
    return m_confirmed_at;
}

configuration_view::snapshot
configuration_view::confirmed_since(instant earliest) const
{
    std::lock_guard lock(m_mutex);
    return m_confirmed_at >= earliest ? m_snapshot : nullptr;
}

configuration_view::snapshot configuration_view::confirmed(span max_age,
                                                           span timeout)
{
    const instant sent = boottime_now();
    if (snapshot recent = confirmed_since(sent - max_age))
    {
        return recent;
    }
    const store_result<std::optional<record>> found = observed(
        m_latency,
        [&] { return m_store.read(m_records.m_configuration_key, timeout); });
    if (!is_ok(found) || !std::get<0>(found))
    {
        return nullptr;
    }
    adopt(*std::get<0>(found), sent);
    note_confirmation(sent);
    return current();
}

void configuration_view::note_confirmation(instant sent)
{
    std::lock_guard lock(m_mutex);
    if (m_snapshot)
    {
        m_confirmed_at = std::max(m_confirmed_at, sent);
    }
}

void configuration_view::adopt(const record& found, instant read_at)
{
    if (found.m_key != m_records.m_configuration_key)
    {
        return;
    }
    const std::optional<dispatch::service_configuration> decoded =
        m_records.m_decode_configuration(found.m_value);
    if (!decoded)
    {
        m_log.write("configuration", "configuration_not_read", "",
                    {{"revision", std::to_string(found.m_revision)}});
        return;
    }
    snapshot adopted;
    std::function<void(const snapshot&)> call;
    {
        std::lock_guard lock(m_mutex);
        if (m_snapshot && found.m_revision <= m_snapshot->m_revision)
        {
            return;
        }
        adopted = std::make_shared<const configuration_snapshot>(
            configuration_snapshot{*decoded, found.m_revision});
        m_snapshot = adopted;
        m_confirmed_at = std::max(m_confirmed_at, read_at);
        call = m_on_change;
    }
    m_log.write("configuration", "configuration_adopted", "",
                {{"version", std::to_string(decoded->m_version)},
                 {"revision", std::to_string(found.m_revision)},
                 {"queues", std::to_string(decoded->m_queues.size())}});
    if (call)
    {
        call(adopted);
    }
}

void configuration_view::on_change(std::function<void(const snapshot&)> call)
{
    std::lock_guard lock(m_mutex);
    m_on_change = std::move(call);
}

} // namespace kingcuprudder::node
