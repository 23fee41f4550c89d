#include "snipevalve/entry/traffic_thread_state.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

constexpr std::size_t MaxIdlePerServer = 16;
constexpr Milliseconds StalledUploadInterval(250); ///< how often a request that waits looks for stalled uploads

/// The threads share the process's memory equally, since each can only turn away its own connections.
MemoryAccountOptions shareOf(const Settings &settings)
{
    const std::uint64_t memory = (settings.entryMemoryMb << 20) / settings.entryTrafficThreads;
    const std::uint64_t connections = settings.entryMaxConnections / settings.entryTrafficThreads;
    return MemoryAccountOptions::forProcess(memory, std::max<std::uint64_t>(1, connections));
}

void turnAwayStalledUploads(UpstreamState &server)
{
    for (MemoryHolder *holder : server.uploads) {
        holder->turnAwayIfStalled(Clock::now());
    }
}

} // namespace

TrafficThreadState::TrafficThreadState(asio::any_io_executor threadExecutor, const Settings &threadSettings,
                                       std::uint64_t seed)
    : executor(threadExecutor)
    , settings(threadSettings)
    , routing(std::make_shared<RoutingState>())
    , pool(threadExecutor, threadSettings.hostAddress, MaxIdlePerServer)
    , memory(shareOf(threadSettings))
    , m_random(seed)
    , m_idPrefix(threadSettings.hostName + "-" + std::to_string(seed) + "-")
{
}

Awaitable<bool> TrafficThreadState::acquirePermit(UpstreamState &server, TimePoint deadline)
{
    const std::uint64_t ticket = ++m_lastTicket;
    const Admission admission = server.limiter.admit(ticket, deadline, Clock::now());
    if (admission == Admission::Enter) {
        co_return true;
    }
    turnAwayStalledUploads(server);
    if (admission != Admission::Wait) {
        co_return false;
    }
    PermitWaiter waiter{asio::steady_timer(executor)};
    server.waiters[ticket] = &waiter;
    ErrorCode error;
    while (!waiter.admitted && Clock::now() < deadline) {
        waiter.timer.expires_at(std::min(deadline, Clock::now() + StalledUploadInterval));
        co_await waiter.timer.async_wait(awaitInto(error));
        if (!waiter.admitted) {
            turnAwayStalledUploads(server);
        }
    }
    server.waiters.erase(ticket);
    if (!waiter.admitted) {
        server.limiter.cancel(ticket);
    }
    co_return waiter.admitted;
}

void TrafficThreadState::releasePermit(UpstreamState &server, Duration latency)
{
    auto next = server.limiter.release(latency, Clock::now());
    if (!next) {
        return;
    }
    const auto waiter = server.waiters.find(*next);
    if (waiter != server.waiters.end()) {
        waiter->second->admitted = true;
        waiter->second->timer.cancel();
    }
}

UpstreamState &TrafficThreadState::upstreamState(const Server &server)
{
    const auto found = m_servers.find(server.name);
    if (found != m_servers.end()) {
        return found->second;
    }
    ConcurrencyLimiterOptions options;
    const auto threads = static_cast<std::uint32_t>(settings.entryTrafficThreads);
    options.limit = std::max<std::uint32_t>(1, server.concurrency / threads);
    options.queueLength = settings.entryQueueLength;
    return m_servers.emplace(server.name, UpstreamState{ConcurrencyLimiter(options), OutlierDetector(), 0.0, {}, {}})
        .first->second;
}

RetryBudget &TrafficThreadState::retryBudget(const std::string &service)
{
    return m_budgets[service];
}

std::shared_ptr<const Server> TrafficThreadState::chooseServer(const ServiceRouting &service)
{
    const TimePoint now = Clock::now();
    std::vector<ServerView> views;
    views.reserve(service.servers.size());
    bool anyFit = false;
    for (const auto &server : service.servers) {
        const UpstreamState &state = upstreamState(*server);
        ServerView view;
        view.fit = !server->draining && !state.outlier.isEjected(now);
        view.outstanding = static_cast<double>(state.limiter.admitted()) + static_cast<double>(state.limiter.waiting());
        view.reported = state.reportedLoad;
        view.reportedAt = state.reportedAt;
        view.concurrency = server->concurrency;
        anyFit = anyFit || view.fit;
        views.push_back(view);
    }
    // If every server is ejected, ejections no longer tell good servers from bad: fall back to all that are not
    // draining.
    for (std::size_t index = 0; !anyFit && index < views.size(); ++index) {
        views[index].fit = !service.servers[index]->draining;
    }
    const auto chosen = m_choice.choose(views, m_random, now);
    return chosen ? service.servers[*chosen] : nullptr;
}

std::string TrafficThreadState::nextRequestId()
{
    return m_idPrefix + std::to_string(++m_lastRequestNumber);
}

} // namespace snipevalve
