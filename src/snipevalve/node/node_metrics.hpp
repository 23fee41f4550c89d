#ifndef SNIPEVALVE_NODE_NODE_METRICS_HPP
#define SNIPEVALVE_NODE_NODE_METRICS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Counters and latency histograms of one process. Thread-safe: the traffic thread writes, the metrics endpoint
/// reads.
class NodeMetrics
{
public:
    /// @brief Counts a request that has ended.
    /// @param status sent to the caller; 0 when the connection was closed without an answer
    /// @param took time from arrival to the end
    void onRequest(unsigned status, Duration took);

    /// @brief Counts an event, e.g. `answer_cut` or `connection_opened`.
    void count(const std::string &event, std::uint64_t times = 1);

    /// @brief Sets a value that goes up and down, e.g. `held_bytes_bodies`.
    void setLevel(const std::string &name, std::uint64_t value);

    /// @return the metrics in the Prometheus text format
    std::string toText() const;

private:
    /// Upper bounds in ms, from a fast lookup to the longest deadline; each is about 1.6 times the previous one.
    static constexpr std::array<int, 18> BucketsMs{5,   8,   13,  21,   34,   55,   90,   145,   235,
                                                   380, 600, 980, 1600, 2600, 4100, 6600, 10600, 17000};

    struct Histogram
    {
        std::array<std::uint64_t, BucketsMs.size() + 1> counts{};
        double sumMs = 0;
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Histogram> m_latencies; ///< by class of status, e.g. `2xx`, or `closed`
    std::map<unsigned, std::uint64_t> m_statuses; ///< number of requests by status
    std::map<std::string, std::uint64_t> m_events;
    std::map<std::string, std::uint64_t> m_levels;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_NODE_METRICS_HPP
