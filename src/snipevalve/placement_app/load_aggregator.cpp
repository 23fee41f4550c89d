#include "snipevalve/placement_app/load_aggregator.hpp"

#include <algorithm>

#include "snipevalve/routing/slot_load.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds ReportLifetime(10'000); ///< a reporter that has been silent for longer is left out
constexpr double SmoothingFactor = 0.3; ///< weight of the newest report in the smoothed load

} // namespace

void LoadAggregator::apply(const Item &item, TimePoint now)
{
    const auto hash = item.key.name.find('#');
    if (hash == std::string::npos) {
        return;
    }
    const std::vector<std::uint32_t> counts = decodeSlotCounts(item.payload);
    Report &report = m_reports[item.key.name.substr(hash + 1)][item.key.name.substr(0, hash)];
    report.receivedAt = now;
    std::vector<double> &smoothed = report.smoothed;
    smoothed.resize(counts.size(), 0.0);
    for (std::size_t slot = 0; slot < counts.size(); ++slot) {
        smoothed[slot] = (1.0 - SmoothingFactor) * smoothed[slot] + SmoothingFactor * counts[slot];
    }
}

std::vector<double> LoadAggregator::loadsOf(const std::string &group, TimePoint now) const
{
    std::vector<double> sum;
    const auto reports = m_reports.find(group);
    if (reports == m_reports.end()) {
        return sum;
    }
    for (const auto &[reporter, report] : reports->second) {
        if (now - report.receivedAt > ReportLifetime) {
            continue;
        }
        sum.resize(std::max(sum.size(), report.smoothed.size()), 0.0);
        for (std::size_t slot = 0; slot < report.smoothed.size(); ++slot) {
            sum[slot] += report.smoothed[slot];
        }
    }
    return sum;
}

} // namespace snipevalve
