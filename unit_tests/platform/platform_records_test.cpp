#include <gtest/gtest.h>
#include <platform/platform_records.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::platform
{

namespace
{

const std::string worker_entry =
    R"({"backend":"pool","address":"10.128.0.9:8080","zone":"visegrad",
"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":
{"cpu":16000,"memMb":32768,"gpu":4},"labels":["a","r1-3"],"clockMs":482113,
"seq":4,"born":1700000000000})";

/// Returns the text with the first occurrence of a part replaced.
std::string replaced(std::string text, const std::string& part,
                     const std::string& by)
{
    const std::size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), by);
}

// Beyond what a signed number of 64 bits holds, or so large that sums overflow.
const std::vector<std::string> too_large_numbers = {"1e400",
                                                    "1e300",
                                                    "-1e300",
                                                    "18446744073709551615",
                                                    "9223372036854775807",
                                                    "-9223372036854775808",
                                                    "1000000000000000000"};

} // namespace

TEST(platform_records, a_configuration_is_read)
{
    const auto read = platform_records().m_decode_configuration(
        R"({"version":7,"routes":[{"name":"r-1","host":"h.example",
"prefix":"/p/","kind":"non_idempotent","timeoutMs":3000,
"targetDurationMs":250,"priority":0,"backend":"pool","maxAttempts":3,
"stretch":1.5,"public":false}],"backends":[{"name":"pool",
"rejectsOverload":false,"standby":false}],"limits":{"maxBodyBytes":262144},
"tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":72}}]})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_version, 7);
    ASSERT_EQ(read->m_queues.size(), 1u);
    EXPECT_EQ(read->m_queues[0].m_policy.m_max_attempts, 3);
    EXPECT_DOUBLE_EQ(read->m_queues[0].m_policy.m_stretch, 1.5);
    EXPECT_EQ(read->m_queues[0].m_policy.m_start_allowance, span(250));
    EXPECT_EQ(read->account_with_key("k2")->m_guaranteed_gpus, 72);
    EXPECT_EQ(read->m_max_body_bytes, 262144);
}

// Guards against a configuration that is not adopted for a limit of another
// type, and against limits that are read from it in part.
TEST(platform_records, limits_of_callers_are_read)
{
    const auto decode = platform_records().m_decode_configuration;
    const auto read = decode(
        R"({"version":7,"routes":[],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_max_header_bytes, 16384);
    EXPECT_EQ(read->m_max_body_bytes, 262144);
    EXPECT_EQ(read->m_header_timeout, span(3000));
    EXPECT_EQ(read->m_idle_timeout, span(15'000));
    const auto unusable = decode(
        R"({"version":7,"routes":[],"limits":{"maxHeaderBytes":"x",
"maxBodyBytes":-1,"headerTimeoutMs":1e300,"idleTimeoutMs":9}})");
    ASSERT_TRUE(unusable);
    EXPECT_EQ(unusable->m_max_header_bytes, 0);
    EXPECT_EQ(unusable->m_max_body_bytes, 0);
    EXPECT_EQ(unusable->m_header_timeout, span(0));
    EXPECT_EQ(unusable->m_idle_timeout, span(9));
}

TEST(platform_records, a_worker_is_read)
{
    const auto read = platform_records().m_decode_worker("i-1", worker_entry);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_rack, "r1-3");
    EXPECT_EQ(read->m_capacity, (dispatch::resources{16000, 32768, 4}));
    EXPECT_EQ(read->m_incarnation, 1700000000000);
    EXPECT_EQ(read->m_clock, 482113);
    EXPECT_FALSE(read->m_draining);
}

// Other programs write to the store, too: an entry that is not valid must be
// rejected without an exception.
TEST(platform_records, invalid_worker_entries_are_rejected)
{
    const auto decode = platform_records().m_decode_worker;
    for (const char* text :
         {"", "{", "[]", "null", "{\"state\":\"ready\"}",
          R"({"backend":7,"address":"a","zone":"z","state":"ready",
              "capacity":{},"labels":[]})",
          R"({"backend":"b","address":"a","zone":"z","state":"asleep",
              "capacity":{"cpu":1},"labels":["a","r"]})",
          "\xff\xfe"})
    {
        EXPECT_FALSE(decode("i-1", text)) << text;
    }
}

// Guards against one entry whose address ends the term of each leader in turn.
TEST(platform_records, worker_entries_with_an_unusable_address_are_rejected)
{
    const std::string address = "10.128.0.9:8080";
    for (const char* unusable :
         {"", ":", "10.128.0.9", "10.128.0.9:", "10.128.0.9:0",
          "10.128.0.9:70000", "10.128.0.9:-1", "10.128.0.9:80x",
          "10.128.0.9:99999999999", "10.128.0.999:8080", "minion.example:8080",
          "http://10.128.0.9:8080", " 10.128.0.9:8080", ":8080"})
    {
        EXPECT_FALSE(platform_records().m_decode_worker(
            "i-1", replaced(worker_entry, address, unusable)))
            << unusable;
    }
    for (const char* usable : {"10.128.0.9:1", "10.128.0.9:65535", "::1:8080"})
    {
        EXPECT_TRUE(platform_records().m_decode_worker(
            "i-1", replaced(worker_entry, address, usable)))
            << usable;
    }
}

