#ifndef SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP
#define SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief The servers that service discovery names. No I/O, threads or clock.
///
/// An entry that can't be read names no server. Entries that lapsed while the store was away come back soon after its
/// return; until then they are not taken as departures.
class ServerDirectory
{
public:
    /// The users' pages give servers two seconds after the store's return to be back; a reader may lag a little.
    static constexpr Milliseconds ReturnGrace{2'200};

    /// @brief The store answers again after an outage for this host.
    void onStoreRecovered(TimePoint now);

    /// @brief An entry as it stands now; empty when it can't be read.
    void onEntry(const std::string &id, std::optional<UpstreamServer> server);

    /// @brief The entry has been removed.
    void onRemoved(const std::string &id, TimePoint now);

    /// @brief Forgets all; for a host that has not followed for a while.
    void clear();

    /// @brief All entries have been read: those that are not named were removed.
    void onListed(const std::vector<std::string> &ids, TimePoint now);

    /// @brief Forgets lapsed entries that did not come back in time. @return true when something changed since the last
    /// call
    bool advance(TimePoint now);

    std::vector<UpstreamServer> serversOf(const std::string &service) const;
    std::size_t size() const;

private:
    struct Entry
    {
        UpstreamServer server;
        std::optional<TimePoint> lapsedAt;
    };

    std::map<std::string, Entry> m_entries;
    TimePoint m_graceEnd;
    bool m_changed = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP
