#ifndef SNIPEVALVE_ROUTING_SLOT_TABLE_HPP
#define SNIPEVALVE_ROUTING_SLOT_TABLE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/token.hpp"
#include "snipevalve/placement/group_plan.hpp"

namespace snipevalve {

/// @brief A group's routing table: the owner of each slot.
struct SlotTable
{
    GroupId group;
    Token version;
    bool committed = false; ///< the plan behind it is in the store
    std::string leader; ///< the host that published it
    std::vector<std::string> servers;
    std::vector<ServerIndex> owners;

    /// @return the name of the slot's server; empty when the slot has no certain owner
    std::string_view ownerOf(std::uint32_t slot) const;
};

/// @brief Encodes the table as the payload of an item: a line of JSON, then two bytes per slot, big-endian.
std::string encodeTable(const SlotTable &table);

/// @return empty when the payload is not a table
std::optional<SlotTable> decodeTable(std::string_view payload);

} // namespace snipevalve

#endif // SNIPEVALVE_ROUTING_SLOT_TABLE_HPP
