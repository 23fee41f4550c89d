#ifndef SNIPEVALVE_ENTRY_TRAFFIC_THREAD_STATE_HPP
#define SNIPEVALVE_ENTRY_TRAFFIC_THREAD_STATE_HPP

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/entry/metrics.hpp"
#include "snipevalve/entry/routing_state.hpp"
#include "snipevalve/net/memory_account.hpp"
#include "snipevalve/net/upstream_pool.hpp"
#include "snipevalve/request/concurrency_limiter.hpp"
#include "snipevalve/request/outlier_detector.hpp"
#include "snipevalve/request/retry_budget.hpp"
#include "snipevalve/request/server_choice.hpp"
#include "snipevalve/settings/settings.hpp"

namespace snipevalve {

/// @brief A request queued for a permit of a server's concurrency limiter.
struct PermitWaiter
{
    asio::steady_timer timer;
    bool admitted = false;
};

/// @brief A traffic thread's state of one server.
struct UpstreamState
{
    ConcurrencyLimiter limiter;
    OutlierDetector outlier;
    double reportedLoad = 0;
    TimePoint reportedAt;
    std::map<std::uint64_t, PermitWaiter *> waiters;
    std::set<MemoryHolder *> uploads; ///< of the callers whose bodies are being passed on to it
};

class Session;

/// @brief The state that all requests of a traffic thread share. Not thread-safe: only that thread uses it, apart from
/// `metrics` and `sessionCount`, which other threads may read.
class TrafficThreadState
{
public:
    TrafficThreadState(asio::any_io_executor executor, const Settings &settings, std::uint64_t seed);

    /// @brief Waits for a permit to send a request to the server. Meanwhile, uploads to it that are stalled are turned
    /// away, as each takes a permit.
    /// @return false when the queue is full or the deadline would pass while waiting
    Awaitable<bool> acquirePermit(UpstreamState &server, TimePoint deadline);

    /// @brief Returns the permit and hands it to the next request in the queue.
    /// @param latency how long the permit was held
    void releasePermit(UpstreamState &server, Duration latency);

    UpstreamState &upstreamState(const Server &server);
    RetryBudget &retryBudget(const std::string &service);

    /// @brief Chooses a usable server of a pool; null when there is none.
    std::shared_ptr<const Server> chooseServer(const ServiceRouting &service);

    std::string nextRequestId();

    asio::any_io_executor executor;
    const Settings &settings;
    std::shared_ptr<const RoutingState> routing;
    UpstreamPool pool;
    EntryMetrics metrics;
    MemoryAccount memory; ///< this thread's share of what the process holds for callers and servers
    bool stopping = false;
    std::set<Session *> sessions; ///< one per open connection of a caller
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

#endif // SNIPEVALVE_ENTRY_TRAFFIC_THREAD_STATE_HPP
