#ifndef SNIPEVALVE_PLACEMENT_GRANT_HPP
#define SNIPEVALVE_PLACEMENT_GRANT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/core/token.hpp"

namespace snipevalve {

/// @brief A time on a server's own monotonic clock, as that server named it. Other processes only echo it.
using ServerClock = std::chrono::duration<std::uint64_t, std::milli>;

/// @brief An order of a group's leader to one server: the slots that the server owns from now on.
///
/// The grant ends at `anchor + lifetime` on the server's clock, whenever the order arrives: an order that was delayed
/// on the way can't lengthen a grant beyond what its sender counted on. A probe changes no slots; it fences the server
/// against lower tokens and asks what it holds.
struct GrantOrder
{
    GroupId group;
    Token token;
    bool probe = false;
    std::vector<std::uint32_t> slots;
    ServerClock anchor{0};
    Milliseconds lifetime{0};
};

/// @brief A server's answer to an order.
struct GrantAnswer
{
    bool accepted = false;
    Token highest; ///< the highest token that the server has seen for the group
    ServerClock clock{0}; ///< the server's clock at the answer; the anchor of the next order
    std::vector<std::uint32_t> held; ///< the slots under an unexpired grant or still at work for a request
};

std::string toJson(const GrantOrder &order);
std::optional<GrantOrder> parseGrantOrder(std::string_view text);
std::string toJson(const GrantAnswer &answer);
std::optional<GrantAnswer> parseGrantAnswer(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GRANT_HPP
