#ifndef SNIPEVALVE_GATEWAY_SERVER_PAUSES_HPP
#define SNIPEVALVE_GATEWAY_SERVER_PAUSES_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The pauses that servers have asked this host for. No I/O, threads or clock.
///
/// A pause concerns one host and one server: other hosts may go on sending. It ends by time alone; neither an answer
/// to a request that was under way, a shorter pause nor a restart of the server shortens it.
class ServerPauses
{
public:
    /// Requests that wait for the end of a pause come back over this share of its remaining time, within the bounds
    /// below.
    static constexpr double ReturnSpread = 0.25;
    static constexpr Milliseconds MinReturnSpread{100};
    static constexpr Milliseconds MaxReturnSpread{1'000};

    /// @brief The server asks for a pause. @return whether that changed the time when it may be used again
    bool add(const std::string &service, const std::string &server, Milliseconds pause, TimePoint now)
    {
        std::erase_if(m_pauses, [now](const auto &entry) {
            return entry.second.until <= now;
        });
        if (pause <= Milliseconds::zero()) {
            return false;
        }
        Pause &known = m_pauses[server];
        const bool isLonger = known.until < now + pause;
        known.service = service;
        known.until = std::max(known.until, now + pause);
        m_lastEnd = std::max(m_lastEnd, known.until);
        return isLonger;
    }

    /// @return the end of the server's pause; empty when it may be used
    std::optional<TimePoint> pausedUntil(const std::string &server, TimePoint now) const
    {
        const auto known = m_pauses.find(server);
        return known != m_pauses.end() && now < known->second.until ? std::optional(known->second.until) : std::nullopt;
    }

    /// @brief Whether a pause of any server has not ended yet.
    bool isAnyPaused(TimePoint now) const
    {
        return now < m_lastEnd;
    }

    /// @return ids of the service's servers that may not be used now
    std::vector<std::string> pausedServers(const std::string &service, TimePoint now) const
    {
        std::vector<std::string> ids;
        if (!isAnyPaused(now)) {
            return ids;
        }
        for (const auto &[id, pause] : m_pauses) {
            if (pause.service == service && now < pause.until) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// @brief When a request that waits for the end of a pause is sent.
    /// @param until the end of the pause
    /// @param latest when it has to be sent to meet its deadline
    /// @param draw a random number from 0 to 1, which spreads the requests
    /// @return a time between `until` and `latest`; empty when the request can't wait so long
    static std::optional<TimePoint> returnTime(TimePoint until, TimePoint latest, TimePoint now, double draw)
    {
        if (latest < until) {
            return std::nullopt;
        }
        return until + scaled(std::min(latest - until, spreadOf(until - now)), draw);
    }

    /// @brief When a caller whose request was refused for a pause should come back.
    static Duration retryAfter(TimePoint until, TimePoint now, double draw)
    {
        return until - now + scaled(spreadOf(until - now), draw);
    }

private:
    struct Pause
    {
        std::string service;
        TimePoint until;
    };

    static Duration scaled(Duration duration, double factor)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(duration) * factor);
    }

    static Duration spreadOf(Duration pause)
    {
        return std::clamp(scaled(pause, ReturnSpread), Duration(MinReturnSpread), Duration(MaxReturnSpread));
    }

    TimePoint m_lastEnd; ///< when all pauses have ended
    std::map<std::string, Pause> m_pauses; ///< by the server's id
};

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_SERVER_PAUSES_HPP
