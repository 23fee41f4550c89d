#ifndef SNIPEVALVE_ADMIN_ACCESS_HPP
#define SNIPEVALVE_ADMIN_ACCESS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/findings.hpp"

namespace snipevalve {

/// @brief What a token permits. Each level includes the ones before it.
enum class AccessLevel {
    None,
    Read, ///< read all resources
    Write, ///< change resources of the token's own team
    Admin, ///< change resources of every team
};

/// @brief The team and the access level that a token stands for.
struct Identity
{
    std::string team;
    AccessLevel level = AccessLevel::None;
};

/// @brief Maps the bearer tokens of the settings to identities. Without tokens, every caller is an administrator.
class AccessList
{
public:
    /// @param tokens entries of the form `team:rights:token`
    /// @param findings receives one finding per malformed entry; it names the index, never the token
    AccessList(const std::vector<std::string> &tokens, Findings &findings);

    /// @param authorization the value of the Authorization header, `Bearer TOKEN`
    /// @return the identity of the token; AccessLevel::None for a missing or unknown one if the settings have tokens
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
