#ifndef SNIPEVALVE_GATEWAY_LOGGED_HEADERS_HPP
#define SNIPEVALVE_GATEWAY_LOGGED_HEADERS_HPP

#include <set>
#include <string>
#include <utility>

#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief The invalid headers that have been logged, so that each is logged once for a run of a server.
///
/// A server that sends an invalid header sends it in every answer, hundreds of times a second.
class LoggedHeaders
{
public:
    /// Records beyond this are forgotten, all at once; a region has hundreds of servers.
    static constexpr std::size_t MaxRecords = 4'096;

    /// @return whether this header of this run of the server has not been logged yet
    bool add(const ServerIncarnation &server, const std::string &header)
    {
        if (m_logged.size() >= MaxRecords) {
            m_logged.clear();
        }
        return m_logged.emplace(server, header).second;
    }

private:
    std::set<std::pair<ServerIncarnation, std::string>> m_logged;
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_LOGGED_HEADERS_HPP
