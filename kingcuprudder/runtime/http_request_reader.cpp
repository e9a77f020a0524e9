#include <kingcuprudder/runtime/http_request_reader.hpp>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

namespace kingcuprudder
{

namespace
{

namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;

// An empty buffer above this size is released between two requests.
constexpr std::size_t kept_buffer_bytes = std::size_t{8} * 1024;
// Memory for a body is reserved before it arrives up to this size.
constexpr std::size_t reserved_body_bytes = std::size_t{8} * 1024;
// The node of a header field in the map, without its texts.
constexpr std::size_t field_overhead_bytes = 128;

int hex_value(char digit)
{
    const int low = std::tolower(static_cast<unsigned char>(digit));
    return std::isdigit(low) != 0     ? low - '0'
           : low >= 'a' && low <= 'f' ? low - 'a' + 10
                                      : -1;
}

/// Returns the path of a request target, without the query and with its
/// percent-encoded bytes decoded.
std::string decoded_path(std::string_view target)
{
    constexpr int hex_base = 16;
    target = target.substr(0, target.find('?'));
    std::string path;
    for (std::size_t at = 0; at < target.size(); ++at)
    {
        if (target[at] == '%' && at + 2 < target.size() &&
            hex_value(target[at + 1]) >= 0 && hex_value(target[at + 2]) >= 0)
        {
            path += static_cast<char>(hex_value(target[at + 1]) * hex_base +
                                      hex_value(target[at + 2]));
            at += 2;
        }
        else
        {
            path += target[at];
        }
    }
    return path;
}

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char each)
                   { return static_cast<char>(std::tolower(each)); });
    return lower;
}

std::string_view standard_view(string_view text)
{
    return {text.data(), text.size()};
}

http_read_error read_error(const error_code& error)
{
    if (error == http::error::header_limit)
    {
        return http_read_error::header_too_large;
    }
    return error == http::error::body_limit ? http_read_error::body_too_large
                                            : http_read_error::malformed;
}

} // namespace

std::size_t http_read_limits::framing_bytes() const
{
    constexpr std::size_t framing_per_body_byte = 8;
    constexpr std::size_t least_framing_bytes = std::size_t{64} * 1024;
    return least_framing_bytes + framing_per_body_byte * m_body_bytes;
}

/// Stores a request while it is parsed. Trailers are dropped.
class http_request_reader::parser : public http::basic_parser<true>
{
public:
    explicit parser(const http_read_limits& limits)
    {
        // The reader checks the start line and the fields together. The limit
        // here applies to each of them, and must not be reached before.
        constexpr std::size_t header_margin_bytes = 1024;
        header_limit(static_cast<std::uint32_t>(limits.m_header_bytes +
                                                header_margin_bytes));
        body_limit(limits.m_body_bytes);
    }

    bool expects_continue() const { return m_expects_continue; }
    http_request take()
    {
        m_field_bytes = 0;
        return std::exchange(m_request, http_request());
    }
    std::size_t body_bytes() const { return m_request.m_body.size(); }
    /// Whether the line of a chunk or the trailers come next.
    bool is_in_framing() const { return chunked() && m_chunk_bytes_left == 0; }

    std::size_t held_bytes() const
    {
        return m_request.m_method.capacity() + m_request.m_path.capacity() +
               m_request.m_body.capacity() + m_field_bytes;
    }

private:
    void on_request_impl(http::verb, string_view method, string_view target,
                         int, error_code&) override
    {
        m_request.m_method = std::string(method);
        m_request.m_path = decoded_path(standard_view(target));
    }

    void on_response_impl(int, string_view, int, error_code&) override {}

    void on_field_impl(http::field name, string_view text, string_view value,
                       error_code&) override
    {
        if (is_header_done())
        {
            return; // A trailer.
        }
        if (name == http::field::expect)
        {
            m_expects_continue = boost::beast::iequals(value, "100-continue");
        }
        m_request.m_headers.insert_or_assign(lower_case(standard_view(text)),
                                             std::string(value));
        m_field_bytes += field_overhead_bytes + text.size() + value.size();
    }

