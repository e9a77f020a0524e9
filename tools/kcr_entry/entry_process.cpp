#include "entry_process.hpp"

#include <random>
#include <utility>

namespace kingcuprudder
{

namespace
{

entry_options options_of(const process_settings& settings)
{
    entry_options options;
    options.m_instance = settings.m_instance;
    options.m_address = settings.m_http_address;
    options.m_health_address = settings.m_health_address;
    options.m_instance_list = settings.m_instance_list_address;
    options.m_seed = std::random_device()();
    return options;
}

} // namespace

entry_process::entry_process(const process_settings& settings)
    : m_store(settings.m_store_address),
      m_live(
          m_store, settings.m_region,
          [this](std::shared_ptr<const effective_settings> seen)
          { forward_settings(std::move(seen)); },
          [this](std::optional<owner_record> owner, store_revision)
          { forward_owner(std::move(owner)); }),
      m_peers(m_client, m_live),
      m_service(std::make_unique<entry_service>(
          options_of(settings),
          [this](const std::string& address, const std::string& body,
                 span timeout, std::function<void(result<std::string>)> done)
          { m_peers.call(address, body, timeout, std::move(done)); }))
{
    std::lock_guard lock(m_mutex);
    m_receiver = m_service.get();
    if (auto known = m_live.settings())
    {
        m_service->on_settings(std::move(known));
    }
    m_service->on_owner(m_live.owner());
}

entry_process::~entry_process()
{
    std::lock_guard lock(m_mutex);
    m_receiver = nullptr;
    m_store.stop();
}

void entry_process::forward_settings(
    std::shared_ptr<const effective_settings> settings)
{
    std::lock_guard lock(m_mutex);
    if (m_receiver != nullptr)
    {
        m_receiver->on_settings(std::move(settings));
    }
}

void entry_process::forward_owner(std::optional<owner_record> owner)
{
    std::lock_guard lock(m_mutex);
    if (m_receiver != nullptr)
    {
        m_receiver->on_owner(std::move(owner));
    }
}

void entry_process::shut_down()
{
    m_service->shut_down();
}

std::string entry_process::dump() const
{
    return m_service->dump();
}

} // namespace kingcuprudder
