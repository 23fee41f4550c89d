#include "snipevalve/ownership/recent_owners.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

bool overlap(const KeyRange &left, const KeyRange &right)
{
    return left.from <= right.to && right.from <= left.to;
}

} // namespace

void RecentOwners::add(const KeyRange &keys, const std::string &server, TimePoint until)
{
    m_losses[server].push_back({keys, until});
}

void RecentOwners::expire(TimePoint now)
{
    for (auto entry = m_losses.begin(); entry != m_losses.end();) {
        std::deque<Loss> &losses = entry->second;
        while (!losses.empty() && losses.front().until <= now) {
            losses.pop_front();
        }
        entry = losses.empty() ? m_losses.erase(entry) : std::next(entry);
    }
}

const std::map<std::string, std::deque<RecentOwners::Loss>> &RecentOwners::losses() const
{
    return m_losses;
}

bool RecentOwners::contains(const KeyRange &keys, const std::string &server) const
{
    const auto entry = m_losses.find(server);
    return entry != m_losses.end()
        && std::any_of(entry->second.begin(), entry->second.end(), [&keys](const Loss &loss) {
               return overlap(loss.keys, keys);
           });
}

KeyRange RecentOwners::uniformStart(const KeyRange &keys) const
{
    KeyRange start = keys;
    for (const auto &[server, losses] : m_losses) {
        for (const Loss &loss : losses) {
            if (keys.from < loss.keys.from && loss.keys.from <= start.to) {
                start.to = static_cast<std::uint16_t>(loss.keys.from - 1);
            } else if (loss.keys.contains(keys.from)) {
                start.to = std::min(start.to, loss.keys.to);
            }
        }
    }
    return start;
}

std::vector<KeyRange> RecentOwners::without(const std::vector<KeyRange> &ranges, const std::string &server) const
{
    std::vector<KeyRange> left = ranges;
    const auto entry = m_losses.find(server);
    if (entry != m_losses.end()) {
        for (const Loss &loss : entry->second) {
            left = subtract(left, loss.keys);
        }
    }
    return left;
}

std::vector<KeyRange> subtract(const std::vector<KeyRange> &ranges, const KeyRange &removed)
{
    std::vector<KeyRange> left;
    for (const KeyRange &range : ranges) {
        if (!overlap(range, removed)) {
            left.push_back(range);
            continue;
        }
        if (range.from < removed.from) {
            left.push_back({range.from, static_cast<std::uint16_t>(removed.from - 1)});
        }
        if (removed.to < range.to) {
            left.push_back({static_cast<std::uint16_t>(removed.to + 1), range.to});
        }
    }
    return left;
}

} // namespace snipevalve
