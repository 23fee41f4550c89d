#ifndef SNIPEVALVE_DISPATCH_KEY_OWNERS_HPP
#define SNIPEVALVE_DISPATCH_KEY_OWNERS_HPP

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The number of keys of a keyed service; keys are numbers below it.
inline constexpr std::uint32_t KeyCount = 65536;

/// @brief A range of keys, both ends inclusive.
struct KeyRange
{
    std::uint16_t from = 0;
    std::uint16_t to = 0;

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(to) - from + 1;
    }

    bool contains(std::uint16_t key) const
    {
        return from <= key && key <= to;
    }

    auto operator<=>(const KeyRange &) const = default;
};

/// @brief A range whose keys a server holds.
struct OwnedRange
{
    KeyRange keys;
    std::string owner; ///< the server's id

    bool operator==(const OwnedRange &) const = default;
};

/// @brief Keys of a lost server that no other one may hold before this time.
struct OrphanedRange
{
    KeyRange keys;
    TimePoint until;
};

/// @brief Which server holds each key, as ranges in rising order. Keys in no range have no owner now.
class KeyOwners
{
public:
    KeyOwners() = default;

    explicit KeyOwners(std::vector<OwnedRange> ranges)
        : m_ranges(std::move(ranges))
    {
    }

    /// @return the owner's id, or null when no server holds the key
    const std::string *ownerOf(std::uint16_t key) const
    {
        const auto isBefore = [](const OwnedRange &range, std::uint16_t wanted) {
            return range.keys.to < wanted;
        };
        const auto position = std::lower_bound(m_ranges.begin(), m_ranges.end(), key, isBefore);
        return position != m_ranges.end() && position->keys.contains(key) ? &position->owner : nullptr;
    }

    const std::vector<OwnedRange> &ranges() const
    {
        return m_ranges;
    }

    bool operator==(const KeyOwners &) const = default;

private:
    std::vector<OwnedRange> m_ranges;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_KEY_OWNERS_HPP
