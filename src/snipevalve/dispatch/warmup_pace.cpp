#include "snipevalve/dispatch/warmup_pace.hpp"

#include <algorithm>
#include <utility>

namespace snipevalve {

namespace {

/// Permits of this many seconds may reach a server within one second.
constexpr double BunchedSeconds = 2.0;
/// The lowest rate of a bucket whose share of the limit is at least one request: one in four seconds.
constexpr double MinRate = 0.25;
/// A server that has left the list for longer counts as a new one.
constexpr Milliseconds GoneRetention(60'000);
constexpr Milliseconds RefusedEventInterval(1'000);

} // namespace

void WarmupPace::setLimits(const WarmupLimits &limits, double share)
{
    if (limits == m_limits && share == m_share) {
        return;
    }
    m_limits = limits;
    m_share = share;
    const double limit = share * (limits.perSecond * limits.overage + limits.slack);
    if (limit < 1) {
        m_rate = 0;
        m_burst = 0;
        return;
    }
    m_rate = std::min(share * limits.perSecond, std::max(MinRate, (limit - 1) / BunchedSeconds));
    m_burst = std::clamp(limit - BunchedSeconds * m_rate, 1.0, std::max(1.0, share * limits.perSecond));
}

double WarmupPace::tokensOf(const Server &server, TimePoint now) const
{
    return std::min(m_burst, server.tokens + m_rate * Seconds(now - server.tokensAt).count());
}

/// @param isQuiet whether the server has certainly had no request for a second
void WarmupPace::startPacing(Server &server, bool isQuiet, TimePoint now)
{
    // The first token comes after a second, unless the server was quiet.
    server.tokens = isQuiet ? m_burst : 1.0 - m_rate;
    server.tokensAt = now;
    server.pacedSince = now;
}

void WarmupPace::report(Server &server, const UpstreamServer &entry, bool isQuiet, TimePoint now)
{
    const bool wasCold = now < server.coldUntil();
    if (entry.warmupLeft != server.reported && entry.warmupLeft.count() > 0) {
        server.reportedUntil = now + entry.warmupLeft + m_limits.heartbeat;
    } else if (entry.warmupLeft != server.reported) {
        server.reportedUntil = now; // the entry has counted down to the end
    }
    server.reported = entry.warmupLeft;
    m_noneColdFrom = std::max(m_noneColdFrom, server.reportedUntil);
    if (!wasCold && now < server.coldUntil()) {
        startPacing(server, isQuiet, now);
    }
}

void WarmupPace::assumeCold(Server &server, TimePoint now)
{
    server.assumedUntil = std::max(server.assumedUntil, now + m_limits.time);
    server.assumedAt = now;
    m_noneColdFrom = std::max(m_noneColdFrom, server.assumedUntil);
}

void WarmupPace::setServers(const std::vector<UpstreamServer> &servers, TimePoint now)
{
    std::map<std::string, Server> previous = std::exchange(m_servers, {});
    for (const UpstreamServer &entry : servers) {
        const auto known = previous.find(entry.id);
        const bool isNew = known == previous.end() || known->second.incarnation != entry.incarnation;
        Server &server = m_servers[entry.id];
        if (isNew) {
            server.incarnation = entry.incarnation;
            server.isEvacuated = entry.evacuated;
            report(server, entry, m_hasList, now);
        } else {
            server = std::move(known->second);
            const bool returns = server.goneSince.has_value() || (server.isEvacuated && !entry.evacuated);
            server.goneSince.reset();
            server.isEvacuated = entry.evacuated;
            if (returns) {
                const bool wasCold = now < server.coldUntil();
                assumeCold(server, now);
                if (!wasCold) {
                    startPacing(server, true, now);
                }
            }
            report(server, entry, false, now);
        }
        previous.erase(entry.id);
        noteState(entry.id, server, now);
    }
    for (auto &[id, server] : previous) {
        server.goneSince = server.goneSince.value_or(now);
        if (now - *server.goneSince < GoneRetention) {
            m_servers.emplace(id, std::move(server));
        }
    }
    m_hasList = m_hasList || !servers.empty();
}

void WarmupPace::advance(TimePoint readAt, TimePoint now)
{
    for (auto &[id, server] : m_servers) {
        if (now < server.assumedUntil && readAt >= server.assumedAt + m_limits.heartbeat + EntryLag) {
            server.assumedUntil = now;
        }
        noteState(id, server, now);
    }
}

void WarmupPace::noteState(const std::string &id, Server &server, TimePoint now)
{
    const bool isCold = now < server.coldUntil() && m_limits.perSecond > 0;
    if (isCold == server.wasCold) {
        return;
    }
    server.wasCold = isCold;
    const auto left = isCold ? std::chrono::duration_cast<Milliseconds>(server.coldUntil() - now) : Milliseconds(0);
    m_events.push_back({isCold ? WarmupEvent::Kind::Cold : WarmupEvent::Kind::Warm, id, left,
                        isCold && server.reportedUntil <= now, 0});
}

const WarmupPace::Server *WarmupPace::coldServer(const std::string &id, TimePoint now) const
{
    if (!mayAnyBeCold(now)) {
        return nullptr;
    }
    const auto known = m_servers.find(id);
    return known != m_servers.end() && now < known->second.coldUntil() ? &known->second : nullptr;
}

bool WarmupPace::isCold(const std::string &server, TimePoint now) const
{
    return coldServer(server, now) != nullptr;
}

bool WarmupPace::admits(const std::string &server, TimePoint now) const
{
    const Server *cold = coldServer(server, now);
    return cold == nullptr || tokensOf(*cold, now) >= 1;
}

Seconds WarmupPace::wait(const std::string &server, TimePoint now) const
{
    const Server *cold = coldServer(server, now);
    if (cold == nullptr) {
        return Seconds(0);
    }
    const Seconds untilWarm = cold->coldUntil() - now;
    return m_rate <= 0 ? untilWarm : std::min(untilWarm, Seconds(std::max(0.0, (1 - tokensOf(*cold, now)) / m_rate)));
}

std::optional<double> WarmupPace::capacity(const std::string &server, TimePoint now) const
{
    constexpr double MinCapacity = 0.01; ///< of a host that may send nothing; a request then waits until it is warm
    if (coldServer(server, now) == nullptr) {
        return std::nullopt;
    }
    return std::max(MinCapacity, m_rate * m_meanWork.count());
}

void WarmupPace::onSent(const std::string &server, Seconds work, TimePoint now)
{
    constexpr double Weight = 0.02;
    m_meanWork += Weight * (work - m_meanWork);
    const auto known = m_servers.find(server);
    if (known != m_servers.end() && now < known->second.coldUntil()) {
        known->second.tokens = tokensOf(known->second, now) - 1;
        known->second.tokensAt = now;
    }
}

/// A server that fails several requests in a row may have restarted. Only a dispatcher that counts for all hosts
/// assumes so: a host whose own link was cut sees the same, and its reads of the store tell it nothing sooner.
void WarmupPace::onFailure(const std::string &server, bool isSent, TimePoint placedAt, TimePoint now)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end() && !isSent && placedAt >= known->second.pacedSince
        && now < known->second.coldUntil()) {
        known->second.tokens = tokensOf(known->second, now) + 1;
        known->second.tokensAt = now;
    }
    if (known == m_servers.end() || m_limits.perSecond <= 0 || m_share < 1) {
        return;
    }
    Server &failed = known->second;
    if (++failed.failures < SuspectFailures) {
        return;
    }
    const bool wasCold = now < failed.coldUntil();
    assumeCold(failed, now);
    if (!wasCold) {
        startPacing(failed, false, now);
    }
    noteState(server, failed, now);
}

void WarmupPace::onAnswer(const std::string &server)
{
    const auto known = m_servers.find(server);
    if (known != m_servers.end()) {
        known->second.failures = 0;
    }
}

void WarmupPace::onRefused(const std::string &server, TimePoint now)
{
    const auto known = m_servers.find(server);
    if (known == m_servers.end() || !isCold(server, now)) {
        return;
    }
    ++known->second.refused;
    if (now - known->second.refusedAt >= RefusedEventInterval) {
        known->second.refusedAt = now;
        const auto left = std::chrono::duration_cast<Milliseconds>(known->second.coldUntil() - now);
        m_events.push_back({WarmupEvent::Kind::Limited, server, left, false, std::exchange(known->second.refused, 0)});
    }
}

std::vector<WarmupEvent> WarmupPace::takeEvents()
{
    return std::exchange(m_events, {});
}

} // namespace snipevalve
