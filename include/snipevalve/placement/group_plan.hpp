#ifndef SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP
#define SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipevalve {

/// @brief Index of a server in the server list of a plan or a routing table.
using ServerIndex = std::uint16_t;
inline constexpr ServerIndex NoServer = 0xffff;

/// @brief The state of a placement group in the store. Only the leader of the highest term can replace it.
struct GroupPlan
{
    std::uint64_t term = 0;
    std::string leader; ///< the host that holds the term
    std::uint64_t version = 0; ///< increases with each plan of a term
    std::string writeId; ///< unique per write; tells a leader whose answer was lost whether its write took effect
    std::vector<std::string> servers;
    std::vector<ServerIndex> targets; ///< the server that each slot is assigned to
    std::vector<std::string> witnesses; ///< the servers whose majority confirms the term

    bool operator==(const GroupPlan &) const = default;
};

std::string toJson(const GroupPlan &plan);

/// @return the plan; empty if the text is not a valid plan
std::optional<GroupPlan> parsePlan(std::string_view text);

/// @brief Encodes slot owners as four hexadecimal digits per slot.
std::string encodeOwners(const std::vector<ServerIndex> &owners);
std::optional<std::vector<ServerIndex>> decodeOwners(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GROUP_PLAN_HPP
