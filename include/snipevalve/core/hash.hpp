#ifndef SNIPEVALVE_CORE_HASH_HPP
#define SNIPEVALVE_CORE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace snipevalve {

/// @brief XXH3 (Yann Collet, xxHash) of a text, 64 bits; the same on every host.
std::uint64_t hashOf(std::string_view text, std::uint64_t seed = 0);

/// @brief Where a key lies: its placement group and its slot within the group.
struct KeyPlace
{
    std::uint32_t group = 0;
    std::uint32_t slot = 0;
};

/// @param groups number of placement groups of the service, at least 1
/// @param slots number of slots of one group, at least 1
KeyPlace placeOf(std::string_view key, std::uint32_t groups, std::uint32_t slots);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_HASH_HPP
