#include "snipevalve/core/hash.hpp"

#include <xxhash.h>

namespace snipevalve {

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

KeyPlace placeOf(std::string_view key, std::uint32_t groups, std::uint32_t slots)
{
    constexpr unsigned HalfBits = 32;
    const std::uint64_t hash = hashOf(key);
    KeyPlace place;
    place.group = static_cast<std::uint32_t>((hash >> HalfBits) % groups);
    place.slot = static_cast<std::uint32_t>((hash & UINT32_MAX) % slots);
    return place;
}

} // namespace snipevalve