    void on_header_impl(error_code&) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t>& content_length,
                           error_code&) override
    {
        m_announced_bytes =
            static_cast<std::size_t>(content_length.value_or(0));
        m_request.m_body.reserve(
            std::min(m_announced_bytes, reserved_body_bytes));
    }

    std::size_t on_body_impl(string_view body, error_code&) override
    {
        return append(body);
    }

    void on_chunk_header_impl(std::uint64_t size, string_view,
                              error_code&) override
    {
        m_chunk_bytes_left = size;
    }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view body,
                                   error_code&) override
    {
        m_chunk_bytes_left -= body.size();
        return append(body);
    }

    void on_finish_impl(error_code&) override {}

    /// Adds to the body. Its memory grows with what has arrived, and not
    /// beyond an announced length.
    std::size_t append(string_view body)
    {
        std::string& stored = m_request.m_body;
        const std::size_t size = stored.size() + body.size();
        if (size > stored.capacity() && m_announced_bytes >= size)
        {
            stored.reserve(
                std::min(m_announced_bytes, std::max(size, 2 * stored.size())));
        }
        stored.append(body.data(), body.size());
        return body.size();
    }

    http_request m_request;
    bool m_expects_continue = false;
    std::size_t m_announced_bytes = 0;
    std::size_t m_field_bytes = 0;
    std::uint64_t m_chunk_bytes_left = 0;
};

http_request_reader::http_request_reader(const http_read_limits& limits)
    : m_limits(limits), m_parser(std::make_unique<parser>(limits))
{
}

http_request_reader::~http_request_reader() = default;

void http_request_reader::begin_request(const http_read_limits& limits)
{
    m_limits = limits;
    m_parser = std::make_unique<parser>(limits);
    m_parsed_bytes = 0;
    m_header_bytes = 0;
    if (m_buffer.size() == 0 && m_buffer.capacity() > kept_buffer_bytes)
    {
        m_buffer.shrink_to_fit();
    }
}

boost::asio::mutable_buffer http_request_reader::prepare(std::size_t bytes)
{
    return m_buffer.prepare(bytes);
}

void http_request_reader::commit(std::size_t bytes)
{
    m_buffer.commit(bytes);
}

http_read_state http_request_reader::read()
{
    while (m_buffer.size() > 0)
    {
        const parser_position before = position();
        error_code error;
        const std::size_t consumed =
            m_parser->put(boost::asio::const_buffer(m_buffer.data()), error);
        m_buffer.consume(consumed);
        m_parsed_bytes += consumed;
        const bool needs_more = error == http::error::need_more;
        if (error && !needs_more)
        {
            return fail(read_error(error));
        }
        const http_read_state state = check_progress(before, consumed);
        if (state != http_read_state::needs_more || needs_more || consumed == 0)
        {
            return state;
        }
    }
    return http_read_state::needs_more;
}

http_request_reader::parser_position http_request_reader::position() const
{
    if (!m_parser->is_header_done())
    {
        return parser_position::header;
    }
    return m_parser->is_in_framing() ? parser_position::framing
                                     : parser_position::body;
}

http_read_state http_request_reader::check_progress(parser_position before,
                                                    std::size_t consumed)
{
    if (before == parser_position::header)
    {
        if (is_header_too_large())
        {
            return fail(http_read_error::header_too_large);
        }
        m_header_bytes = m_parsed_bytes;
    }
    else if (before == parser_position::framing &&
             is_framing_too_large(consumed))
    {
        return fail(http_read_error::framing_too_large);
    }
    if (m_parser->is_done())
    {
        return http_read_state::complete;
    }
    return before == parser_position::header && m_parser->is_header_done()
               ? http_read_state::header_complete
               : http_read_state::needs_more;
}

/// Returns whether the part of the framing that was parsed or is unfinished, or
/// all parts together, are over their limits.
bool http_request_reader::is_framing_too_large(std::size_t consumed) const
{
    const std::size_t part = consumed > 0 ? consumed : m_buffer.size();
    const std::size_t all =
        m_parsed_bytes - m_header_bytes - m_parser->body_bytes();
    return part > m_limits.m_framing_part_bytes ||
           all > m_limits.framing_bytes();
}

bool http_request_reader::is_header_too_large() const
{
    const std::size_t unfinished =
        m_parser->is_header_done() ? 0 : m_buffer.size();
    return m_parsed_bytes + unfinished > m_limits.m_header_bytes;
}

http_read_state http_request_reader::fail(http_read_error error)
{
    m_error = error;
    return http_read_state::failed;
}

bool http_request_reader::expects_continue() const
{
    return m_parser->expects_continue();
}

bool http_request_reader::keep_alive() const
{
    return m_parser->keep_alive();
}

http_request http_request_reader::take_request()
{
    return m_parser->take();
}

void http_request_reader::discard()
{
    begin_request(m_limits);
    m_buffer.consume(m_buffer.size());
    m_buffer.shrink_to_fit();
}

std::size_t http_request_reader::held_bytes() const
{
    return m_buffer.capacity() + m_parser->held_bytes();
}

} // namespace kingcuprudder
