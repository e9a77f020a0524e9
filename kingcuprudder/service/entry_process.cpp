#include <kingcuprudder/service/entry_process.hpp>

#include <utility>

namespace kingcuprudder
{

entry_process::entry_process(const entry_options& options,
                             const std::string& store_address,
                             const region_id& region)
    : m_store(store_address),
      m_live(
          m_store, region,
          [this](std::shared_ptr<const effective_settings> seen)
          { forward_settings(std::move(seen)); },
          [this](std::optional<owner_record> owner, store_revision)
          { forward_owner(std::move(owner)); }),
      m_peers(m_client, m_live),
      m_service(std::make_unique<entry_service>(
          options,
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
