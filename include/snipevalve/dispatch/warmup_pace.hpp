#ifndef SNIPEVALVE_DISPATCH_WARMUP_PACE_HPP
#define SNIPEVALVE_DISPATCH_WARMUP_PACE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief What the cold servers of a service tolerate.
struct WarmupLimits
{
    double perSecond = 0; ///< requests that a cold server tolerates from all hosts; 0: no limit
    double overage = 1.5; ///< a cold server crashes above perSecond * overage + slack requests in any second
    double slack = 8;
    Milliseconds time{0}; ///< how long a server is cold after its start
    Milliseconds heartbeat{1'000}; ///< a server may be cold for this much longer than its entry tells

    bool operator==(const WarmupLimits &) const = default;
};

/// @brief A change of a server's state, for the log.
struct WarmupEvent
{
    enum class Kind {
        Cold,
        Warm,
        Limited, ///< requests were refused because of its pace
    };

    Kind kind = Kind::Cold;
    std::string server;
    Milliseconds left{0}; ///< how long it is expected to stay cold
    bool isAssumed = false; ///< its entry does not say so
    std::uint64_t refused = 0; ///< since the last event of this kind
};

/// @brief Keeps cold servers within the rate that they tolerate. No I/O, threads or clock.
///
/// A token bucket for each cold server. Permits given within one second may reach the server closer together, as hosts
/// and links delay them differently. So the bucket allows no more than the server's limit within two seconds: with a
/// rate of 4/s, an overage of 1.5 and a slack of 8, the limit is 14 and the bucket gives at most 12.
class WarmupPace
{
public:
    /// A change of a server's state is known after a heartbeat and this time, for the store's lag and the watch.
    static constexpr Milliseconds EntryLag{1'400};
    /// Consecutive failed sends after which a server may have restarted.
    static constexpr unsigned SuspectFailures = 3;

    /// @param share the part of the limits that the caller may use; 0 when it doesn't know its part
    void setLimits(const WarmupLimits &limits, double share);

    /// @brief Sets the servers of the service. Those that are cold in the first list get nothing for a second, as
    /// another dispatcher may have sent them all that they tolerate.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief Ends assumptions that the entries in the store don't confirm.
    /// @param readAt when the entries were last known to be up to date
    void advance(TimePoint readAt, TimePoint now);

    bool isCold(const std::string &server, TimePoint now) const;

    /// @brief Whether some server may be cold. A quick check for services without cold servers.
    bool mayAnyBeCold(TimePoint now) const
    {
        return m_limits.perSecond > 0 && now < m_noneColdFrom;
    }

    /// @brief Whether the server may get one more request now.
    bool admits(const std::string &server, TimePoint now) const;

    /// @brief When the server may get the next request, as a time from now.
    Seconds wait(const std::string &server, TimePoint now) const;

    /// @return how many slots of a server of normal speed the pace allows; nothing for a server without a limit
    std::optional<double> capacity(const std::string &server, TimePoint now) const;

    /// @param work expected on a server of normal speed
    void onSent(const std::string &server, Seconds work, TimePoint now);

    /// @param isSent false if the request has certainly not reached the server, so that it doesn't count
    /// @param placedAt when the request was placed; a token comes back only if it took one
    void onFailure(const std::string &server, bool isSent, TimePoint placedAt, TimePoint now);
    void onAnswer(const std::string &server);

    /// @brief Counts a request that was refused because of the server's pace.
    void onRefused(const std::string &server, TimePoint now);

    /// @brief The events since the last call.
    std::vector<WarmupEvent> takeEvents();

private:
    struct Server
    {
        std::int64_t incarnation = 0;
        Milliseconds reported{0}; ///< remaining time as in its last entry
        bool isEvacuated = false;
        std::optional<TimePoint> goneSince;
        TimePoint reportedUntil;
        TimePoint assumedUntil;
        TimePoint assumedAt; ///< an entry that is current as of a heartbeat and EntryLag later tells whether it is cold
        double tokens = 0;
        TimePoint tokensAt;
        TimePoint pacedSince;
        unsigned failures = 0; ///< consecutive
        bool wasCold = false; ///< as of the last event
        std::uint64_t refused = 0;
        TimePoint refusedAt; ///< of the last event

        TimePoint coldUntil() const
        {
            return std::max(reportedUntil, assumedUntil);
        }
    };

    const Server *coldServer(const std::string &id, TimePoint now) const;
    double tokensOf(const Server &server, TimePoint now) const;
    void report(Server &server, const UpstreamServer &entry, bool isQuiet, TimePoint now);
    void assumeCold(Server &server, TimePoint now);
    void startPacing(Server &server, bool isQuiet, TimePoint now);
    void noteState(const std::string &id, Server &server, TimePoint now);

    WarmupLimits m_limits;
    double m_share = 0;
    double m_rate = 0; ///< tokens per second
    double m_burst = 0; ///< most tokens that a bucket holds
    bool m_hasList = false;
    TimePoint m_noneColdFrom; ///< no server is known to be cold from then on
    Seconds m_meanWork{0.1}; ///< of one request; the initial value is replaced within about fifty requests
    std::map<std::string, Server> m_servers; ///< by id
    std::vector<WarmupEvent> m_events;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_WARMUP_PACE_HPP
