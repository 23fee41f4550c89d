#ifndef SNIPEVALVE_NODE_GATEWAY_TRAFFIC_HPP
#define SNIPEVALVE_NODE_GATEWAY_TRAFFIC_HPP

#include <atomic>
#include <memory>
#include <random>
#include <set>

#include "snipevalve/gateway/logged_headers.hpp"
#include "snipevalve/net/memory_account.hpp"
#include "snipevalve/net/upstream_pool.hpp"
#include "snipevalve/node/descriptor_shares.hpp"
#include "snipevalve/node/gateway_request.hpp"
#include "snipevalve/node/node_metrics.hpp"
#include "snipevalve/node/placements.hpp"
#include "snipevalve/node/retry_age_estimator.hpp"
#include "snipevalve/node/upstream_exchange.hpp"

namespace snipevalve {

class GatewaySession;

/// @brief Adds an amount to a total and subtracts it again on destruction.
class ScopedAddition
{
public:
    ScopedAddition(std::size_t &total, std::size_t amount)
        : m_total(total)
        , m_amount(amount)
    {
        m_total += m_amount;
    }

    ~ScopedAddition()
    {
        m_total -= m_amount;
    }

    ScopedAddition(const ScopedAddition &) = delete;
    ScopedAddition &operator=(const ScopedAddition &) = delete;

private:
    std::size_t &m_total;
    std::size_t m_amount;
};

/// @brief The times of a planned stop; in the far future unless the node is stopping.
struct StopTimes
{
    TimePoint lastAnswerAt = TimePoint::max(); ///< when servers that have not answered are given up
    /// Requests that come later are only sent if their own time limit ends before `lastAnswerAt`.
    TimePoint lastUnboundedAt = TimePoint::max();
};

/// @brief State that all connections of the traffic thread share. Only that thread may access it, except for the
/// metrics, `sessionCount` and Placements::needsStoreViews().
struct GatewayTraffic
{
    /// Idle connections kept open to each server; servers run 2 to 4 requests at once.
    static constexpr std::size_t IdleConnectionsPerServer = 4;

    GatewayTraffic(asio::any_io_executor traffic, const NodeSettings &nodeSettings, const HeaderNames &headerNames,
                   ServerNoticeParser noticeParser, std::uint64_t seed)
        : executor(traffic)
        , settings(nodeSettings)
        , names(headerNames)
        , parseServerNotice(noticeParser)
        , pool(traffic, nodeSettings.address, IdleConnectionsPerServer)
        , placements(traffic, nodeSettings, seed)
        , random(seed)
        , memory(MemoryAccountOptions::forProcess(nodeSettings.memoryBytes,
                                                  DescriptorShares(nodeSettings.maxDescriptors).callers(0)))
    {
    }

    asio::any_io_executor executor;
    const NodeSettings &settings;
    const HeaderNames &names;
    ServerNoticeParser parseServerNotice;
    std::shared_ptr<const GatewayConfig> config; ///< null until the first configuration arrives
    UpstreamPool pool;
    Placements placements;
    NodeMetrics metrics;
    LoggedHeaders loggedHeaders;
    std::mt19937_64 random;
    MemoryAccount memory; ///< what is held for callers and servers
    std::set<GatewaySession *> sessions; ///< open connections of callers
    std::atomic<std::size_t> sessionCount = 0; ///< size of `sessions`, for other threads; a shutdown must not miss one
    RetryAgeEstimator retryAges;
    std::size_t bufferedAnswers = 0; ///< number of sends whose answers are being buffered
    bool stopping = false; ///< connections are closed after their next answer
    StopTimes stopTimes;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_TRAFFIC_HPP
