#ifndef SNIPEVALVE_GATEWAY_LEAVING_SERVERS_HPP
#define SNIPEVALVE_GATEWAY_LEAVING_SERVERS_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief What first told that a server is leaving.
enum class LeavingSource {
    List, ///< its entry in service discovery
    Answer, ///< one of its answers
};

/// @brief A short text for logs.
inline std::string_view describe(LeavingSource source)
{
    return source == LeavingSource::List ? "list" : "answer";
}

/// @brief A server that is leaving, and since when this is known.
struct LeavingServer
{
    std::string service;
    ServerIncarnation server;
    LeavingSource source = LeavingSource::List;
    TimePoint since;
};

/// @brief The servers that are known to leave, no matter what told it first. No I/O, threads or clock.
///
/// A server that leaves does not come back: only a later incarnation takes requests again. Neither an answer without
/// the notice nor an entry that still says `ready` ends it, since both may be older than the notice.
class LeavingServers
{
public:
    /// Records beyond this replace the oldest; a region has hundreds of servers.
    static constexpr std::size_t MaxRecords = 4'096;

    /// @return whether this was not known before
    bool add(const LeavingServer &leaving)
    {
        const auto known = m_records.find(leaving.server.id);
        if (known != m_records.end() && known->second.server.incarnation >= leaving.server.incarnation) {
            return false;
        }
        if (known == m_records.end() && m_records.size() >= MaxRecords) {
            m_records.erase(oldest());
        }
        m_records.insert_or_assign(leaving.server.id, leaving);
        return true;
    }

    /// @return the record of this incarnation or of a later one; null when the server is not known to leave
    const LeavingServer *find(const ServerIncarnation &server) const
    {
        const auto known = m_records.find(server.id);
        const bool isLeaving = known != m_records.end() && server.incarnation <= known->second.server.incarnation;
        return isLeaving ? &known->second : nullptr;
    }

    /// @brief Marks the servers that are known to leave as draining. @return whether this changed any
    bool markIn(std::vector<UpstreamServer> &servers) const
    {
        bool changed = false;
        for (UpstreamServer &server : servers) {
            const bool isNews = !server.draining && find(incarnationOf(server)) != nullptr;
            server.draining = server.draining || isNews;
            changed = changed || isNews;
        }
        return changed;
    }

    /// @return the records of the service's servers
    std::vector<LeavingServer> serversOf(const std::string &service) const
    {
        std::vector<LeavingServer> servers;
        for (const auto &[id, record] : m_records) {
            if (record.service == service) {
                servers.push_back(record);
            }
        }
        return servers;
    }

    std::size_t size() const
    {
        return m_records.size();
    }

private:
    std::map<std::string, LeavingServer>::iterator oldest()
    {
        return std::min_element(m_records.begin(), m_records.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        });
    }

    std::map<std::string, LeavingServer> m_records; ///< by id
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_LEAVING_SERVERS_HPP
