#include "snipevalve/ownership/first_keys.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

/// A server with less than these parts of a mean share of the keys and of the load counts as one without keys: a few
/// keys that were hot once leave it without requests.
constexpr double TokenWidthShare = 0.125;
constexpr double TokenLoadShare = 0.1;
/// A key with this part of a server's mean load is hot, if it had several requests lately.
constexpr double HotLoadShare = 0.25;
constexpr double HotRequests = 3.0;
/// A part of the first keys brings at most this share of a server's mean load: the new owner may be cold or slow.
constexpr double MaxLoadShare = 0.5;
/// A server with little room, as a cold one, gets narrower parts, down to this share of the mean number of keys.
constexpr double MinWidthShare = 0.04;
/// A donor keeps at least this part of its keys and of its load.
constexpr double KeptShare = 0.5;
/// Windows are compared at distances of this part of their width.
constexpr std::uint32_t StepsPerWidth = 8;

} // namespace

FirstKeysSearch::FirstKeysSearch(const std::vector<float> &loads, std::uint32_t keys, std::size_t servers,
                                 double requestLoad)
    : m_loadBefore(loads.size() + 1, 0.0)
    , m_hotBefore(loads.size() + 1, 0)
{
    double sum = 0;
    for (std::size_t key = 0; key < loads.size(); ++key) {
        sum += loads[key];
        m_loadBefore[key + 1] = sum;
    }
    const auto count = static_cast<double>(std::max<std::size_t>(1, servers));
    m_meanLoad = sum / count;
    m_meanWidth = std::max(1U, static_cast<std::uint32_t>(keys / count));
    const double hotLoad = std::max(HotLoadShare * m_meanLoad, HotRequests * requestLoad);
    for (std::size_t key = 0; key < loads.size(); ++key) {
        m_hotBefore[key + 1] = m_hotBefore[key] + (loads[key] >= hotLoad ? 1 : 0);
    }
}

bool FirstKeysSearch::isNeeded(std::uint32_t keys, double load) const
{
    return keys < TokenWidthShare * m_meanWidth && load < TokenLoadShare * m_meanLoad;
}

double FirstKeysSearch::loadOf(std::uint32_t from, std::uint32_t end) const
{
    return m_loadBefore[end] - m_loadBefore[from];
}

/// Narrows the parts until one fits, or else takes the lightest one of the first donor that has any.
std::optional<FirstKeys> FirstKeysSearch::find(const std::vector<KeyDonor> &donors, const std::string &server,
                                               double room, const RecentOwners &recent) const
{
    std::optional<FirstKeys> lightest;
    for (double share = WidthShare; share >= MinWidthShare; share /= 2) {
        const auto width = std::max(1U, static_cast<std::uint32_t>(share * m_meanWidth));
        if (const auto fitting = findFitting(donors, server, width, room, recent, lightest)) {
            return fitting;
        }
    }
    return lightest;
}

/// The window without hot keys that has the most load within the limit, of the first donor that has one.
/// @param lightest the lightest window of the first donor that has a bearable one, with or without hot keys
std::optional<FirstKeys> FirstKeysSearch::findFitting(const std::vector<KeyDonor> &donors, const std::string &server,
                                                      std::uint32_t wanted, double room, const RecentOwners &recent,
                                                      std::optional<FirstKeys> &lightest) const
{
    const double maxLoad = std::min(room, MaxLoadShare * m_meanLoad);
    for (const KeyDonor &donor : donors) {
        std::uint32_t owned = 0;
        for (const KeyRange &range : donor.ranges) {
            owned += range.size();
        }
        const std::uint32_t mayGive = std::min(wanted, static_cast<std::uint32_t>((1.0 - KeptShare) * owned));
        std::optional<FirstKeys> best;
        for (const KeyRange &range : recent.without(donor.ranges, server)) {
            const std::uint32_t width = std::min(mayGive, range.size());
            if (width == 0 || width < MinWidthShare * m_meanWidth) {
                continue; // so few keys would get hardly any request
            }
            const std::uint32_t end = range.from + range.size();
            for (std::uint32_t from = range.from; from + width <= end; from += std::max(1U, width / StepsPerWidth)) {
                const double load = loadOf(from, from + width);
                const bool hasHotKeys = m_hotBefore[from + width] > m_hotBefore[from];
                const FirstKeys window{
                    {static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(from + width - 1)}, donor.id, load};
                if (!hasHotKeys && load > 0 && load <= maxLoad && (!best || load > best->load)) {
                    best = window;
                }
                const bool isBearable = load > 0 && load <= std::max(room, (1.0 - KeptShare) * donor.load);
                const bool isLighter = lightest && lightest->from == donor.id && load < lightest->load;
                if (isBearable && (!lightest || isLighter)) {
                    lightest = window;
                }
            }
        }
        if (best) {
            return best;
        }
    }
    return std::nullopt;
}

} // namespace snipevalve
