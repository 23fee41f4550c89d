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

/// @brief A time on a server's own monotonic clock, as reported by that server. Other processes only echo it back.
using ServerClock = std::chrono::duration<std::uint64_t, std::milli>;

/// @brief An order of a group's leader to one server: the complete set of slots that the server owns from now on.
///
/// The grant expires at `anchor + lifetime` on the server's clock, no matter when the order arrives. A delayed order
/// therefore can't extend a grant beyond the expiry that its sender assumes. A probe changes no slots: it fences the
/// server against lower tokens and asks which slots it holds.
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
    ServerClock clock{0}; ///< the server's clock when it answered; the anchor of the next order
    std::vector<std::uint32_t> held; ///< the slots with an unexpired grant or a request in progress
};

std::string toJson(const GrantOrder &order);
std::optional<GrantOrder> parseGrantOrder(std::string_view text);
std::string toJson(const GrantAnswer &answer);
std::optional<GrantAnswer> parseGrantAnswer(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GRANT_HPP
