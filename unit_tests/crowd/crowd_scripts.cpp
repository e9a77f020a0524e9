#include "crowd_scripts.hpp"

#include <algorithm>
#include <iterator>
#include <string>

namespace kingcuprudder
{

namespace
{

// A block of an endless text; large, so that few calls send much.
constexpr std::size_t block_bytes = std::size_t{64} * 1024;
// The operators' limit of a body.
constexpr std::size_t max_body_bytes = std::size_t{256} * 1024;

const std::string fields = "Host: h.example\r\nAuthorization: Bearer key\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string& text, std::size_t bytes)
{
    std::string block;
    while (block.size() < bytes)
    {
        block += text;
    }
    return block;
}

/// Returns the start line and the fields of a job's submission.
std::string submission(int number = 0)
{
    std::string id = std::to_string(number);
    id.insert(0, 16 - std::min<std::size_t>(16, id.size()), '0');
    return "POST /q/" + id + " HTTP/1.1\r\n" + fields;
}

std::string with_body(const std::string& head, const std::string& body)
{
    return head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string announced(std::size_t bytes)
{
    return submission() + "Content-Length: " + std::to_string(bytes) +
           "\r\n\r\n";
}

crowd_script endless_trailers(int connections)
{
    return {
        "endless_trailers", connections,
        submission() + chunked + "1\r\nx\r\n0\r\n",
        repeated("A-Trailer: " + std::string(100, 't') + "\r\n", block_bytes)};
}

crowd_script endless_header_fields(int connections)
{
    return {
        "endless_header_fields", connections, submission(),
        repeated("A-Field: " + std::string(100, 'f') + "\r\n", block_bytes)};
}

crowd_script endless_chunk_extension(int connections)
{
    return {"endless_chunk_extension", connections,
            submission() + chunked + "1;a=", std::string(block_bytes, 'e')};
}

crowd_script unread_answers(const std::string& path, int connections)
{
    return {"unread_answers",
            connections,
            "",
            repeated("GET " + path + " HTTP/1.1\r\n" + fields + "\r\n",
                     block_bytes),
            nullptr,
            false};
}

/// Returns a request whose method and path no other request has.
std::string request_with_own_names(int number)
{
    const std::string name =
        std::to_string(number) + std::string(std::size_t{6} * 1024, 'N');
    return "M" + name + " /q/" + name + " HTTP/1.1\r\n" + fields + "\r\n";
}

/// Returns a few requests with names of their own, as a new connection for each
/// would make a small crowd.
std::string requests_with_own_names(int connection)
{
    constexpr int requests = 40;
    std::string text;
    for (int at = 0; at < requests; ++at)
    {
        text += request_with_own_names(connection * requests + at);
    }
    return text;
}

std::vector<crowd_script> large_body_crowds()
{
    constexpr std::size_t far_over_limit = 90'000'000'000;
    constexpr std::size_t over_limit = 900'000;
    const std::string below_limit(max_body_bytes - 1, 'x');
    return {
        {"chunks_without_end", 200, submission() + chunked,
         repeated("400\r\n" + std::string(1024, 'c') + "\r\n", block_bytes)},
        {"body_announced_far_over_limit", 50, announced(far_over_limit),
         std::string(block_bytes, 'x')},
        {"body_over_limit_without_its_end", 200,
         announced(over_limit + 1) + std::string(over_limit, 'x'), ""},
        {"body_within_limit_without_its_end", 200,
         announced(max_body_bytes) + below_limit, ""},
        {"wide_json", 40,
         with_body(submission(), "{\"steps\":[" +
                                     repeated("[],", max_body_bytes - 100) +
                                     "0]}"),
         ""},
        {"steps_without_number", 40,
         with_body(submission(),
                   "{\"steps\":[" +
                       repeated("{\"count\":1},", max_body_bytes - 100) +
                       "0]}"),
         ""},
        {"deep_json", 40,
         with_body(submission(), std::string(max_body_bytes - 100, '[')), ""},
    };
}

} // namespace

std::vector<crowd_script> caller_crowds()
{
    std::vector<crowd_script> crowds = {
        endless_trailers(20),
        endless_chunk_extension(20),
        endless_header_fields(100),
        {"endless_request_line", 50, "GET /", std::string(block_bytes, 'p')},
        {"head_without_its_end", 400,
         submission() + "A-Field: " + std::string(15'000, 'h'), ""},
        {"idle", 400, "", ""},
        unread_answers("/q/", 50),
        {"names_of_their_own", 20, "", "", requests_with_own_names},
    };
    std::vector<crowd_script> large = large_body_crowds();
    std::move(large.begin(), large.end(), std::back_inserter(crowds));
    return crowds;
}

std::vector<crowd_script> lone_process_crowds()
{
    std::vector<crowd_script> crowds = {endless_trailers(20)};
    for (const crowd_script& each : large_body_crowds())
    {
        if (each.m_name == "chunks_without_end" ||
            each.m_name == "body_within_limit_without_its_end")
        {
            crowds.push_back(each);
        }
    }
    return crowds;
}

std::vector<crowd_script> monitoring_crowds()
{
    return {endless_trailers(20),
            endless_chunk_extension(20),
            unread_answers("/metrics", 100),
            {"idle", 400, "", ""}};
}

} // namespace kingcuprudder
