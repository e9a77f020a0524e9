#ifndef KINGCUPRUDDER_BASE_TAGGED_ID_HPP
#define KINGCUPRUDDER_BASE_TAGGED_ID_HPP

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace kingcuprudder
{

/// A string identifier that cannot be mixed up with identifiers of another
/// kind. Tag is a type used only to tell the kinds apart.
template <class Tag>
class tagged_id
{
public:
    tagged_id() = default;
    explicit tagged_id(std::string value) : m_value(std::move(value)) {}

    /// The identifier as text.
    const std::string& str() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend bool operator==(const tagged_id&, const tagged_id&) = default;
    friend auto operator<=>(const tagged_id&, const tagged_id&) = default;

private:
    std::string m_value;
};

using account_id = tagged_id<struct account_tag>;
using job_id = tagged_id<struct job_tag>;
using job_class_id = tagged_id<struct job_class_tag>;
using worker_id = tagged_id<struct worker_tag>;
using rack_id = tagged_id<struct rack_tag>;
using zone_id = tagged_id<struct zone_tag>;
using region_id = tagged_id<struct region_tag>;
using instance_id = tagged_id<struct instance_tag>;
using service_id = tagged_id<struct service_tag>;
using request_id = tagged_id<struct request_tag>;

} // namespace kingcuprudder

template <class Tag>
struct std::hash<kingcuprudder::tagged_id<Tag>>
{
    std::size_t operator()(const kingcuprudder::tagged_id<Tag>& id) const
    {
        return std::hash<std::string>()(id.str());
    }
};

#endif
