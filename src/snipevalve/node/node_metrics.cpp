#include "snipevalve/node/node_metrics.hpp"

#include <algorithm>
#include <sstream>

namespace snipevalve {

namespace {

constexpr unsigned StatusClassSize = 100;

std::string outcomeOf(unsigned status)
{
    return status == 0 ? "closed" : std::to_string(status / StatusClassSize) + "xx";
}

} // namespace

void NodeMetrics::onRequest(unsigned status, Duration took)
{
    const double ms = std::chrono::duration<double, std::milli>(took).count();
    const auto bucket = std::lower_bound(BucketsMs.begin(), BucketsMs.end(), ms) - BucketsMs.begin();
    const std::lock_guard lock(m_mutex);
    Histogram &histogram = m_latencies[outcomeOf(status)];
    ++histogram.counts[static_cast<std::size_t>(bucket)];
    histogram.sumMs += ms;
    ++m_statuses[status];
}

void NodeMetrics::count(const std::string &event, std::uint64_t times)
{
    const std::lock_guard lock(m_mutex);
    m_events[event] += times;
}

void NodeMetrics::setLevel(const std::string &name, std::uint64_t value)
{
    const std::lock_guard lock(m_mutex);
    m_levels[name] = value;
}

std::string NodeMetrics::toText() const
{
    const std::lock_guard lock(m_mutex);
    std::ostringstream text;
    for (const auto &[status, count] : m_statuses) {
        text << "snipevalve_requests_total{status=\"" << status << "\"} " << count << "\n";
    }
    for (const auto &[event, count] : m_events) {
        text << "snipevalve_events_total{event=\"" << event << "\"} " << count << "\n";
    }
    for (const auto &[name, value] : m_levels) {
        text << "snipevalve_" << name << " " << value << "\n";
    }
    for (const auto &[outcome, histogram] : m_latencies) {
        std::uint64_t sum = 0;
        for (std::size_t at = 0; at < histogram.counts.size(); ++at) {
            sum += histogram.counts[at];
            const std::string bound = at < BucketsMs.size() ? std::to_string(BucketsMs[at]) : "+Inf";
            text << "snipevalve_latency_ms_bucket{outcome=\"" << outcome << "\",le=\"" << bound << "\"} " << sum
                 << "\n";
        }
        text << "snipevalve_latency_ms_sum{outcome=\"" << outcome << "\"} " << histogram.sumMs << "\n";
        text << "snipevalve_latency_ms_count{outcome=\"" << outcome << "\"} " << sum << "\n";
    }
    return text.str();
}

} // namespace snipevalve
