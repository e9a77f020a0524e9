#ifndef KINGCUPRUDDER_REGION_REGION_SNAPSHOT_HPP
#define KINGCUPRUDDER_REGION_REGION_SNAPSHOT_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/region/region_state.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// Largest value of a snapshot, in bytes; the store takes up to 1 MB.
inline constexpr std::size_t max_chunk_bytes = std::size_t{900} * 1024;

/// The head of a snapshot. A state that fits into one value is stored in the
/// head itself and has no chunks.
struct snapshot_head
{
    sequence_number m_sequence = 0; ///< The last log entry it contains.
    epoch_number m_epoch = 0;       ///< The epoch of the owner that wrote it.
    std::string m_name;             ///< Part of the keys of its chunks.
    std::size_t m_chunks = 0;
    std::vector<log_record> m_records;
};

/// The encoded values of a snapshot.
struct snapshot_values
{
    std::string m_name;
    std::string m_head;
    std::vector<std::string> m_chunks;
};

/// Encodes the state after log entry `sequence`.
snapshot_values make_snapshot(const region_state& state,
                              sequence_number sequence, epoch_number epoch,
                              const owner_codec& codec);

/// Decodes the value of a snapshot's head.
result<snapshot_head> read_snapshot_head(const std::string& value,
                                         const owner_codec& codec);

} // namespace kingcuprudder

#endif
