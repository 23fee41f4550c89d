#include "snipevalve/ownership/key_balance.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace snipevalve {

namespace {

/// A window may carry this much less or more than what was wanted of it.
constexpr double LeastShare = 0.85;
constexpr double MostShare = 1.2;
/// Where one key is too heavy, what moves instead has to carry this share at least.
constexpr double LeastGain = 0.2;
/// A key that is heavier than the room of any server moves only if its new server is then less utilised than this part
/// of the old one.
constexpr double RelievedShare = 0.8;
constexpr std::size_t LeastMoves = 10; ///< in one round
/// One move in a round for so many servers: each blocks its keys for about one request's time.
constexpr std::size_t ServersPerMove = 4;
/// A server's capacity is never taken as less, so that a silent one does not divide by zero.
constexpr double LeastCapacity = 0.05;
/// Ranges are joined only where neither this utilisation nor the servers' mean is passed, well below the level at which
/// keys move off again.
constexpr double MergedUtilisation = 0.4;
/// Each range costs its leader a renewal each 1.8 s. With more than this many a server, joining them goes faster.
constexpr std::size_t FewRanges = 2;
/// A range as wide as this part of a server's even share of all keys is no fragment.
constexpr double FragmentShare = 0.25;

struct ServerLoad
{
    std::string id;
    double load = 0;
    double capacity = 1;
    std::vector<KeyRange> ranges;
    bool hasKeys = false;
    bool isTooFull = false; ///< beyond what chance explains

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

double loadOf(const KeyRange &keys, const std::vector<float> &loads)
{
    double sum = 0;
    for (std::uint32_t key = keys.from; key <= keys.to; ++key) {
        sum += loads[key];
    }
    return sum;
}

std::vector<ServerLoad> loadsByServer(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                      const std::map<std::string, double> &capacities)
{
    std::map<std::string, ServerLoad> servers;
    for (const auto &[id, capacity] : capacities) {
        servers[id].id = id;
        servers[id].capacity = std::max(capacity, LeastCapacity);
    }
    for (const OwnedRange &range : movable) {
        const auto position = servers.find(range.owner);
        if (position != servers.end()) {
            position->second.ranges.push_back(range.keys);
            position->second.hasKeys = true;
            position->second.load += loadOf(range.keys, loads);
        }
    }
    std::vector<ServerLoad> result;
    for (auto &[id, server] : servers) {
        result.push_back(std::move(server));
    }
    return result;
}

/// Keeps the narrowest window that is heavy enough, and the heaviest one besides.
class WindowSearch
{
public:
    WindowSearch(double least, double most)
        : m_least(least)
        , m_most(most)
    {
    }

    void offer(std::uint32_t from, std::uint32_t to, double load)
    {
        if (load <= 0 || load > m_most) {
            return;
        }
        const Window window{{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)}, load};
        if (load >= m_least && (!m_narrowest || window.keys.size() < m_narrowest->keys.size())) {
            m_narrowest = window;
        }
        if (!m_heaviest || load > m_heaviest->load) {
            m_heaviest = window;
        }
    }

    double least() const
    {
        return m_least;
    }

    double most() const
    {
        return m_most;
    }

