#ifndef SNIPEVALVE_NODE_NODE_METRICS_HPP
#define SNIPEVALVE_NODE_NODE_METRICS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Counters and latency histograms of one process; written by the traffic thread, read for the metrics address.
class NodeMetrics
{
public:
    /// @param status the status that the caller got; 0 when its connection was closed without an answer
    void onRequest(unsigned status, Duration took);

    /// @brief Counts an event, e.g. `repeat` or `connection_opened`.
    void count(const std::string &event, std::uint64_t times = 1);

    /// @brief The metrics in the text format of Prometheus.
    std::string toText() const;

private:
    /// Upper bounds in ms; each is about 1.6 times the one before, from a fast lookup to the longest deadline.
    static constexpr std::array<int, 18> BucketsMs{5,   8,   13,  21,   34,   55,   90,   145,   235,
                                                   380, 600, 980, 1600, 2600, 4100, 6600, 10600, 17000};

    struct Histogram
    {
        std::array<std::uint64_t, BucketsMs.size() + 1> counts{};
        double sumMs = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Histogram> m_latencies; ///< by kind of outcome
    std::map<unsigned, std::uint64_t> m_statuses;
    std::map<std::string, std::uint64_t> m_events;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_NODE_METRICS_HPP
