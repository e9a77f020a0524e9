#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/codec/json_codec.hpp>

namespace kingcuprudder
{

namespace
{

template <class T, class Parse>
result<T> decode_with(Parse parse)
{
    try
    {
        return decode<T>(parse());
    }
    catch (const std::exception& problem)
    {
        return error{error_code::malformed, problem.what(), verdict::not_run};
    }
}

} // namespace

template <class T>
std::string to_cbor(const T& value)
{
    std::string bytes;
    nlohmann::json::to_cbor(encode(value), bytes);
    return bytes;
}

template <class T>
result<T> from_cbor(std::string_view bytes)
{
    return decode_with<T>([&] { return nlohmann::json::from_cbor(bytes); });
}

template <class T>
std::string to_json_text(const T& value)
{
    return encode(value).dump();
}

template <class T>
result<T> from_json_text(std::string_view text)
{
    return decode_with<T>([&] { return nlohmann::json::parse(text); });
}

#define KCR_INSTANTIATE(type)                                                  \
    template std::string to_cbor<type>(const type&);                           \
    template result<type> from_cbor<type>(std::string_view);                   \
    template std::string to_json_text<type>(const type&);                      \
    template result<type> from_json_text<type>(std::string_view)

KCR_INSTANTIATE(log_entry);
KCR_INSTANTIATE(owner_record);
KCR_INSTANTIATE(caller_call);
KCR_INSTANTIATE(caller_answer);
KCR_INSTANTIATE(worker_report);
KCR_INSTANTIATE(worker);
KCR_INSTANTIATE(job_spec);
KCR_INSTANTIATE(job_status);

#undef KCR_INSTANTIATE

} // namespace kingcuprudder
