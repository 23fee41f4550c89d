#include "snipevalve/ownership/key_balance.hpp"

#include <algorithm>
#include <optional>

namespace snipevalve {

namespace {

struct ServerLoad
{
    std::string id;
    double load = 0;
    double capacity = 1;
    std::vector<KeyRange> ranges;

    double utilisation() const
    {
        return load / capacity;
    }
};

struct Window
{
    KeyRange keys;
    double load = 0;
};

std::vector<ServerLoad> loadsByServer(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                      const std::map<std::string, double> &capacities)
{
    std::map<std::string, ServerLoad> servers;
    for (const auto &[id, capacity] : capacities) {
        servers[id].id = id;
        servers[id].capacity = std::max(capacity, 0.05);
    }
    for (const OwnedRange &range : movable) {
        const auto position = servers.find(range.owner);
        if (position == servers.end()) {
            continue;
        }
        position->second.ranges.push_back(range.keys);
        for (std::uint32_t key = range.keys.from; key <= range.keys.to; ++key) {
            position->second.load += loads[key];
        }
    }
    std::vector<ServerLoad> result;
    for (auto &[id, server] : servers) {
        result.push_back(std::move(server));
    }
    return result;
}

/// The narrowest window with a load between `least` and `most`; else the heaviest one of at most `most`.
std::optional<Window> findWindow(const std::vector<KeyRange> &ranges, const std::vector<float> &loads, double least,
                                 double most)
{
    std::optional<Window> narrowest;
    std::optional<Window> heaviest;
    for (const KeyRange &range : ranges) {
        double sum = 0;
        std::uint32_t from = range.from;
        for (std::uint32_t to = range.from; to <= range.to; ++to) {
            sum += loads[to];
            while (from <= to && sum > most) {
                sum -= loads[from++];
            }
            while (from < to && sum - loads[from] >= least) {
                sum -= loads[from++];
            }
            if (from > to || sum <= 0) {
                continue;
            }
            const Window window{{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)}, sum};
            if (sum >= least && (!narrowest || window.keys.size() < narrowest->keys.size())) {
                narrowest = window;
            }
            if (!heaviest || sum > heaviest->load) {
                heaviest = window;
            }
        }
    }
    return narrowest ? narrowest : heaviest;
}

/// Takes a window out of a server's ranges.
void cut(std::vector<KeyRange> &ranges, const KeyRange &window)
{
    std::vector<KeyRange> left;
    for (const KeyRange &range : ranges) {
        if (window.from > range.to || window.to < range.from) {
            left.push_back(range);
            continue;
        }
        if (range.from < window.from) {
            left.push_back({range.from, static_cast<std::uint16_t>(window.from - 1)});
        }
        if (window.to < range.to) {
            left.push_back({static_cast<std::uint16_t>(window.to + 1), range.to});
        }
    }
    ranges = std::move(left);
}

} // namespace

std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                  const std::map<std::string, double> &capacities, const KeyBalanceOptions &options)
{
    std::vector<ServerLoad> servers = loadsByServer(movable, loads, capacities);
    std::vector<KeyMove> moves;
    const auto isLess = [](const ServerLoad &left, const ServerLoad &right) {
        return left.utilisation() < right.utilisation();
    };
    while (moves.size() < options.maxMoves && servers.size() > 1) {
        const auto [emptiest, fullest] = std::minmax_element(servers.begin(), servers.end(), isLess);
        const bool isLevel = fullest->utilisation() < options.startUtilisation
            || fullest->utilisation() - emptiest->utilisation() < options.startGap;
        // A server without keys gets some of the busiest one's, however calm it is: it was added to be used.
        const bool isUnused = emptiest->ranges.empty() && emptiest->load == 0;
        if (fullest->load <= 0 || (isLevel && !isUnused)) {
            break;
        }
        const double levelling = (fullest->load * emptiest->capacity - emptiest->load * fullest->capacity)
            / (fullest->capacity + emptiest->capacity);
        const auto window =
            findWindow(fullest->ranges, loads, levelling * options.leastShare, levelling * options.mostShare);
        const bool isWorthIt = window && window->load >= levelling * options.leastGain;
        if (!isWorthIt) {
            // What is heavy here is a single key; it stays where it is.
            servers.erase(fullest);
            continue;
        }
        moves.push_back({window->keys, fullest->id, emptiest->id});
        cut(fullest->ranges, window->keys);
        fullest->load -= window->load;
        emptiest->load += window->load;
    }
    return moves;
}

} // namespace snipevalve
