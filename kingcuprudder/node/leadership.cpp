#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/record_keys.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <random>

namespace kingcuprudder::node
{

namespace
{

constexpr span lease_time = span(2500);
constexpr span renewal_interval = span(600);
constexpr span renewal_retry = span(150);
constexpr span call_timeout = span(800);
// The leader stops this long before its lease can expire at the store.
constexpr span safety_margin = span(300);
// A candidate waits this long for each core that it has less than the last
// leader, so that instances with more processor time are elected first.
constexpr double election_delay_per_core_ms = 900;
constexpr span watch_wait = span(2000);
constexpr span follow_retry = span(200);

std::string random_name()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> any;
    return std::to_string(any(device));
}

} // namespace

bool term::is_valid() const
{
    return is_valid_at(boottime_now());
}

leadership::leadership(record_store& store, event_log& log, std::string node,
                       double processor_share, hooks callbacks)
    : m_store(store), m_log(log), m_node(std::move(node)),
      m_process(random_name()), m_processor_share(processor_share),
      m_hooks(std::move(callbacks)), m_thread([this] { run(); })
{
}

leadership::~leadership()
{
    resign();
}

void leadership::resign()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

span leadership::election_delay() const
{
    const double missing =
        std::max(0.0, m_leader_processor_share - m_processor_share);
    return span(
        static_cast<std::int64_t>(missing * election_delay_per_core_ms));
}

std::string leadership::leader_record_value() const
{
    return nlohmann::json{{"node", m_node},
                          {"process", m_process},
                          {"lease", m_lease},
                          {"processor_share", m_processor_share}}
        .dump();
}

std::optional<leadership::holder>
leadership::parse_holder(const std::string& value)
{
    try
    {
        const nlohmann::json json = nlohmann::json::parse(value);
        return holder{json.at("node"), json.at("process"),
                      json.at("processor_share")};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

void leadership::run()
{
    while (!m_stopping)
    {
        if (m_term)
        {
            lead();
        }
        else
        {
            follow();
        }
    }
    if (m_term)
    {
        end_term("resigned");
        m_store.revoke_lease(m_lease, call_timeout);
        m_hooks.m_ended();
    }
}

void leadership::follow()
{
    const instant sent = boottime_now();
    const store_result<std::optional<record>> found =
        m_store.read(record_keys::leader, call_timeout);
    if (!is_ok(found))
    {
        pause(follow_retry);
        return;
    }
    m_latency.observe(boottime_now() - sent, true);
    const std::optional<record>& leader = std::get<0>(found);
    if (!leader)
    {
        pause(election_delay());
        if (!m_stopping)
        {
            try_to_acquire(0);
        }
        return;
    }
    const std::optional<holder> current_holder = parse_holder(leader->m_value);
    if (current_holder && current_holder->m_node == m_node)
    {
        // An earlier process of this node has ended, as this process has its
        // addresses.
        try_to_acquire(leader->m_revision);
        return;
    }
    const std::string name = current_holder ? current_holder->m_node : "";
    if (current_holder)
    {
        m_leader_processor_share = current_holder->m_processor_share;
    }
    if (name != m_logged_holder)
    {
        m_log.write(
            "leadership", "leader_seen", "",
            {{"node", name}, {"revision", std::to_string(leader->m_revision)}});
        m_logged_holder = name;
    }
    const store_result<record_changes> changed = m_store.watch(
        record_keys::leader, leader->m_revision,
        wait_with_latency(watch_wait, m_latency), watch_timeout(watch_wait));
    if (!is_ok(changed))
    {
        pause(follow_retry);
    }
}

void leadership::try_to_acquire(std::int64_t expected_revision)
{
    const instant lease_sent = boottime_now();
    const store_result<std::int64_t> granted =
        m_store.grant_lease(lease_time, call_timeout);
    if (!is_ok(granted))
    {
        pause(follow_retry);
        return;
    }
    m_lease = std::get<0>(granted);
    store_transaction transaction;
    transaction.m_expected = {{record_keys::leader, expected_revision}};
    transaction.m_writes = {
        {record_keys::leader, leader_record_value(), m_lease}};
    const store_result<commit_answer> outcome =
        m_store.commit(transaction, call_timeout);
    std::int64_t revision = 0;
    if (is_ok(outcome))
    {
        if (const auto* won = std::get_if<std::int64_t>(&std::get<0>(outcome)))
        {
            revision = *won;
        }
    }
    else
    {
        // The commit may have succeeded although its answer was lost; the
        // record names the leader.
        const store_result<std::optional<record>> found =
            m_store.read(record_keys::leader, call_timeout);
        if (is_ok(found) && std::get<0>(found) &&
            std::get<0>(found)->m_value == leader_record_value())
        {
            revision = std::get<0>(found)->m_revision;
        }
    }
    if (revision == 0 || !begin_term(revision, lease_sent))
    {
        m_store.revoke_lease(m_lease, call_timeout);
        m_lease = 0;
        pause(follow_retry);
    }
}

bool leadership::begin_term(std::int64_t revision, instant lease_sent)
{
    const instant valid_until = lease_sent + lease_time - safety_margin;
    if (boottime_now() >= valid_until)
    {
        return false;
    }
    m_term = std::make_shared<term>(
        revision, valid_until,
        record_write{record_keys::leader, leader_record_value(), m_lease});
    m_logged_holder = m_node;
    m_log.write("leadership", "term_began", "",
                {{"fence", std::to_string(revision)}});
    m_hooks.m_began(m_term);
    return true;
}

void leadership::lead()
{
    if (m_term->ended())
    {
        end_term("a newer term exists");
        m_store.revoke_lease(m_lease, call_timeout);
        m_hooks.m_ended();
        return;
    }
    const instant sent = boottime_now();
    const store_result<std::monostate> renewed =
        m_store.renew_lease(m_lease, call_timeout);
    if (is_ok(renewed))
    {
        m_term->extend(sent + lease_time - safety_margin);
        pause(renewal_interval);
    }
    else if (std::get<1>(renewed) == store_failure::lease_ended)
    {
        end_term("lease ended");
        m_hooks.m_ended();
        return;
    }
    else
    {
        pause(renewal_retry);
    }
    if (m_term && !m_term->is_valid() && !m_stopping)
    {
        end_term("lease not renewed in time");
        m_hooks.m_ended();
    }
}

void leadership::end_term(const std::string& reason)
{
    m_log.write(
        "leadership", "term_ended", "",
        {{"fence", std::to_string(m_term->fence())}, {"reason", reason}});
    m_term->end();
    m_term.reset();
}

void leadership::pause(span time)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, std::chrono::milliseconds(time.count()),
                    [this] { return m_stopping.load(); });
}

} // namespace kingcuprudder::node
