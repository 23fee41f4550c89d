#ifndef SNIPEVALVE_CORE_HASH_HPP
#define SNIPEVALVE_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace snipevalve {

/// @brief The 64-bit XXH3 hash (xxHash, Yann Collet) of a text; the same on every host.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief The placement group that a key belongs to and its slot within the group.
struct KeyPlace
{
    std::uint32_t group = 0;
    std::uint32_t slot = 0;
};

/// @brief Maps a key to its group and slot by its hash.
/// @param groups number of placement groups of the service, at least 1
/// @param slots number of slots of one group, at least 1
KeyPlace placeOf(std::string_view key, std::uint32_t groups, std::uint32_t slots);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_HASH_HPP
