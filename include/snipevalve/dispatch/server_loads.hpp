#ifndef SNIPEVALVE_DISPATCH_SERVER_LOADS_HPP
#define SNIPEVALVE_DISPATCH_SERVER_LOADS_HPP

#include <array>
#include <cstddef>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/gateway/server_load.hpp"

namespace snipevalve {

/// @brief What one server has recently said of its load, as far as it may be believed. No I/O, threads or clock.
///
/// Slowdowns are taken relative to the mean of the server's own reports: its usual speed is learned from its answers,
/// and a report only tells the deviation from it at this moment. A server that always reports the same thus changes
/// nothing. A deviation towards slower is believed while the report is fresh. One towards faster is believed only as
/// far as the answers that came with such reports were faster.
class LoadReports
{
public:
    /// Reports count less and less, and from this age on not at all. Machines turn slow for 400 ms at a time, so after
    /// that time a report tells nothing of the present.
    static constexpr Milliseconds Lifetime{400};

    /// @brief Notes a report.
    /// @param known how many requests are known to be at the server, with the one whose answer brings the report
    void add(const ServerLoad &load, unsigned known, TimePoint now);

    /// @brief Notes how long an answer took that came with the latest report.
    /// @param ratio its service time, divided by the one that is expected at the server's usual speed
    void observe(double ratio);

    /// @brief How much longer than usual work takes at this moment. 1 without a fresh report.
    double factor(TimePoint now) const;

    /// @brief How long work takes that starts now and usually takes `usual`. A short request feels a momentary slowdown
    /// all the way, a long one only at its beginning.
    Seconds timeOf(Seconds usual, TimePoint now) const;

    /// @brief How long the work that was done from `from` to `to` usually takes.
    Duration usualTime(TimePoint from, TimePoint to) const;

    /// @brief How many requests the server has beyond those that were known at the time of its latest report.
    double unknownRequests(TimePoint now) const;

    /// @brief Whether there is a report that still counts.
    bool isFresh(TimePoint now) const;

private:
    struct Report
    {
        TimePoint at;
        double slowdown = 1.0;
    };

    /// Reports that are kept to tell how fast the server was during a request: those of one second, usually.
    static constexpr std::size_t MaxReports = 8;
    static constexpr double InitialSeenWhenSlow = 3.0;

    static double weightAt(Duration age);
    const Report &latest() const;
    double relative(const Report &report) const;
    double believed(const Report &report) const;
    double confirmed(const Report &report) const;

    std::array<Report, MaxReports> m_reports; ///< a ring
    std::size_t m_count = 0; ///< of all reports so far
    double m_mean = 1.0; ///< of the reported slowdowns
    double m_unknown = 0; ///< as of the latest report
    double m_seenWhenFast = 1.0; ///< mean ratio of the answers with a report of being faster than usual
    double m_seenWhenSlow = InitialSeenWhenSlow; ///< the same for slower than usual; believed until answers tell
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SERVER_LOADS_HPP
