#ifndef KINGCUPRUDDER_RUNTIME_HTTP_REQUEST_READER_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_REQUEST_READER_HPP

#include <kingcuprudder/runtime/http_message.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <memory>

namespace kingcuprudder
{

/// Limits of one request.
struct http_read_limits
{
    /// The start line and the header fields.
    std::size_t m_header_bytes = std::size_t{16} * 1024;
    std::size_t m_body_bytes = std::size_t{256} * 1024;
    /// The line before a chunk, with its extensions, or all trailers.
    std::size_t m_framing_part_bytes = std::size_t{16} * 1024;

    /// The lines before all chunks and the trailers together. Chunks of one
    /// byte need five bytes of framing each.
    std::size_t framing_bytes() const;

    friend bool operator==(const http_read_limits&,
                           const http_read_limits&) = default;
};

/// Why a request cannot be read.
enum class http_read_error
{
    malformed,
    header_too_large,
    body_too_large,
    framing_too_large,
};

/// What a reader has after its last step.
enum class http_read_state
{
    needs_more,      ///< Further bytes are needed.
    header_complete, ///< The header is there, and the body is not.
    complete,        ///< A request is there.
    failed,          ///< The connection cannot be read any further.
};

/// Parses the bytes of a connection into requests, without I/O. What it retains
/// is bounded by the limits. Requests may follow each other without a pause.
class http_request_reader
{
public:
    explicit http_request_reader(const http_read_limits& limits);
    ~http_request_reader();
    http_request_reader(const http_request_reader&) = delete;
    http_request_reader& operator=(const http_request_reader&) = delete;

    /// Begins the next request with these limits. Bytes that have arrived are
    /// kept; a large buffer without bytes is released.
    void begin_request(const http_read_limits& limits);
    /// Returns memory for this many bytes of the connection.
    boost::asio::mutable_buffer prepare(std::size_t bytes);
    /// Adds the bytes that were written to the prepared memory.
    void commit(std::size_t bytes);
    /// Parses what was added. After header_complete it is called again.
    http_read_state read();
    /// The reason of the state `failed`.
    http_read_error error() const { return m_error; }

    /// Whether the caller waits for "100 Continue". Valid from
    /// header_complete on.
    bool expects_continue() const;
    /// Whether the connection may be used again. Valid from header_complete on.
    bool keep_alive() const;
    /// Returns the complete request, without its times.
    http_request take_request();
    /// Drops the request and all bytes.
    void discard();

    /// The bytes that were added and not parsed yet.
    std::size_t unparsed_bytes() const { return m_buffer.size(); }
    /// The memory for the request and for unparsed bytes, in bytes.
    std::size_t held_bytes() const;

private:
    class parser;
    /// The part of a request that is parsed next.
    enum class parser_position
    {
        header,
        framing,
        body,
    };

    http_read_state fail(http_read_error error);
    parser_position position() const;
    /// Returns the state after the parser has consumed bytes.
    http_read_state check_progress(parser_position before,
                                   std::size_t consumed);
    bool is_header_too_large() const;
    bool is_framing_too_large(std::size_t consumed) const;

    http_read_limits m_limits;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<parser> m_parser;
    http_read_error m_error = http_read_error::malformed;
    /// Bytes of the request that were parsed.
    std::size_t m_parsed_bytes = 0;
    std::size_t m_header_bytes = 0;
};

} // namespace kingcuprudder

#endif