    std::optional<Window> best() const
    {
        return m_narrowest ? m_narrowest : m_heaviest;
    }

private:
    double m_least;
    double m_most;
    std::optional<Window> m_narrowest;
    std::optional<Window> m_heaviest;
};

void searchRange(WindowSearch &search, const KeyRange &range, const std::vector<float> &loads)
{
    double sum = 0;
    std::uint32_t from = range.from;
    for (std::uint32_t to = range.from; to <= range.to; ++to) {
        sum += loads[to];
        while (from <= to && sum > search.most()) {
            sum -= loads[from++];
        }
        while (from < to && sum - loads[from] >= search.least()) {
            sum -= loads[from++];
        }
        if (from <= to) {
            search.offer(from, to, sum);
        }
    }
}

std::optional<Window> findWindow(const ServerLoad &server, const std::vector<float> &loads, double wanted)
{
    WindowSearch search(wanted * LeastShare, wanted * MostShare);
    for (const KeyRange &range : server.ranges) {
        searchRange(search, range, loads);
    }
    const std::optional<Window> window = search.best();
    const bool isWorthIt = window && window->load >= wanted * LeastGain;
    return isWorthIt ? window : std::nullopt;
}

/// The lightest single key that is heavier than what was wanted, if its move relieves the fuller server.
std::optional<Window> findHeavyKey(const ServerLoad &from, const ServerLoad &to, const std::vector<float> &loads,
                                   double wanted)
{
    std::optional<Window> best;
    for (const KeyRange &range : from.ranges) {
        for (std::uint32_t key = range.from; key <= range.to; ++key) {
            const double load = loads[key];
            const double after = (to.load + load) / to.capacity;
            const bool isRelief = load > wanted && after <= RelievedShare * from.utilisation();
            if (isRelief && (!best || load < best->load)) {
                best = Window{{static_cast<std::uint16_t>(key), static_cast<std::uint16_t>(key)}, load};
            }
        }
    }
    return best;
}

/// A key keeps one server busy at most; what is asked of it beyond that can't be served anywhere.
std::vector<float> servableLoads(std::vector<float> loads, const std::map<std::string, double> &capacities)
{
    double largest = LeastCapacity;
    for (const auto &[id, capacity] : capacities) {
        largest = std::max(largest, capacity);
    }
    for (float &load : loads) {
        load = std::min(load, static_cast<float>(largest));
    }
    return loads;
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

/// The standard deviation of an exponentially averaged Poisson load.
double noiseOf(double load, const KeyBalanceOptions &options)
{
    return std::sqrt(std::max(load, 0.0) * options.meanWork / (2 * options.window));
}

double commonLevel(const std::vector<ServerLoad> &servers, const KeyBalanceOptions &options)
{
    double load = 0;
    double capacity = 0;
    for (const ServerLoad &server : servers) {
        load += server.load;
        capacity += server.capacity;
    }
    const double mean = capacity > 0 ? load / capacity : 0;
    // Beyond full everywhere nothing is gained by moves, but an even load still serves callers more evenly.
    return std::max(std::clamp(mean * options.headroom, options.calmUtilisation, options.highestUtilisation), mean);
}

} // namespace

std::size_t movesInRound(std::size_t servers)
{
    return std::max(LeastMoves, servers / ServersPerMove);
}

std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &wantedLoads,
                                  const std::map<std::string, double> &capacities, const KeyBalanceOptions &options)
{
    const std::vector<float> loads = servableLoads(wantedLoads, capacities);
    std::vector<ServerLoad> servers = loadsByServer(movable, loads, capacities);
    const double level = commonLevel(servers, options);
    std::vector<KeyMove> moves;
    const auto isLess = [](const ServerLoad &left, const ServerLoad &right) {
        return left.utilisation() < right.utilisation();
    };
    while (moves.size() < options.maxMoves && servers.size() > 1) {
        const auto [emptiest, fullest] = std::minmax_element(servers.begin(), servers.end(), isLess);
        // A server without keys gets some of the busiest one's, however calm it is: it was added to be used.
        const bool isUnused = !emptiest->hasKeys;
        const double excess = fullest->load - level * fullest->capacity;
        // The noise decides whether a server is too full; once it is, it is levelled as a whole.
        const double noise = options.noiseDeviations * noiseOf(level * fullest->capacity, options);
        const double beyondCapacity = (1.0 - level) * fullest->capacity + options.leastMove;
        const double doubt = std::min(noise, std::max(beyondCapacity, options.leastMove));
        fullest->isTooFull = fullest->isTooFull || excess > doubt;
        const bool isTooFull = fullest->isTooFull && excess > options.leastMove;
        if (fullest->load <= 0 || (!isTooFull && !isUnused)) {
            break;
        }
        constexpr double FirstShare = 0.4; ///< of the busiest server's load, for one that has nothing yet
        const double room = level * emptiest->capacity - emptiest->load;
        const double wanted = isUnused ? std::min(fullest->load * FirstShare, room) : std::min(excess, room);
        if (wanted < options.leastMove && !isUnused) {
            break;
        }
        auto window = findWindow(*fullest, loads, wanted);
        if (!window) {
            window = findHeavyKey(*fullest, *emptiest, loads, wanted);
        }
        if (!window) {
            // What is heavy here is a single key; it stays where it is.
            servers.erase(fullest);
            continue;
        }
        moves.push_back({window->keys, fullest->id, emptiest->id});
        cut(fullest->ranges, window->keys);
        fullest->load -= window->load;
        emptiest->load += window->load;
        emptiest->hasKeys = true;
    }
    return moves;
}

std::vector<KeyMove> planKeyMerges(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                   const std::map<std::string, double> &capacities)
{
    constexpr std::size_t CalmMerges = 4; ///< in one round
    constexpr std::size_t LeastFastMerges = 32; ///< in one round, while there are many ranges
    const bool isFragmented = movable.size() > FewRanges * capacities.size();
    const std::size_t mostMerges = isFragmented ? std::max(LeastFastMerges, capacities.size() / 2) : CalmMerges;
    std::vector<KeyMove> moves;
    std::map<std::string, double> byServer;
    double load = 0;
    double capacity = 0;
    for (const ServerLoad &server : loadsByServer(movable, loads, capacities)) {
        byServer[server.id] = server.load;
        load += server.load;
        capacity += server.capacity;
    }
    const double level = std::max(MergedUtilisation, capacity > 0 ? load / capacity : 0);
    const double widest = FragmentShare * KeyCount / std::max<std::size_t>(1, capacities.size());
    const auto touches = [](const OwnedRange &left, const OwnedRange &right) {
        return static_cast<std::uint32_t>(left.keys.to) + 1 == right.keys.from && left.owner != right.owner;
    };
    for (std::size_t at = 0; at < movable.size() && moves.size() < mostMerges; ++at) {
        const OwnedRange &middle = movable[at];
        if (middle.keys.size() > widest) {
            continue;
        }
        const OwnedRange *left = at > 0 && touches(movable[at - 1], middle) ? &movable[at - 1] : nullptr;
        const OwnedRange *right =
            at + 1 < movable.size() && touches(middle, movable[at + 1]) ? &movable[at + 1] : nullptr;
        const bool isEnclosed = left != nullptr && right != nullptr && left->owner == right->owner;
        if (!isEnclosed && !isFragmented) {
            continue; // it would only move the border
        }
        const double moved = loadOf(middle.keys, loads);
        const OwnedRange *best = nullptr;
        for (const OwnedRange *taker : {left, right}) {
            const auto capacityOfTaker = taker == nullptr ? capacities.end() : capacities.find(taker->owner);
            const bool fits = capacityOfTaker != capacities.end()
                && byServer[taker->owner] + moved <= level * capacityOfTaker->second;
            if (fits && (best == nullptr || byServer[taker->owner] < byServer[best->owner])) {
                best = taker;
            }
        }
        if (best != nullptr) {
            byServer[best->owner] += moved;
            byServer[middle.owner] -= moved;
            moves.push_back({middle.keys, middle.owner, best->owner});
            ++at; // the next range is a neighbour of one that moves now
        }
    }
    return moves;
}

} // namespace snipevalve
