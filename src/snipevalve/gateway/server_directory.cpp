#include "snipevalve/gateway/server_directory.hpp"

#include <algorithm>
#include <set>

namespace snipevalve {

void ServerDirectory::onStoreRecovered(TimePoint now)
{
    m_graceEnd = now + ReturnGrace;
}

void ServerDirectory::onEntry(const std::string &id, std::optional<UpstreamServer> server)
{
    if (!server) {
        m_changed = m_entries.erase(id) > 0 || m_changed;
        return;
    }
    Entry &entry = m_entries[id];
    const bool isOlder = server->incarnation < entry.server.incarnation;
    if (isOlder) {
        return;
    }
    // The remaining warm-up time counts down with each heartbeat, so a difference in it alone is not a change.
    UpstreamServer before = entry.server;
    before.warmupLeft = server->warmupLeft;
    m_changed = m_changed || before != *server;
    entry.server = std::move(*server);
    entry.lapsedAt.reset();
}

void ServerDirectory::onRemoved(const std::string &id, TimePoint now)
{
    const auto position = m_entries.find(id);
    if (position == m_entries.end()) {
        return;
    }
    if (now < m_graceEnd) {
        position->second.lapsedAt = position->second.lapsedAt.value_or(now);
        return;
    }
    m_entries.erase(position);
    m_changed = true;
}

void ServerDirectory::onListed(const std::vector<std::string> &ids, TimePoint now)
{
    const std::set<std::string> named(ids.begin(), ids.end());
    std::vector<std::string> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!named.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        onRemoved(id, now);
    }
}

void ServerDirectory::clear()
{
    m_changed = m_changed || !m_entries.empty();
    m_entries.clear();
    m_graceEnd = {};
}

bool ServerDirectory::advance(TimePoint now)
{
    if (now >= m_graceEnd) {
        const std::size_t dropped = std::erase_if(m_entries, [](const auto &entry) {
            return entry.second.lapsedAt.has_value();
        });
        m_changed = m_changed || dropped > 0;
    }
    const bool changed = m_changed;
    m_changed = false;
    return changed;
}

std::vector<UpstreamServer> ServerDirectory::serversOf(const std::string &service) const
{
    std::vector<UpstreamServer> servers;
    for (const auto &[id, entry] : m_entries) {
        if (entry.server.service == service) {
            servers.push_back(entry.server);
        }
    }
    return servers;
}

std::size_t ServerDirectory::size() const
{
    return m_entries.size();
}

} // namespace snipevalve
