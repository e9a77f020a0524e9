#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/runtime/logging.hpp>
#include <kingcuprudder/service/instance_list_client.hpp>
#include <kingcuprudder/service/live_state.hpp>
#include <kingcuprudder/service/peer_calls.hpp>
#include <kingcuprudder/service/scheduler_http.hpp>
#include <kingcuprudder/service/scheduler_loop.hpp>
#include <kingcuprudder/service/scheduler_service.hpp>
#include <kingcuprudder/service/store_caller.hpp>
#include <kingcuprudder/service/worker_client.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>
#include <kingcuprudder/stream/stream_server.hpp>

#include <random>
#include <utility>

namespace kingcuprudder
{

namespace
{

owner_codec make_codec()
{
    return {[](const log_entry& entry) { return to_cbor(entry); },
            [](std::string_view bytes) { return from_cbor<log_entry>(bytes); },
            [](const owner_record& owner) { return to_cbor(owner); },
            [](std::string_view bytes)
            { return from_cbor<owner_record>(bytes); }};
}

std::unique_ptr<region_owner>
make_owner(const scheduler_options& options, const std::string& stream_address,
           std::unique_ptr<placement_policy> policy)
{
    owner_options identity;
    identity.m_region = options.m_region;
    identity.m_instance = options.m_instance;
    identity.m_address = stream_address;
    std::random_device random;
    identity.m_seed = std::uint64_t{random()} << 32 | random();
    return std::make_unique<region_owner>(std::move(identity), make_codec(),
                                          std::move(policy));
}

} // namespace

class scheduler_service::implementation
{
public:
    implementation(const scheduler_options& options,
                   std::unique_ptr<placement_policy> policy)
        : m_store(options.m_store_address),
          m_stream_server(std::make_unique<stream_server>(
              options.m_stream_address,
              [this](const std::string& method, const std::string& body,
                     const stream_server::responder& respond)
              { handle_stream_call(method, body, respond); })),
          m_stream_address(m_stream_server->address()),
          m_loop(make_owner(options, m_stream_address, std::move(policy))),
          m_http(m_loop, m_metrics, options.m_http_address,
                 options.m_health_address),
          m_store_caller(m_store,
                         [this](store_answer answer, span latency)
                         {
                             m_metrics.on_store_answer(answer, latency);
                             m_loop.push(std::move(answer));
                         }),
          m_worker_client(options.m_instance, m_http.heartbeat_url(),
                          [this](worker_answer answer)
                          {
                              m_metrics.on_worker_answer(answer);
                              m_loop.push(std::move(answer));
                          }),
          m_live(
              m_store, options.m_region,
              [this](std::shared_ptr<const effective_settings> settings)
              { apply_settings(std::move(settings)); },
              [this](std::optional<owner_record> owner, store_revision revision)
              {
                  m_loop.push(owner_key_event{std::move(owner), revision});
              }),
          m_instance_list(options.m_instance_list_address,
                          [this](std::vector<worker> workers)
                          { take_workers(std::move(workers)); }),
          m_peer_handler(m_live,
                         [this](const std::string& content,
                                const peer_call_handler::answerer& respond)
                         { take_call(content, respond); })
    {
        m_loop.start([this](store_call call)
                     { return m_store_caller.call(std::move(call)); },
                     [this](worker_call call)
                     { return m_worker_client.call(std::move(call)); });
        m_started = true;
    }

    ~implementation()
    {
        // The thread of the server uses members that are destroyed before the
        // server.
        m_stream_server.reset();
        m_store.stop();
        m_loop.stop();
    }

    const std::string& stream_address() const { return m_stream_address; }
    const scheduler_http& http() const { return m_http; }
    scheduler_loop& loop() { return m_loop; }
    const live_state& live() const { return m_live; }

    void begin_shutdown()
    {
        m_log.info("shutting down");
        m_http.set_healthy(false);
        m_loop.push(shutdown_event{});
    }

private:
    void apply_settings(std::shared_ptr<const effective_settings> settings)
    {
        m_log.info("settings revision " + std::to_string(settings->m_revision) +
                   " is in effect");
        m_loop.push(settings_event{std::move(settings)});
    }

    void take_workers(std::vector<worker> workers)
    {
        m_worker_client.set_workers(workers);
        m_log.info("the instance list contains " +
                   std::to_string(workers.size()) + " workers");
        m_loop.push(workers_event{std::move(workers)});
    }

    // Called on the thread of the stream server, which starts before the
    // members that handle a call are initialized.
    void handle_stream_call(const std::string& method, const std::string& body,
                            const stream_server::responder& respond)
    {
        if (!m_started)
        {
            respond("");
            return;
        }
        m_peer_handler(method, body, respond);
    }

    void take_call(const std::string& content,
                   const peer_call_handler::answerer& respond)
    {
        const auto call = from_cbor<caller_call>(content);
        if (!succeeded(call))
        {
            respond(to_cbor(caller_answer{0, error_of(call)}));
            return;
        }
        m_metrics.on_caller_call();
        const call_number number = value_of(call).m_call;
        const bool taken = m_loop.try_push(
            call_event{value_of(call), [respond](const caller_answer& answer)
                       { respond(to_cbor(answer)); }});
        if (!taken)
        {
            respond(to_cbor(
                caller_answer{number, error{error_code::limit_reached,
                                            "too many calls are waiting",
                                            verdict::not_run}}));
        }
    }

    logger m_log{"scheduler"};
    scheduler_metrics m_metrics;
    std::atomic<bool> m_started = false;
    http_key_value_store m_store;
    std::unique_ptr<stream_server> m_stream_server;
    std::string m_stream_address;
    scheduler_loop m_loop;
    scheduler_http m_http;
    store_caller m_store_caller;
    worker_client m_worker_client;
    live_state m_live;
    instance_list_client m_instance_list;
    peer_call_handler m_peer_handler;
};

scheduler_service::scheduler_service(const scheduler_options& options,
                                     std::unique_ptr<placement_policy> policy)
    : m_implementation(
          std::make_unique<implementation>(options, std::move(policy)))
{
}

scheduler_service::~scheduler_service() = default;

const std::string& scheduler_service::stream_address() const
{
    return m_implementation->stream_address();
}

const std::string& scheduler_service::http_address() const
{
    return m_implementation->http().address();
}

const std::string& scheduler_service::health_address() const
{
    return m_implementation->http().health_address();
}

bool scheduler_service::owning() const
{
    return m_implementation->loop().owning();
}

epoch_number scheduler_service::epoch() const
{
    return m_implementation->loop().epoch();
}

std::uint64_t scheduler_service::settings_revision() const
{
    return m_implementation->live().settings_tree().second;
}

void scheduler_service::begin_shutdown()
{
    m_implementation->begin_shutdown();
}

bool scheduler_service::shut_down() const
{
    return m_implementation->loop().shut_down();
}

std::string scheduler_service::dump() const
{
    return dump_state(m_implementation->loop());
}

} // namespace kingcuprudder
