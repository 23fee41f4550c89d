#include "snipevalve/placement_app/load_book.hpp"

#include "snipevalve/routing/slot_load.hpp"

namespace snipevalve {

namespace {

constexpr double NewShare = 0.3; ///< weight of the newest report in the smoothed load

} // namespace

void LoadBook::apply(const Item &item)
{
    const auto hash = item.key.name.find('#');
    if (hash == std::string::npos) {
        return;
    }
    const std::vector<std::uint32_t> counts = decodeSlotCounts(item.payload);
    std::vector<double> &smoothed = m_reports[item.key.name.substr(hash + 1)][item.key.name.substr(0, hash)];
    smoothed.resize(counts.size(), 0.0);
    for (std::size_t slot = 0; slot < counts.size(); ++slot) {
        smoothed[slot] = (1.0 - NewShare) * smoothed[slot] + NewShare * counts[slot];
    }
}

const std::map<std::string, std::vector<double>> &LoadBook::loads()
{
    m_sums.clear();
    for (const auto &[group, reports] : m_reports) {
        std::vector<double> &sum = m_sums[group];
        for (const auto &[reporter, smoothed] : reports) {
            sum.resize(std::max(sum.size(), smoothed.size()), 0.0);
            for (std::size_t slot = 0; slot < smoothed.size(); ++slot) {
                sum[slot] += smoothed[slot];
            }
        }
    }
    return m_sums;
}

} // namespace snipevalve
