#ifndef SNIPEVALVE_CORE_TOKEN_HPP
#define SNIPEVALVE_CORE_TOKEN_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipevalve {

/// @brief A fencing token: the leader's term and a sequence number within that term.
///
/// Tokens are ordered by term, then by sequence. A server rejects an order whose token is lower than the highest one
/// that it has seen.
struct Token
{
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const Token &) const = default;
};

/// @brief Formats a token as `term.sequence`.
std::string toString(const Token &token);

/// @brief Parses `term.sequence`.
/// @return the token; empty if the text has another form
std::optional<Token> parseToken(std::string_view text);

/// @brief Identifies a placement group: a partition of a keyed service that has its own leader.
struct GroupId
{
    std::string service;
    std::uint32_t index = 0;

    auto operator<=>(const GroupId &) const = default;
};

/// @brief Formats a group as `service/index`.
std::string toString(const GroupId &group);

/// @brief Parses `service/index`.
/// @return the group; empty if the text has another form
std::optional<GroupId> parseGroupId(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_TOKEN_HPP
