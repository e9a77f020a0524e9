#ifndef KINGCUPRUDDER_CODEC_JSON_CODEC_HPP
#define KINGCUPRUDDER_CODEC_JSON_CODEC_HPP

#include <kingcuprudder/codec/fields.hpp>

#include <nlohmann/json.hpp>

#include <concepts>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// Thrown when decoding fails; the message names the invalid field.
class decode_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

template <class T>
nlohmann::json encode(const T& value);

template <class T>
T decode(const nlohmann::json& json);

namespace codec_detail
{

/// The type name that identifies an alternative of a variant.
template <class T>
struct alternative_name
{
    static constexpr const char* name = wire<T>::name;
};

template <class T>
struct alternative_name<std::vector<T>>
{
    static constexpr const char* name = "list";
};

template <class... Ts>
struct alternative_name<std::variant<Ts...>>
{
    static constexpr const char* name = "value";
};

template <class T>
concept has_wire = requires
{
    wire<T>::fields;
};

template <class T>
concept has_count = std::same_as<T, span> || std::same_as<T, instant>;

template <class T>
concept is_id = requires(const T& id)
{
    {
        id.str()
        } -> std::same_as<const std::string&>;
};

template <class T>
struct is_vector : std::false_type
{
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type
{
};

template <class T>
struct is_variant : std::false_type
{
};
template <class... Ts>
struct is_variant<std::variant<Ts...>> : std::true_type
{
};

template <class T>
T decode_enum(const nlohmann::json& json)
{
    const auto& name = json.get_ref<const std::string&>();
    for (T value : enum_values<T>::values)
    {
        if (to_string(value) == name)
        {
            return value;
        }
    }
    throw decode_error("unknown value '" + name + "'");
}

template <class T>
T decode_fields(const nlohmann::json& json)
{
    if (!json.is_object())
    {
        throw decode_error("expected an object");
    }
    T value;
    auto read = [&](const auto& each)
    {
        auto found = json.find(each.m_name);
        if (found == json.end())
        {
            throw decode_error(std::string("missing field '") + each.m_name +
                               "'");
        }
        try
        {
            auto& member = value.*(each.m_member);
            member = decode<std::decay_t<decltype(member)>>(*found);
        }
        catch (const std::exception& problem)
        {
            throw decode_error(std::string(each.m_name) + ": " +
                               problem.what());
        }
    };
    std::apply([&](const auto&... each) { (read(each), ...); },
               wire<T>::fields);
    return value;
}

template <class Variant, std::size_t Index = 0>
Variant decode_variant(const std::string& type, const nlohmann::json& value)
{
    if constexpr (Index == std::variant_size_v<Variant>)
    {
        throw decode_error("unknown type '" + type + "'");
    }
    else
    {
        using alternative = std::variant_alternative_t<Index, Variant>;
        if (type == alternative_name<alternative>::name)
        {
            return Variant(std::in_place_index<Index>,
                           decode<alternative>(value));
        }
        return decode_variant<Variant, Index + 1>(type, value);
    }
}

} // namespace codec_detail

/// Encodes a value as JSON.
template <class T>
nlohmann::json encode(const T& value)
{
    using namespace codec_detail;
    if constexpr (has_wire<T>)
    {
        nlohmann::json json = nlohmann::json::object();
        std::apply(
            [&](const auto&... each)
            { ((json[each.m_name] = encode(value.*(each.m_member))), ...); },
            wire<T>::fields);
        return json;
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return std::string(to_string(value));
    }
    else if constexpr (has_count<T>)
    {
        return value.count();
    }
    else if constexpr (is_id<T>)
    {
        return value.str();
    }
    else if constexpr (is_vector<T>::value)
    {
        nlohmann::json json = nlohmann::json::array();
        for (const auto& each : value)
        {
            json.push_back(encode(each));
        }
        return json;
    }
    else if constexpr (is_variant<T>::value)
    {
        return std::visit(
            [](const auto& each) -> nlohmann::json
            {
                using alternative = std::decay_t<decltype(each)>;
                return {{"type", alternative_name<alternative>::name},
                        {"value", encode(each)}};
            },
            value);
    }
    else
    {
        return value;
    }
}

/// Decodes a value from JSON. Throws decode_error or a JSON exception when the
/// JSON does not match the type.
template <class T>
T decode(const nlohmann::json& json)
{
    using namespace codec_detail;
    if constexpr (has_wire<T>)
    {
        return decode_fields<T>(json);
    }
    else if constexpr (std::is_enum_v<T>)
    {
        return decode_enum<T>(json);
    }
    else if constexpr (has_count<T>)
    {
        return T(json.get<std::int64_t>());
    }
    else if constexpr (is_id<T>)
    {
        return T(json.get<std::string>());
    }
    else if constexpr (is_vector<T>::value)
    {
        T list;
        for (const auto& each : json)
        {
            list.push_back(decode<typename T::value_type>(each));
        }
        return list;
    }
    else if constexpr (is_variant<T>::value)
    {
        return decode_variant<T>(json.at("type").get<std::string>(),
                                 json.at("value"));
    }
    else
    {
        return json.get<T>();
    }
}

} // namespace kingcuprudder

#endif
