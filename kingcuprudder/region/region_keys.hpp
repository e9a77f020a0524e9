#ifndef KINGCUPRUDDER_REGION_REGION_KEYS_HPP
#define KINGCUPRUDDER_REGION_REGION_KEYS_HPP

#include <kingcuprudder/region/log_record.hpp>

#include <string>

namespace kingcuprudder
{

/// Number of slots in the ring of a region's log.
inline constexpr sequence_number log_slots = 256;

/// The key that holds log entry `sequence`.
inline std::string log_slot_key(const region_id& region,
                                sequence_number sequence)
{
    return "regions/" + region.str() + "/log/" +
           std::to_string(sequence % log_slots);
}

/// The key of the snapshot's head.
inline std::string snapshot_key(const region_id& region)
{
    return "regions/" + region.str() + "/snapshot";
}

/// The key of one chunk of a snapshot. Each snapshot has keys of its own, so
/// that a delayed write of a former owner cannot overwrite a later snapshot.
inline std::string snapshot_chunk_key(const region_id& region,
                                      const std::string& name,
                                      std::size_t index)
{
    return snapshot_key(region) + "/" + name + "/" + std::to_string(index);
}

/// The key that names the region's owner.
inline std::string owner_key(const region_id& region)
{
    return "live/owner/" + region.str();
}

} // namespace kingcuprudder

#endif
