#ifndef SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP
#define SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "snipevalve/gateway/server_entry.hpp"

namespace snipevalve {

/// @brief The servers that are registered with service discovery. No I/O, threads or clock.
///
/// An entry that can't be parsed counts as no server. Entries that expired during an outage of the store usually
/// reappear soon after it recovers; until `ReturnGrace` is over they are kept.
///
/// An entry may be older than what is known of its server, since the store may come back from a copy. Within one
/// incarnation the heartbeats order the entries: an entry that isn't newer neither ends a drain nor brings back a
/// removed server. The store removes the entry of a silent server, so one that outlasts that while this host reads the
/// store is in use again.
class ServerDirectory
{
public:
    /// The users' requirements give servers 2 s after the store recovers to register again; 0.2 s allow for a delayed
    /// read.
    static constexpr Milliseconds ReturnGrace{2'200};
    /// What is known of servers that are not in use is kept for this long, and of at most `MaxPastServers`.
    static constexpr Milliseconds PastServerRetention{60'000};
    static constexpr std::size_t MaxPastServers = 10'000;

    /// @param heartbeatInterval how often servers renew their entry
    explicit ServerDirectory(Milliseconds heartbeatInterval = Milliseconds(1'000));

    /// @brief The store answers this host again, after an outage or from a copy: starts the grace time.
    void onStoreRecovered(TimePoint now);

    /// @brief This host reads the store again after an outage of any length. The store may count the silence of servers
    /// anew, so old entries have to outlast it from now on.
    void onReadAgain(TimePoint now);

    /// @brief The entry was written. @param entry empty when it can't be parsed
    void onEntry(const std::string &id, std::optional<ServerEntry> entry, TimePoint now);

    /// @brief The entry was removed; during the grace time the server is kept.
    void onRemoved(const std::string &id, TimePoint now);

    /// @brief Stops using all servers; for a host that has not watched the store for a while.
    void clear(TimePoint now);

    /// @brief Notes which servers of a service its last leader used; call it after clear() and before the next list.
    ///
    /// A listed server that the view doesn't have may have left before that list's copy was restored, so it is used
    /// only with its next heartbeat.
    void noteView(const std::string &service, const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief A snapshot was read: entries that are not in `ids` were removed.
    void onListed(const std::vector<std::string> &ids, TimePoint now);

    /// @brief Drops expired entries after the grace time, and uses servers again whose old entries the store has kept.
    /// @param readAt when this host last held the store's latest entries
    /// @return whether anything changed since the last call
    bool advance(TimePoint now, TimePoint readAt);

    std::vector<UpstreamServer> serversOf(const std::string &service) const;
    /// @brief The zones that have servers in use.
    std::set<std::string> zones() const;
    std::size_t size() const;

private:
    struct Entry
    {
        ServerEntry last;
        std::optional<TimePoint> lapsedAt;
    };

    /// An entry in the store that is no news of a removed server.
    struct OldEntry
    {
        ServerEntry entry;
        TimePoint seenAt; ///< or when this host has last begun to read the store again
    };

    /// A server that is not in use.
    struct PastServer
    {
        ServerEntry last;
        TimePoint since;
        bool isRemoved = false; ///< false: its state was lost with clear() or by an unreadable entry
        std::optional<OldEntry> oldEntry;
    };

    const ServerEntry *lastEntry(const std::string &id) const;
    void use(const std::string &id, ServerEntry entry);
    void retire(const std::string &id, bool isRemoved, TimePoint now);
    void reviewPastServers(TimePoint now, TimePoint readAt);

    Milliseconds m_silenceTimeout; ///< the store has removed the entry of a silent server by then
    std::map<std::string, Entry> m_entries;
    std::map<std::string, PastServer> m_past;
    std::set<std::string> m_viewedServices; ///< those of noteView() since the last list
    TimePoint m_graceEnd;
    TimePoint m_reviewedAt;
    bool m_changed = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_DIRECTORY_HPP
