#include "snipevalve/entry/traffic.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t IdlePerServer = 16;

} // namespace

Traffic::Traffic(asio::any_io_executor trafficExecutor, const Settings &trafficSettings, std::uint64_t seed)
    : executor(trafficExecutor)
    , settings(trafficSettings)
    , routing(std::make_shared<RoutingState>())
    , pool(trafficExecutor, trafficSettings.hostAddress, IdlePerServer)
    , m_random(seed)
    , m_idPrefix(trafficSettings.hostName + "-" + std::to_string(seed) + "-")
{
}

Awaitable<bool> Traffic::enter(ServerState &server, TimePoint deadline)
{
    const std::uint64_t ticket = ++m_lastTicket;
    const Admission admission = server.gate.arrive(ticket, deadline, Clock::now());
    if (admission != Admission::Wait) {
        co_return admission == Admission::Enter;
    }
    GateWaiter waiter{asio::steady_timer(executor, deadline)};
    server.waiters[ticket] = &waiter;
    ErrorCode error;
    co_await waiter.timer.async_wait(awaitInto(error));
    server.waiters.erase(ticket);
    if (!waiter.admitted) {
        server.gate.giveUp(ticket);
    }
    co_return waiter.admitted;
}

void Traffic::leave(ServerState &server, Duration took)
{
    auto next = server.gate.leave(took, Clock::now());
    if (!next) {
        return;
    }
    const auto waiter = server.waiters.find(*next);
    if (waiter != server.waiters.end()) {
        waiter->second->admitted = true;
        waiter->second->timer.cancel();
    }
}

ServerState &Traffic::stateOf(const Server &server)
{
    const auto found = m_servers.find(server.name);
    if (found != m_servers.end()) {
        return found->second;
    }
    ConcurrencyLimiterOptions options;
    const auto threads = static_cast<std::uint32_t>(settings.entryTrafficThreads);
    options.limit = std::max<std::uint32_t>(1, server.concurrency / threads);
    options.queueLength = settings.entryQueueLength;
    return m_servers.emplace(server.name, ServerState{ConcurrencyLimiter(options), OutlierDetector(), 0.0, {}, {}})
        .first->second;
}

RetryBudget &Traffic::budgetOf(const std::string &service)
{
    return m_budgets[service];
}

std::shared_ptr<const Server> Traffic::choose(const ServiceRouting &service)
{
    const TimePoint now = Clock::now();
    std::vector<ServerView> views;
    views.reserve(service.servers.size());
    bool anyFit = false;
    for (const auto &server : service.servers) {
        const ServerState &state = stateOf(*server);
        ServerView view;
        view.fit = !server->draining && !state.outlier.isEjected(now);
        view.outstanding = static_cast<double>(state.gate.inside()) + static_cast<double>(state.gate.waiting());
        view.reported = state.reportedLoad;
        view.reportedAt = state.reportedAt;
        view.concurrency = server->concurrency;
        anyFit = anyFit || view.fit;
        views.push_back(view);
    }
    // When all are ejected, the ejections tell nothing; any server that does not drain is tried.
    for (std::size_t index = 0; !anyFit && index < views.size(); ++index) {
        views[index].fit = !service.servers[index]->draining;
    }
    const auto chosen = m_choice.choose(views, m_random, now);
    return chosen ? service.servers[*chosen] : nullptr;
}

std::string Traffic::nextRequestId()
{
    return m_idPrefix + std::to_string(++m_lastRequest);
}

} // namespace snipevalve
