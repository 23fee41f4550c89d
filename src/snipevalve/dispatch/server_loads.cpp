#include "snipevalve/dispatch/server_loads.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

/// Weight of a report in the mean, once there are fifty: five seconds of a busy server.
constexpr double MeanWeight = 0.02;
/// Weight of an answer in what was seen of fast and slow phases.
constexpr double SeenWeight = 0.1;
/// Deviations from the mean below this are no phase of their own.
constexpr double PhaseMargin = 0.05;
constexpr double MaxSeen = 30.0;

} // namespace

void LoadReports::add(const ServerLoad &load, unsigned known, TimePoint now)
{
    ++m_count;
    m_reports[m_count % MaxReports] = {now, load.slowdown};
    const double weight = std::max(MeanWeight, 1.0 / static_cast<double>(m_count));
    m_mean += weight * (load.slowdown - m_mean);
    m_unknown = std::max(0.0, static_cast<double>(load.running) + load.waiting - known);
}

void LoadReports::observe(double ratio)
{
    if (m_count == 0) {
        return;
    }
    const double told = relative(latest());
    if (told < 1.0 - PhaseMargin) {
        m_seenWhenFast += SeenWeight * (std::min(ratio, MaxSeen) - m_seenWhenFast);
    } else if (told > 1.0 + PhaseMargin) {
        m_seenWhenSlow += SeenWeight * (std::min(ratio, MaxSeen) - m_seenWhenSlow);
    }
}

double LoadReports::weightAt(Duration age)
{
    return std::clamp(1.0 - Seconds(age) / Seconds(Lifetime), 0.0, 1.0);
}

const LoadReports::Report &LoadReports::latest() const
{
    return m_reports[m_count % MaxReports];
}

double LoadReports::relative(const Report &report) const
{
    return report.slowdown / m_mean;
}

/// What a report counts for in a choice.
double LoadReports::believed(const Report &report) const
{
    const double told = relative(report);
    return told >= 1.0 ? told : std::max(told, std::min(1.0, m_seenWhenFast));
}

/// What a report counts for when the server's usual speed is learned from an answer: no more than the answers show,
/// for otherwise a false report would make the server look faster than it is.
double LoadReports::confirmed(const Report &report) const
{
    return std::min(believed(report), std::max(1.0, m_seenWhenSlow));
}

bool LoadReports::isFresh(TimePoint now) const
{
    return m_count > 0 && now - latest().at < Lifetime;
}

double LoadReports::factor(TimePoint now) const
{
    return isFresh(now) ? 1.0 + weightAt(now - latest().at) * (believed(latest()) - 1.0) : 1.0;
}

Seconds LoadReports::timeOf(Seconds usual, TimePoint now) const
{
    if (!isFresh(now)) {
        return usual;
    }
    const double present = factor(now);
    const Seconds phaseLeft = Seconds(Lifetime - (now - latest().at)) / 2; // its mean, if the report still holds
    const Seconds whole = usual * present;
    return whole <= phaseLeft ? whole : phaseLeft + usual - phaseLeft / present;
}

Duration LoadReports::usualTime(TimePoint from, TimePoint to) const
{
    if (m_count == 0 || latest().at + Lifetime <= from) {
        return to - from;
    }
    // Each report holds from the middle between the previous one and itself, but for no longer than half its lifetime
    // before it, up to the middle to the next one or half its lifetime.
    Seconds deviation(0); // of the usual time from the real one
    const std::size_t kept = std::min(m_count, MaxReports);
    TimePoint end = std::min(to, latest().at + Lifetime / 2);
    for (std::size_t back = 0; back < kept && end > from; ++back) {
        const Report &report = m_reports[(m_count - back) % MaxReports];
        TimePoint begin = report.at - Lifetime / 2;
        const bool hasEarlier = back + 1 < kept;
        const TimePoint earlier = hasEarlier ? m_reports[(m_count - back - 1) % MaxReports].at : begin;
        if (hasEarlier) {
            begin = std::max(begin, earlier + (report.at - earlier) / 2);
        }
        const TimePoint first = std::max(begin, from);
        if (first < end) {
            deviation += Seconds(end - first) * (1.0 / confirmed(report) - 1.0);
        }
        end = std::min(begin, earlier + Lifetime / 2);
    }
    return to - from + std::chrono::duration_cast<Duration>(deviation);
}

double LoadReports::unknownRequests(TimePoint now) const
{
    return isFresh(now) ? m_unknown * weightAt(now - latest().at) : 0.0;
}

} // namespace snipevalve
