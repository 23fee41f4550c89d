#include "snipevalve/gateway/server_directory.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

/// The store removes an entry after this many heartbeats of silence.
constexpr int SilentHeartbeats = 3;
/// Allows for a delayed read of that removal.
constexpr Milliseconds RemovalReadDelay(2'000);
constexpr Milliseconds ReviewInterval(200);

} // namespace

ServerDirectory::ServerDirectory(Milliseconds heartbeatInterval)
    : m_silenceTimeout(SilentHeartbeats * heartbeatInterval + RemovalReadDelay)
{
}

void ServerDirectory::onStoreRecovered(TimePoint now)
{
    m_graceEnd = now + ReturnGrace;
}

void ServerDirectory::onReadAgain(TimePoint now)
{
    for (auto &[id, past] : m_past) {
        if (past.oldEntry) {
            past.oldEntry->seenAt = now;
        }
    }
}

const ServerEntry *ServerDirectory::lastEntry(const std::string &id) const
{
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        return &entry->second.last;
    }
    const auto past = m_past.find(id);
    return past == m_past.end() ? nullptr : &past->second.last;
}

void ServerDirectory::onEntry(const std::string &id, std::optional<ServerEntry> entry, TimePoint now)
{
    if (!entry) {
        retire(id, false, now);
        return;
    }
    const ServerEntry *last = lastEntry(id);
    const bool isUnknownToLeader = last == nullptr && m_viewedServices.contains(entry->server.service);
    if (isUnknownToLeader) {
        m_past[id] = {*entry, now, true, OldEntry{*entry, now}};
        return;
    }
    if (last != nullptr && entry->server.incarnation < last->server.incarnation) {
        return;
    }
    bool isNews = true;
    if (last != nullptr && entry->server.incarnation == last->server.incarnation) {
        isNews = entry->heartbeat > last->heartbeat;
        entry->heartbeat = std::max(entry->heartbeat, last->heartbeat);
        entry->server.draining = entry->server.draining || last->server.draining;
    }
    if (!isNews && m_entries.contains(id)) {
        return;
    }
    const auto past = m_past.find(id);
    if (!isNews && past->second.isRemoved) {
        past->second.oldEntry = OldEntry{std::move(*entry), now};
        return;
    }
    use(id, std::move(*entry));
}

void ServerDirectory::use(const std::string &id, ServerEntry entry)
{
    m_past.erase(id);
    Entry &used = m_entries[id];
    // The remaining warm-up time counts down with each heartbeat; only a later end of it is a change.
    UpstreamServer before = used.last.server;
    const bool endsLater = entry.server.warmupLeft > before.warmupLeft;
    before.warmupLeft = entry.server.warmupLeft;
    m_changed = m_changed || endsLater || before != entry.server;
    used.last = std::move(entry);
    used.lapsedAt.reset();
}

void ServerDirectory::retire(const std::string &id, bool isRemoved, TimePoint now)
{
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end()) {
        m_past[id].last = std::move(entry->second.last);
        m_past[id].since = now;
        m_entries.erase(entry);
        m_changed = true;
    }
    const auto past = m_past.find(id);
    if (past != m_past.end()) {
        past->second.since = isRemoved && !past->second.isRemoved ? now : past->second.since;
        past->second.isRemoved = past->second.isRemoved || isRemoved;
        past->second.oldEntry.reset();
    }
}

void ServerDirectory::onRemoved(const std::string &id, TimePoint now)
{
    const auto position = m_entries.find(id);
    const bool isKept = position != m_entries.end() && now < m_graceEnd;
    if (isKept) {
        position->second.lapsedAt = position->second.lapsedAt.value_or(now);
        return;
    }
    retire(id, true, now);
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
    for (const auto &[id, past] : m_past) {
        if (!named.contains(id)) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        onRemoved(id, now);
    }
    m_viewedServices.clear();
}

void ServerDirectory::noteView(const std::string &service, const std::vector<UpstreamServer> &servers, TimePoint now)
{
    m_viewedServices.insert(service);
    std::set<std::string> named;
    for (const UpstreamServer &server : servers) {
        named.insert(server.id);
        const auto [past, isNew] = m_past.try_emplace(server.id, PastServer{{server, 0}, now, false, {}});
        const UpstreamServer &known = past->second.last.server;
        if (server.incarnation > known.incarnation) {
            past->second = {{server, 0}, now, false, {}};
        } else if (server.incarnation == known.incarnation) {
            past->second.last.server.draining = known.draining || server.draining;
            past->second.isRemoved = false;
        }
    }
    for (auto &[id, past] : m_past) {
        if (past.last.server.service == service && !named.contains(id)) {
            past.isRemoved = true;
        }
    }
}

void ServerDirectory::clear(TimePoint now)
{
    std::vector<std::string> ids;
    for (const auto &[id, entry] : m_entries) {
        ids.push_back(id);
    }
    for (const std::string &id : ids) {
        retire(id, false, now);
    }
    m_graceEnd = {};
}

bool ServerDirectory::advance(TimePoint now, TimePoint readAt)
{
    if (now >= m_graceEnd) {
        std::vector<std::string> lapsed;
        for (const auto &[id, entry] : m_entries) {
            if (entry.lapsedAt) {
                lapsed.push_back(id);
            }
        }
        for (const std::string &id : lapsed) {
            retire(id, true, now);
        }
    }
    if (now - m_reviewedAt >= ReviewInterval) {
        m_reviewedAt = now;
        reviewPastServers(now, readAt);
    }
    const bool changed = m_changed;
    m_changed = false;
    return changed;
}

void ServerDirectory::reviewPastServers(TimePoint now, TimePoint readAt)
{
    std::map<std::string, ServerEntry> alive;
    for (const auto &[id, past] : m_past) {
        if (past.oldEntry && readAt - past.oldEntry->seenAt >= m_silenceTimeout) {
            alive.emplace(id, past.oldEntry->entry);
        }
    }
    for (auto &[id, entry] : alive) {
        use(id, std::move(entry));
    }
    std::erase_if(m_past, [now](const auto &past) {
        return !past.second.oldEntry && now - past.second.since >= PastServerRetention;
    });
    while (m_past.size() > MaxPastServers) {
        m_past.erase(std::min_element(m_past.begin(), m_past.end(), [](const auto &left, const auto &right) {
            return left.second.since < right.second.since;
        }));
    }
}

std::vector<UpstreamServer> ServerDirectory::serversOf(const std::string &service) const
{
    std::vector<UpstreamServer> servers;
    for (const auto &[id, entry] : m_entries) {
        if (entry.last.server.service == service) {
            servers.push_back(entry.last.server);
        }
    }
    return servers;
}

std::set<std::string> ServerDirectory::zones() const
{
    std::set<std::string> zones;
    for (const auto &[id, entry] : m_entries) {
        zones.insert(entry.last.server.zone);
    }
    return zones;
}

std::size_t ServerDirectory::size() const
{
    return m_entries.size();
}

} // namespace snipevalve
