#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/region/log_record.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

// Guards against a log entry that a new owner decodes differently from what the
// former owner encoded.
TEST(codec, log_entry_survives_a_round_trip)
{
    const job_key job{account_id("a"), job_id("j")};
    log_entry entry;
    entry.m_sequence = 7;
    entry.m_epoch = 3;
    entry.m_batch_id = "b";
    entry.m_records = {
        epoch_started{3, instance_id("i"), instant(5)},
        job_placed{
            job, 2, {{worker_id("w"), 1, ~std::uint64_t{0}}}, instant(9)},
        job_released{job, 2, stop_reason::reclaimed, verdict::may_have_run,
                     span(4), instant(11)}};

    const result<log_entry> read = from_cbor<log_entry>(to_cbor(entry));
    ASSERT_TRUE(succeeded(read)) << error_of(read).m_message;
    EXPECT_EQ(value_of(read), entry);
}

// Guards against an error message that does not name the invalid field.
TEST(codec, malformed_input_names_the_field)
{
    const auto read = from_json_text<log_entry>(
        R"({"sequence":1,"epoch":"x","batch_id":"","records":[]})");
    ASSERT_FALSE(succeeded(read));
    EXPECT_EQ(error_of(read).m_code, error_code::malformed);
    EXPECT_NE(error_of(read).m_message.find("epoch"), std::string::npos);
}

} // namespace
} // namespace kingcuprudder
