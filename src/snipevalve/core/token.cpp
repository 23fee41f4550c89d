#include "snipevalve/core/token.hpp"

#include <charconv>

namespace snipevalve {

namespace {

template <typename Number>
bool readNumber(std::string_view text, Number &out)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, out);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::string toString(const Token &token)
{
    return std::to_string(token.term) + "." + std::to_string(token.sequence);
}

std::optional<Token> parseToken(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    Token token;
    if (!readNumber(text.substr(0, dot), token.term) || !readNumber(text.substr(dot + 1), token.sequence)) {
        return std::nullopt;
    }
    return token;
}

std::string toString(const GroupId &group)
{
    return group.service + "/" + std::to_string(group.index);
}

std::optional<GroupId> parseGroupId(std::string_view text)
{
    const auto slash = text.rfind('/');
    if (slash == std::string_view::npos || slash == 0) {
        return std::nullopt;
    }
    GroupId group;
    group.service = std::string(text.substr(0, slash));
    if (!readNumber(text.substr(slash + 1), group.index)) {
        return std::nullopt;
    }
    return group;
}

} // namespace snipevalve