// Guards against an overflow in sums of capacities and of times.
TEST(platform_records, worker_entries_with_a_number_out_of_range_are_rejected)
{
    const auto decode = platform_records().m_decode_worker;
    for (const std::string part :
         {"\"cpu\":16000", "\"memMb\":32768", "\"gpu\":4", "\"clockMs\":482113",
          "\"born\":1700000000000", "\"slots\":8"})
    {
        const std::string field = part.substr(0, part.find(':') + 1);
        for (const std::string& number : too_large_numbers)
        {
            // Fields that are not used may hold any number that can be read.
            const bool is_used = field != "\"slots\":";
            EXPECT_EQ(
                decode("i-1", replaced(worker_entry, part, field + number))
                    .has_value(),
                !is_used && number != "1e400")
                << field << number;
        }
    }
    for (const std::string& number : too_large_numbers)
    {
        EXPECT_FALSE(decode("i-1", replaced(worker_entry, "\"seq\":4",
                                            "\"drainRemainingMs\":" + number)))
            << number;
    }
    EXPECT_FALSE(
        decode("i-1", replaced(worker_entry, "\"gpu\":4", "\"gpu\":-1")));
    EXPECT_FALSE(decode("i-1", replaced(worker_entry, "\"born\":1700000000000",
                                        "\"born\":-1")));
    EXPECT_FALSE(decode("i-1", replaced(worker_entry, "\"born\":1700000000000",
                                        "\"born\":1700000000000.5")));
}

TEST(platform_records, a_job_is_read)
{
    const auto job =
        decode_job("5c0e7a21d94b36f8",
                   R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,
"estimateMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"memMb":1024,
"estimateMs":7000,"after":[0],"savesProgress":true,"gang":true,
"sameRack":true,"antiAffinity":2}]})");
    ASSERT_TRUE(job);
    ASSERT_EQ(job->m_steps.size(), 2u);
    EXPECT_EQ(job->m_steps[0].m_data_rack, "r1-3");
    EXPECT_TRUE(job->m_steps[1].m_writes_checkpoints);
    EXPECT_TRUE(job->m_steps[1].m_gang);
    EXPECT_EQ(job->m_steps[1].m_depends_on, std::vector<int>{0});
    EXPECT_EQ(job->m_steps[1].m_max_per_worker, 2);
    EXPECT_EQ(job->m_repeats, 1);
}

TEST(platform_records, invalid_jobs_are_rejected)
{
    for (const char* text :
         {"", "{}", "{\"steps\":[]}", "{\"steps\":[{\"count\":0}]}",
          "{\"steps\":[{\"count\":1,\"after\":[0]}]}",
          "{\"steps\":[{\"count\":\"many\"}]}", "{\"steps\":7}"})
    {
        EXPECT_FALSE(decode_job("5c0e7a21d94b36f8", text)) << text;
    }
    const std::string long_spec(4001, 'x');
    EXPECT_FALSE(
        decode_job("5c0e7a21d94b36f8",
                   R"({"steps":[{"count":1}],"spec":")" + long_spec + "\"}"));
}

// Guards against an overflow in sums of demands and of times.
TEST(platform_records, jobs_with_a_number_out_of_range_are_rejected)
{
    const std::string id = "5c0e7a21d94b36f8";
    std::vector<std::string> numbers = too_large_numbers;
    numbers.emplace_back("-1");
    for (const std::string& number : numbers)
    {
        for (const char* field : {"cpu", "memMb", "gpu", "estimateMs",
                                  "targetMs", "antiAffinity", "maxUnavailable"})
        {
            std::string text = R"({"steps":[{"count":1,")";
            text.append(field).append("\":").append(number).append("}]}");
            EXPECT_FALSE(decode_job(id, text)) << text;
        }
        for (const char* field : {"startMs", "intervalMs"})
        {
            std::string text = R"({"steps":[{"count":1}],")";
            text.append(field).append("\":").append(number).append("}");
            EXPECT_FALSE(decode_job(id, text)) << text;
        }
    }
    // These wrap around to 0 and 1 in a narrower type.
    EXPECT_FALSE(decode_job(
        id, R"({"steps":[{"count":1},{"count":1,"after":[4294967296]}]})"));
    EXPECT_FALSE(
        decode_job(id, R"({"steps":[{"count":1,"antiAffinity":4294967297}]})"));
}

// Guards against one job whose tasks use up the memory of each leader in turn.
TEST(platform_records, jobs_with_too_many_tasks_are_rejected)
{
    for (const char* text :
         {"{\"steps\":[{\"count\":10001}]}",
          "{\"steps\":[{\"count\":2000000000}]}",
          "{\"steps\":[{\"count\":4294967297}]}",
          "{\"steps\":[{\"count\":18446744073709551615}]}",
          "{\"steps\":[{\"count\":-4294967295}]}",
          "{\"steps\":[{\"count\":6000},{\"count\":6000}]}",
          "{\"steps\":[{\"count\":1}],\"repeatCount\":1000000000}",
          "{\"steps\":[{\"count\":101}],\"repeatCount\":100}"})
    {
        EXPECT_FALSE(decode_job("5c0e7a21d94b36f8", text)) << text;
    }
    EXPECT_TRUE(
        decode_job("5c0e7a21d94b36f8",
                   "{\"steps\":[{\"count\":100}],\"repeatCount\":100}"));
}

} // namespace kingcuprudder::platform
