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
/// Tokens are ordered by term, then sequence. A server refuses an order whose token is lower than the highest it saw.
struct Token
{
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const Token &) const = default;
};

/// @brief Writes a token as `term.sequence`.
std::string toString(const Token &token);

/// @brief Reads `term.sequence`; empty when the text is anything else.
std::optional<Token> parseToken(std::string_view text);

/// @brief A placement group: a part of a keyed service with its own leader.
struct GroupId
{
    std::string service;
    std::uint32_t index = 0;

    auto operator<=>(const GroupId &) const = default;
};

/// @brief Writes a group as `service/index`.
std::string toString(const GroupId &group);

/// @brief Reads `service/index`; empty when the text is anything else.
std::optional<GroupId> parseGroupId(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_TOKEN_HPP
