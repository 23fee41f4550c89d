#ifndef SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP
#define SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief The servers that are registered with service discovery. No I/O, threads or clock.
///
/// An entry that can't be parsed counts as no server. Entries that expired during an outage of the store usually
/// reappear soon after it recovers; until `ReturnGrace` is over they are kept.
class ServerDirectory
{
public:
    /// The users' requirements give servers 2 s after the store recovers to register again; 0.2 s allow for a delayed
    /// read.
    static constexpr Milliseconds ReturnGrace{2'200};

    /// @brief The store answers this host again after an outage: starts the grace time.
    void onStoreRecovered(TimePoint now);

    /// @brief The entry was written. @param server empty when the entry can't be parsed
    void onEntry(const std::string &id, std::optional<UpstreamServer> server);

    /// @brief The entry was removed; during the grace time the server is kept.
    void onRemoved(const std::string &id, TimePoint now);

    /// @brief Drops all entries; for a host that has not watched the store for a while.
    void clear();

    /// @brief A snapshot was read: entries that are not in `ids` were removed.
    void onListed(const std::vector<std::string> &ids, TimePoint now);

    /// @brief Drops expired entries after the grace time. @return whether anything changed since the last call
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
