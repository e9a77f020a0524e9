#ifndef UNIT_TESTS_RUNTIME_ANSWERS_WITHOUT_END_HPP
#define UNIT_TESTS_RUNTIME_ANSWERS_WITHOUT_END_HPP

#include <string>
#include <vector>

namespace kingcuprudder
{

/// Returns the beginnings of answers of which each part is over any limit of a
/// client: an announced body of which a part comes with the header, for which
/// Beast 1.74 reserves the announced length, header fields, a chunk extension,
/// trailers and a chunk.
inline std::vector<std::string> answers_without_end()
{
    const std::string status = "HTTP/1.1 200 X\r\n";
    const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t much = 200'000;
    return {status + "Content-Length: 90000000000\r\n\r\n" +
                std::string(much, 'b'),
            status + "A: " + std::string(much, 'h'),
            chunked + "1;a=" + std::string(much, 'e'),
            chunked + "0\r\nA: " + std::string(much, 't'),
            chunked + "90000\r\n" + std::string(much, 'c')};
}

} // namespace kingcuprudder

#endif
