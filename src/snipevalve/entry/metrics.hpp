#ifndef SNIPEVALVE_ENTRY_METRICS_HPP
#define SNIPEVALVE_ENTRY_METRICS_HPP

#include <cstdint>
#include <mutex>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "snipevalve/core/time.hpp"
#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

/// @brief Request counts and latencies of one traffic thread; the control thread reads them.
class EntryMetrics
{
public:
    EntryMetrics();

    /// @param latency from the arrival of the request header to the end of the response
    void onRequest(Outcome outcome, Duration latency, int retries);
    void onBadRequest();

    /// @brief Counts a request that was refused since too much is held for others.
    void onRefusedForMemory();

    /// @brief Counts a connection that gave way to others.
    void onTurnedAway();

    /// @brief The metrics as a JSON object; latencies in microseconds.
    std::string toJson() const;

private:
    using LatencyStats = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                   boost::accumulators::tag::max, boost::accumulators::tag::p_square_quantile>>;

    mutable std::mutex m_mutex;
    LatencyStats m_median;
    LatencyStats m_p99;
    std::uint64_t m_answered = 0;
    std::uint64_t m_notRun = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_badRequests = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refusedForMemory = 0;
    std::uint64_t m_turnedAway = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_METRICS_HPP
