#include <kingcuprudder/codec/dispatch_codec.hpp>
#include <kingcuprudder/node/node_settings.hpp>
#include <kingcuprudder/runtime/http_listener.hpp>

#include <gtest/gtest.h>
#include <platform/platform_records.hpp>
#include <platform/platform_store.hpp>
#include <platform/platform_worker.hpp>

#include <httplib.h>
#include <string>
#include <vector>

namespace kingcuprudder::platform
{

namespace
{

constexpr span timeout = span(2000);

/// Returns arrays or objects within each other, this many.
std::string nested(const std::string& begin, const std::string& end, int depth)
{
    std::string text;
    for (int at = 0; at < depth; ++at)
    {
        text += begin;
    }
    text += "0";
    for (int at = 0; at < depth; ++at)
    {
        text += end;
    }
    return text;
}

std::vector<std::string> deep_values()
{
    std::vector<std::string> values;
    for (const int depth : {1'000, 100'000, 250'000})
    {
        values.push_back(nested("[", "]", depth));
        values.push_back(nested("{\"a\":", "}", depth));
        values.push_back(nested("[\"]\\\"\",", "]", depth));
    }
    return values;
}

std::string worker_entry(const std::string& further)
{
    return R"({"backend":"pool","address":"10.128.0.9:8080","zone":"z",
"state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":4},
"labels":["a","r1-3"],"clockMs":482113,"born":1700000000000,"further":)" +
           further + "}";
}

/// Answers each call to a store with the same status and body.
class answering_store
{
public:
    answering_store(int status, std::string body)
        : m_status(status), m_body(std::move(body))
    {
    }

    platform_store& store() { return m_store; }

private:
    int m_status;
    std::string m_body;
    http_listener m_listener{
        "127.0.0.1:0", 4,
        [this](httplib::Server& server)
        {
            const auto handler =
                [this](const httplib::Request&, httplib::Response& response)
            {
                response.status = m_status;
                response.set_content(m_body, "application/json");
            };
            server.Get("/.*", handler);
            server.Post("/.*", handler);
        }};
    platform_store m_store{m_listener.address()};
};

} // namespace

TEST(nested_json, a_deep_worker_entry_is_rejected)
{
    EXPECT_TRUE(platform_records().m_decode_worker(
        "i-1", worker_entry(nested("[", "]", 10))));
    for (const std::string& value : deep_values())
    {
        EXPECT_FALSE(platform_records().m_decode_worker("i-1", value));
        EXPECT_FALSE(
            platform_records().m_decode_worker("i-1", worker_entry(value)));
    }
}

// Guards against a stack overflow, which ends the process.
TEST(nested_json, a_deep_configuration_is_rejected)
{
    for (const std::string& value : deep_values())
    {
        for (const char* field : {"routes", "tenants", "backends", "further"})
        {
            std::string text = R"({"version":7,"routes":[],")";
            text.append(field).append("\":").append(value).append("}");
            EXPECT_FALSE(platform_records().m_decode_configuration(text));
        }
    }
}

// Guards against a stack overflow, which ends the process.
TEST(nested_json, a_deep_job_is_rejected)
{
    for (const std::string& value : deep_values())
    {
        for (const char* field :
             {"steps", "spec", "repeatCount", "startMs", "further"})
        {
            std::string text = R"({"steps":[{"count":1}],")";
            text.append(field).append("\":").append(value).append("}");
            EXPECT_FALSE(decode_job("5c0e7a21d94b36f8", text)) << field;
        }
        EXPECT_FALSE(
            decode_job("5c0e7a21d94b36f8",
                       R"({"steps":[{"count":1,"after":)" + value + "}]}"));
    }
}

// Guards against a stack overflow, which ends the process.
TEST(nested_json, a_deep_answer_of_a_worker_is_not_read)
{
    for (const std::string& value : deep_values())
    {
        for (const char* field : {"running", "ended", "further"})
        {
            std::string text = R"({"clockMs":1,"born":2,")";
            text.append(field).append("\":").append(value).append("}");
            EXPECT_EQ(decode_renewal_answer(http_answer{200, text}),
                      node::renewal_answer(dispatch::call_result(
                          dispatch::order_outcome::may_have_arrived,
                          dispatch::call_failure::unreadable_answer)));
            EXPECT_FALSE(decode_order_answer(http_answer{200, text}).m_clock);
        }
    }
}

// Guards against a stack overflow, which ends the process.
TEST(nested_json, a_deep_answer_of_the_store_leaves_the_outcome_unknown)
{
    for (const std::string& value : deep_values())
    {
        const std::string text =
            R"({"asOf":1,"revision":1,"key":"k","leaseId":1,"items":[],)"
            R"("events":[],"further":)" +
            value + "}";
        answering_store answered(200, text);
        platform_store& store = answered.store();
        EXPECT_EQ(store.read("k", timeout).index(), 1u);
        EXPECT_EQ(store.list("k", timeout).index(), 1u);
        EXPECT_EQ(store.watch("k", 1, timeout, timeout).index(), 1u);
        EXPECT_EQ(store.commit({}, timeout).index(), 1u);
        EXPECT_EQ(store.grant_lease(timeout, timeout).index(), 1u);
        answering_store in_conflict(412, text);
        EXPECT_EQ(in_conflict.store().commit({}, timeout).index(), 1u);
    }
}

// Guards against a stack overflow, which ends the process.
TEST(nested_json, deep_records_and_settings_are_rejected)
{
    for (const std::string& value : deep_values())
    {
        for (const std::string& text :
             {value,
              R"({"state":"running","account":"a","tasks":)" + value + "}"})
        {
            EXPECT_FALSE(dispatch::decode_submission(text));
            EXPECT_FALSE(dispatch::decode_progress(text));
            EXPECT_FALSE(dispatch::decode_summary(text));
            EXPECT_EQ(node::parse_node_settings(text).index(), 1u);
        }
    }
}

} // namespace kingcuprudder::platform
