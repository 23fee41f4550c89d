#include "snipevalve/admin/access.hpp"

namespace snipevalve {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

AccessLevel parseAccessLevel(std::string_view text)
{
    if (text == "read") {
        return AccessLevel::Read;
    }
    if (text == "write") {
        return AccessLevel::Write;
    }
    return text == "admin" ? AccessLevel::Admin : AccessLevel::None;
}

/// Compares in a time that does not depend on where the strings differ, so that timing does not reveal a token byte by
/// byte.
bool constantTimeEquals(std::string_view expected, std::string_view given)
{
    unsigned difference = expected.size() == given.size() ? 0 : 1;
    for (std::size_t index = 0; index < expected.size(); ++index) {
        const char other = given.empty() ? '\0' : given[index % given.size()];
        difference |= static_cast<unsigned char>(expected[index]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

} // namespace

AccessList::AccessList(const std::vector<std::string> &tokens, Findings &findings)
{
    for (std::size_t index = 0; index < tokens.size(); ++index) {
        const std::string &text = tokens[index];
        const auto first = text.find(':');
        const auto second = first == std::string::npos ? first : text.find(':', first + 1);
        const std::string place = "admin.tokens[" + std::to_string(index) + "]";
        if (second == std::string::npos || second + 1 == text.size()) {
            findings.add(place, "must be team:rights:token");
            continue;
        }
        const AccessLevel level = parseAccessLevel(text.substr(first + 1, second - first - 1));
        if (level == AccessLevel::None) {
            findings.add(place, "the rights must be read, write or admin");
            continue;
        }
        m_entries.push_back({{text.substr(0, first), level}, text.substr(second + 1)});
    }
}

Identity AccessList::identify(std::string_view authorization) const
{
    if (m_entries.empty()) {
        return {"anyone", AccessLevel::Admin};
    }
    const bool isBearer = authorization.starts_with(BearerPrefix);
    const std::string_view token = isBearer ? authorization.substr(BearerPrefix.size()) : std::string_view();
    Identity identity;
    for (const Entry &entry : m_entries) {
        if (constantTimeEquals(entry.token, token)) {
            identity = entry.identity;
        }
    }
    return identity;
}

bool mayChange(const Identity &identity, const std::string &team)
{
    return identity.level == AccessLevel::Admin || (identity.level == AccessLevel::Write && identity.team == team);
}

} // namespace snipevalve
