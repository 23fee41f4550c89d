#ifndef SNIPEVALVE_ADMIN_ACCESS_HPP
#define SNIPEVALVE_ADMIN_ACCESS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/findings.hpp"

namespace snipevalve {

/// @brief What the owner of a token may do, each level including the ones before it.
enum class AccessLevel {
    None,
    Read,
    Write, ///< change resources of its own team
    Admin, ///< change resources of every team
};

struct Identity
{
    std::string team;
    AccessLevel level = AccessLevel::None;
};

/// @brief Knows the owner tokens of the settings. Without tokens everybody is an administrator.
class AccessList
{
public:
    /// @param tokens `team:rights:token` each
    /// @param findings gets the entries that can't be read, without their tokens
    AccessList(const std::vector<std::string> &tokens, Findings &findings);

    /// @param authorization the value of the Authorization header, `Bearer TOKEN`
    Identity identify(std::string_view authorization) const;

private:
    struct Entry
    {
        Identity identity;
        std::string token;
    };

    std::vector<Entry> m_entries;
};

/// @brief Whether the identity may change a resource of `team`.
bool mayChange(const Identity &identity, const std::string &team);

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_ACCESS_HPP
