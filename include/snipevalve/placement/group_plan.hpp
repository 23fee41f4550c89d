#ifndef SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP
#define SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipevalve {

/// @brief Position of a server in a plan's or a table's list of servers.
using ServerIndex = std::uint16_t;
inline constexpr ServerIndex NoServer = 0xffff;

/// @brief What the store keeps of a placement group. Only the leader of the highest term can replace it.
struct GroupPlan
{
    std::uint64_t term = 0;
    std::string leader; ///< the host that holds the term
    std::uint64_t version = 0; ///< rises with each plan of a term
    std::string writeId; ///< unique to each write, so that a lost answer can be resolved
    std::vector<std::string> servers;
    std::vector<ServerIndex> targets; ///< by slot: the server that is to own it
    std::vector<std::string> witnesses; ///< the servers whose majority confirms the term

    bool operator==(const GroupPlan &) const = default;
};

std::string toJson(const GroupPlan &plan);

/// @return empty when the text is not a plan
std::optional<GroupPlan> parsePlan(std::string_view text);

/// @brief Writes slot owners as four hexadecimal digits a slot.
std::string encodeOwners(const std::vector<ServerIndex> &owners);
std::optional<std::vector<ServerIndex>> decodeOwners(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP
