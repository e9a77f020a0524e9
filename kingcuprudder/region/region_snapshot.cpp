#include <kingcuprudder/region/region_log.hpp>
#include <kingcuprudder/region/region_snapshot.hpp>

#include <charconv>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// Splits records into groups whose encoded size stays below the limit of a
/// value.
std::vector<std::vector<log_record>> split(std::vector<log_record> records)
{
    std::vector<std::vector<log_record>> groups(1);
    std::size_t size = 0;
    for (log_record& each : records)
    {
        const std::size_t more = estimated_size(each);
        if (!groups.back().empty() && size + more > max_chunk_bytes)
        {
            groups.emplace_back();
            size = 0;
        }
        size += more;
        groups.back().push_back(std::move(each));
    }
    return groups;
}

} // namespace

snapshot_values make_snapshot(const region_state& state,
                              sequence_number sequence, epoch_number epoch,
                              const owner_codec& codec)
{
    std::vector<std::vector<log_record>> groups = split(state.to_records());
    log_entry entry;
    entry.m_sequence = sequence;
    entry.m_epoch = epoch;
    snapshot_values values;
    values.m_name = std::to_string(epoch) + "-" + std::to_string(sequence);
    if (groups.size() == 1)
    {
        entry.m_batch_id = values.m_name + ":0";
        entry.m_records = std::move(groups.front());
        values.m_head = codec.m_encode_entry(entry);
        return values;
    }
    entry.m_batch_id = values.m_name + ":" + std::to_string(groups.size());
    values.m_head = codec.m_encode_entry(entry);
    for (std::vector<log_record>& group : groups)
    {
        entry.m_records = std::move(group);
        values.m_chunks.push_back(codec.m_encode_entry(entry));
    }
    return values;
}

result<snapshot_head> read_snapshot_head(const std::string& value,
                                         const owner_codec& codec)
{
    result<log_entry> read = codec.m_decode_entry(value);
    if (!succeeded(read))
    {
        return error_of(read);
    }
    auto& entry = std::get<log_entry>(read);
    snapshot_head head;
    head.m_sequence = entry.m_sequence;
    head.m_epoch = entry.m_epoch;
    head.m_records = std::move(entry.m_records);
    const std::size_t colon = entry.m_batch_id.find(':');
    head.m_name = entry.m_batch_id.substr(0, colon);
    if (colon == std::string::npos)
    {
        return error{error_code::malformed, "snapshot head without a count",
                     verdict::not_run};
    }
    const char* end = entry.m_batch_id.data() + entry.m_batch_id.size();
    std::from_chars(entry.m_batch_id.data() + colon + 1, end, head.m_chunks);
    return head;
}

} // namespace kingcuprudder
