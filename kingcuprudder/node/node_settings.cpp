#include <kingcuprudder/node/node_settings.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace kingcuprudder::node
{

namespace
{

using nlohmann::json;

constexpr double millis_per_second = 1000;
constexpr double max_count = 1e9;

/// Reads the fields of one object. Throws an error that names an invalid field.
class field_reader
{
public:
    explicit field_reader(const json& object) : m_object(object) {}

    std::string text(const char* name) const
    {
        const json& value = required(name);
        if (!value.is_string() || value.get_ref<const std::string&>().empty())
        {
            throw std::runtime_error(std::string(name) +
                                     " must be a non-empty string");
        }
        return value.get<std::string>();
    }

    std::string address(const char* name) const
    {
        std::string value = text(name);
        parse_ip_address(value);
        return value;
    }

    double positive(const char* name) const
    {
        const json& value = required(name);
        if (!value.is_number() || value.get<double>() <= 0)
        {
            throw std::runtime_error(std::string(name) +
                                     " must be a number greater than 0");
        }
        return value.get<double>();
    }

    /// Returns a whole number of at least 1, or the default if the field is
    /// missing.
    std::size_t count(const char* name, std::size_t otherwise) const
    {
        if (!m_object.contains(name))
        {
            return otherwise;
        }
        const double value = positive(name);
        if (value < 1 || value > max_count)
        {
            throw std::runtime_error(std::string(name) +
                                     " must be between 1 and 1000000000");
        }
        return static_cast<std::size_t>(value);
    }

    bool contains(const char* name) const { return m_object.contains(name); }

    span milliseconds(const char* name) const
    {
        return span(static_cast<std::int64_t>(positive(name)));
    }

    span seconds(const char* name) const
    {
        return span(
            static_cast<std::int64_t>(positive(name) * millis_per_second));
    }

private:
    const json& required(const char* name) const
    {
        const auto found = m_object.find(name);
        if (found == m_object.end())
        {
            throw std::runtime_error(std::string(name) + " is missing");
        }
        return *found;
    }

    const json& m_object;
};

} // namespace

std::variant<node_settings, std::string>
parse_node_settings(const std::string& text)
{
    try
    {
        const json object = json::parse(text);
        const field_reader fields(object);
        node_settings settings;
        settings.m_name = fields.text("name");
        settings.m_zone = fields.text("availability_zone");
        settings.m_caller_address = fields.address("caller_address");
        settings.m_readiness_address = fields.address("readiness_address");
        settings.m_metrics_address = fields.address("metrics_address");
        settings.m_store_address = fields.address("store_address");
        settings.m_processor_share = fields.positive("processor_share");
        settings.m_instance.m_memory_mb =
            fields.count("memory_mb", settings.m_instance.m_memory_mb);
        settings.m_instance.m_max_descriptors = fields.count(
            "max_descriptors", settings.m_instance.m_max_descriptors);
        settings.m_status_retention = fields.seconds("status_s");
        settings.m_shutdown_grace = fields.seconds("shutdown_grace_s");
        settings.m_limits.m_worker_lease =
            fields.milliseconds("worker_lease_ms");
        settings.m_limits.m_heartbeat_interval =
            fields.contains("worker_heartbeat_ms")
                ? fields.milliseconds("worker_heartbeat_ms")
                : span(0);
        settings.m_limits.m_stop_timeout =
            fields.milliseconds("worker_stop_ms");
        settings.m_limits.m_reclaim_bound = fields.milliseconds("reclaim_ms");
        settings.m_limits.m_remote_data_slowdown =
            fields.positive("distance_factor");
        settings.m_limits.m_restore_time = fields.milliseconds("restore_ms");
        return settings;
    }
    catch (const json::exception& error)
    {
        return std::string("settings are not valid JSON: ") + error.what();
    }
    catch (const std::runtime_error& error)
    {
        return std::string("settings: ") + error.what();
    }
}

} // namespace kingcuprudder::node
