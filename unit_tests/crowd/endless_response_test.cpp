#include "crowd_fixture.hpp"
#include "endless_server.hpp"

#include <stand_ins/platform_stand_in.hpp>

namespace kingcuprudder
{

namespace
{

const std::string status_line = "HTTP/1.1 200 OK\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t line_bytes = 1000;
constexpr std::size_t lines = 64;

std::string repeated(const std::string& line)
{
    std::string block;
    for (std::size_t at = 0; at < lines; ++at)
    {
        block += line;
    }
    return block;
}

std::vector<endless_response> endless_responses()
{
    const std::string filler(line_bytes, 'x');
    return {
        {"header_fields", status_line, repeated("A-Field: " + filler + "\r\n")},
        {"trailers", status_line + chunked + "1\r\nx\r\n0\r\n",
         repeated("A-Trailer: " + filler + "\r\n")},
        {"chunk_extension", status_line + chunked + "1;a=", repeated(filler)},
        {"chunks", status_line + chunked,
         repeated("3e8\r\n" + filler + "\r\n")},
        {"body", status_line + "Content-Length: 90000000000\r\n\r\n",
         repeated(filler)},
    };
}

std::string name_of(const ::testing::TestParamInfo<endless_response>& info)
{
    return info.param.m_name;
}

class endless_response_test : public ::testing::TestWithParam<endless_response>
{
protected:
    /// Runs a process with this store and checks that it stays within the
    /// limits of its instance.
    static void play(const std::string& store_address)
    {
        soak::deployment node(KCR_BINARY_DIR "/bin/kcr_node",
                              crowd_test_folder(),
                              {{.m_store_address = store_address,
                                .m_memory_mb = instance_memory_mb,
                                .m_max_descriptors = instance_descriptors}},
                              soak::process_times());
        node.start(0);
        const instance_watch watch(node);
        sleep_for(crowd_time);
        watch.expect_within_limits();
        EXPECT_NE(submit_job(node.caller_address(0), 1), "");
        watch.print();
    }
};

using endless_store_test = endless_response_test;
using endless_worker_test = endless_response_test;

} // namespace

// Guards against a store whose response makes the process keep all that it
// sends.
TEST_P(endless_store_test, the_process_stays_within_its_instance)
{
    const endless_server store(GetParam());
    play(store.address());
}

// The same with workers, which the leader asks for their runs.
TEST_P(endless_worker_test, the_process_stays_within_its_instance)
{
    constexpr int workers = 8;
    stand_ins::platform_stand_in platform{0};
    platform.write_configuration(1, "key");
    std::deque<endless_server> servers;
    node::store_transaction entries;
    for (int at = 0; at < workers; ++at)
    {
        servers.emplace_back(GetParam());
        entries.m_writes.push_back(
            {"servers/w" + std::to_string(at),
             R"({"state":"ready","backend":"b","zone":"z","address":")" +
                 servers.back().address() +
                 R"(","capacity":{"cpu":9000,"memMb":9000,"gpu":8},)"
                 R"("labels":["k","r"],"born":1000,"clockMs":1000})",
             0});
    }
    platform.store().commit(entries, span(1000));
    play(platform.store_address());
}

INSTANTIATE_TEST_SUITE_P(stores, endless_store_test,
                         ::testing::ValuesIn(endless_responses()), name_of);
INSTANTIATE_TEST_SUITE_P(workers, endless_worker_test,
                         ::testing::ValuesIn(endless_responses()), name_of);

} // namespace kingcuprudder
