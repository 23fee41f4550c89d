#ifndef SNIPEVALVE_ENTRY_TRAFFIC_HPP
#define SNIPEVALVE_ENTRY_TRAFFIC_HPP

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/entry/metrics.hpp"
#include "snipevalve/entry/routing_state.hpp"
#include "snipevalve/net/upstream_pool.hpp"
#include "snipevalve/request/concurrency_limiter.hpp"
#include "snipevalve/request/outlier_detector.hpp"
#include "snipevalve/request/retry_budget.hpp"
#include "snipevalve/request/server_choice.hpp"
#include "snipevalve/settings/settings.hpp"

namespace snipevalve {

/// @brief A request that waits at a server's gate.
struct PermitWaiter
{
    asio::steady_timer timer;
    bool admitted = false;
};

/// @brief What one traffic thread knows of one server.
struct UpstreamState
{
    ConcurrencyLimiter limiter;
    OutlierDetector outlier;
    double reportedLoad = 0;
    TimePoint reportedAt;
    std::map<std::uint64_t, PermitWaiter *> waiters;
};

class Session;

/// @brief Everything that the requests of one traffic thread share. Only that thread touches it.
class TrafficThreadState
{
public:
    TrafficThreadState(asio::any_io_executor executor, const Settings &settings, std::uint64_t seed);

    /// @brief Waits at the server's gate. @return false when it is full or the deadline would pass
    Awaitable<bool> acquirePermit(UpstreamState &server, TimePoint deadline);
    void releasePermit(UpstreamState &server, Duration latency);

    UpstreamState &upstreamState(const Server &server);
    RetryBudget &retryBudget(const std::string &service);

    /// @brief Chooses a fit server of a pool; null when there is none.
    std::shared_ptr<const Server> chooseServer(const ServiceRouting &service);

    std::string nextRequestId();

    asio::any_io_executor executor;
    const Settings &settings;
    std::shared_ptr<const RoutingState> routing;
    UpstreamPool pool;
    EntryMetrics metrics;
    bool stopping = false;
    std::set<Session *> sessions; ///< open connections of callers
    std::atomic<std::size_t> sessionCount = 0;

private:
    std::map<std::string, UpstreamState> m_servers;
    std::map<std::string, RetryBudget> m_budgets;
    FeedbackChoice m_choice;
    Random m_random;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_lastRequestNumber = 0;
    std::string m_idPrefix;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_TRAFFIC_HPP
