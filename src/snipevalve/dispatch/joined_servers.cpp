#include "snipevalve/dispatch/joined_servers.hpp"

#include <algorithm>
#include <chrono>

namespace snipevalve {

void JoinedServers::setServers(const std::vector<UpstreamServer> &servers, TimePoint now)
{
    std::map<std::string, Listed> listed;
    for (const UpstreamServer &server : servers) {
        listed.emplace(server.id, Listed{server.incarnation, server.evacuated});
        const auto known = m_listed.find(server.id);
        const bool isNew = known == m_listed.end() || known->second.incarnation != server.incarnation
            || (known->second.isEvacuated && !server.evacuated);
        if (isNew && (m_hasList || server.warmupLeft.count() > 0)) {
            m_usedAt[server.id] = now;
        }
    }
    m_hasList = m_hasList || !servers.empty();
    m_listed = std::move(listed);
    std::erase_if(m_usedAt, [this](const auto &entry) {
        return !m_listed.contains(entry.first);
    });
}

void JoinedServers::onPlaced(const std::string &server, TimePoint now)
{
    const auto joined = m_usedAt.find(server);
    if (joined != m_usedAt.end()) {
        joined->second = now;
    }
}

bool JoinedServers::contains(const std::string &server) const
{
    return m_usedAt.contains(server);
}

int JoinedServers::rank(const std::string &server, bool isInZone, bool isConnected, double share, TimePoint now) const
{
    const auto joined = m_usedAt.find(server);
    if (joined == m_usedAt.end()) {
        return 0;
    }
    const auto unused = std::chrono::duration_cast<Milliseconds>((now - joined->second) * std::min(1.0, share));
    if (unused < AnyInterval) {
        const Milliseconds interval = isConnected ? ConnectedInterval : ZoneInterval;
        return isInZone && unused >= interval ? -1 : 0;
    }
    return -1 - static_cast<int>(unused / AnyInterval);
}

} // namespace snipevalve
