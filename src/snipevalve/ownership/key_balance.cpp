#include "snipevalve/ownership/key_balance.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include "snipevalve/ownership/first_keys.hpp"

namespace snipevalve {

namespace {

/// Limits of the load of a window, as shares of the wanted load.
constexpr double MinLoadShare = 0.85;
constexpr double MaxLoadShare = 1.2;
/// When no window is within these limits, a lighter one moves if it has at least this share of the wanted load.
constexpr double MinUsefulShare = 0.2;
/// A key heavier than the spare capacity of the new server moves only if the new server's utilisation is then at most
/// this share of the old server's.
constexpr double MaxUtilisationRatio = 0.8;
/// A key whose load is at least this share of its server's capacity fills the server alone.
constexpr double FillingShare = 0.9;
/// Such a key moves only to a server on which this multiple of the old server's capacity is free for it. Each move
/// blocks the key until its running requests have ended.
constexpr double MinCapacityGain = 1.25;
constexpr std::size_t MinMovesPerRound = 10;
/// Moves in one round that give servers their first keys. A zone of 40 servers that returns has keys again after 2 s.
constexpr std::size_t MaxFirstMovesPerRound = 8;
/// A round may make one move per this many servers. Each move blocks its keys for about the duration of one request.
constexpr std::size_t ServersPerMove = 4;
/// Lower limit of a server's capacity. It prevents a division by zero for a server that does not respond.
constexpr double MinCapacity = 0.05;
/// A merge may fill a server up to this utilisation or the mean of all servers, whichever is higher. It is well below
/// the utilisation at which keys would move off again.
constexpr double MaxMergeUtilisation = 0.4;
/// Each range costs the leader one renewal every 1.8 s. With more ranges per server than this, merging is faster.
constexpr std::size_t FragmentedRangesPerServer = 2;
/// A range wider than this share of KeyCount / servers is not a fragment and does not move in a merge.
constexpr double MaxFragmentShare = 0.25;

/// The load of a server and its movable ranges.
struct ServerLoad
{
    std::string id;
    double load = 0;
    double capacity = 1;
    std::vector<KeyRange> ranges;
    std::uint32_t keys = 0; ///< number of its keys
    bool isOverloaded = false; ///< beyond the noise
    bool isPassedOver = false; ///< has recently lost what the most utilised server could give it

    double utilisation() const
    {
        return load / capacity;
    }
};

/// Adjacent keys and their load together.
struct KeyWindow
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

std::vector<ServerLoad> loadsByServer(const std::vector<OwnedRange> &movable, const std::vector<OwnedRange> &unmovable,
                                      const std::vector<float> &loads, const std::map<std::string, double> &capacities)
{
    std::map<std::string, ServerLoad> servers;
    for (const auto &[id, capacity] : capacities) {
        servers[id].id = id;
        servers[id].capacity = std::max(capacity, MinCapacity);
    }
    for (const OwnedRange &range : movable) {
        const auto position = servers.find(range.owner);
        if (position != servers.end()) {
            position->second.ranges.push_back(range.keys);
            position->second.keys += range.keys.size();
            position->second.load += loadOf(range.keys, loads);
        }
    }
    for (const OwnedRange &range : unmovable) {
        const auto position = servers.find(range.owner);
        if (position != servers.end()) {
            position->second.keys += range.keys.size();
            position->second.load += loadOf(range.keys, loads);
        }
    }
    std::vector<ServerLoad> result;
    for (auto &[id, server] : servers) {
        result.push_back(std::move(server));
    }
    return result;
}

/// Finds the narrowest window with a load within the limits, or else the heaviest one below the upper limit.
class KeyWindowSearch
{
public:
    KeyWindowSearch(double minLoad, double maxLoad)
        : m_minLoad(minLoad)
        , m_maxLoad(maxLoad)
    {
    }

    void offer(std::uint32_t from, std::uint32_t to, double load)
    {
        if (load <= 0 || load > m_maxLoad) {
            return;
        }
        const KeyWindow window{{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)}, load};
        if (load >= m_minLoad && (!m_narrowest || window.keys.size() < m_narrowest->keys.size())) {
            m_narrowest = window;
        }
        if (!m_heaviest || load > m_heaviest->load) {
            m_heaviest = window;
        }
    }

    double minLoad() const
    {
        return m_minLoad;
    }

    double maxLoad() const
    {
        return m_maxLoad;
    }

    std::optional<KeyWindow> best() const
    {
        return m_narrowest ? m_narrowest : m_heaviest;
    }

private:
    double m_minLoad;
    double m_maxLoad;
    std::optional<KeyWindow> m_narrowest;
    std::optional<KeyWindow> m_heaviest;
};

void searchRange(KeyWindowSearch &search, const KeyRange &range, const std::vector<float> &loads)
{
    double sum = 0;
    std::uint32_t from = range.from;
    for (std::uint32_t to = range.from; to <= range.to; ++to) {
        sum += loads[to];
        while (from <= to && sum > search.maxLoad()) {
            sum -= loads[from++];
        }
        while (from < to && sum - loads[from] >= search.minLoad()) {
            sum -= loads[from++];
        }
        if (from <= to) {
            search.offer(from, to, sum);
        }
    }
}

/// @param minUsefulLoad a window with less load is not worth a move
std::optional<KeyWindow> findWindow(const std::vector<KeyRange> &ranges, const std::vector<float> &loads,
                                    double wantedLoad, double minUsefulLoad)
{
    KeyWindowSearch search(wantedLoad * MinLoadShare, wantedLoad * MaxLoadShare);
    for (const KeyRange &range : ranges) {
        searchRange(search, range, loads);
    }
    const std::optional<KeyWindow> window = search.best();
    const bool isUseful = window && window->load >= minUsefulLoad;
    return isUseful ? window : std::nullopt;
}

/// The lightest single key that is heavier than the wanted load and whose move clearly relieves its server.
/// @param ranges of `from`, from which the key is chosen
/// @param staying a key that does not move
std::optional<KeyWindow> findHeavyKey(const ServerLoad &from, const std::vector<KeyRange> &ranges, const ServerLoad &to,
                                      const std::vector<float> &loads, double wantedLoad,
                                      const std::optional<KeyWindow> &staying)
{
    std::optional<KeyWindow> best;
    for (const KeyRange &range : ranges) {
        for (std::uint32_t key = range.from; key <= range.to; ++key) {
            const double load = loads[key];
            const double utilisationAfter = (to.load + load) / to.capacity;
            const bool stays = staying && staying->keys.from == key;
            const bool isUseful =
                !stays && load > wantedLoad && utilisationAfter <= MaxUtilisationRatio * from.utilisation();
            if (isUseful && (!best || load < best->load)) {
                best = KeyWindow{{static_cast<std::uint16_t>(key), static_cast<std::uint16_t>(key)}, load};
            }
        }
    }
    return best;
}

/// The heaviest key of the server, if it fills the server alone.
std::optional<KeyWindow> findFillingKey(const ServerLoad &server, const std::vector<float> &loads)
{
    std::optional<KeyWindow> heaviest;
    for (const KeyRange &range : server.ranges) {
        for (std::uint32_t key = range.from; key <= range.to; ++key) {
            if (!heaviest || loads[key] > heaviest->load) {
                heaviest = KeyWindow{{static_cast<std::uint16_t>(key), static_cast<std::uint16_t>(key)}, loads[key]};
            }
        }
    }
    return heaviest && heaviest->load >= FillingShare * server.capacity ? heaviest : std::nullopt;
}

/// Of the servers on which the key gains enough and to which it may move, the one with the most free capacity; null for
/// none.
ServerLoad *findFasterServer(std::vector<ServerLoad> &servers, const ServerLoad &from, const KeyWindow &key,
                             const RecentOwners &recent)
{
    ServerLoad *roomiest = nullptr;
    for (ServerLoad &server : servers) {
        const double room = server.capacity - server.load;
        const bool isRoomier = roomiest == nullptr || room > roomiest->capacity - roomiest->load;
        const bool isGain = room >= MinCapacityGain * from.capacity;
        if (isGain && isRoomier && !recent.contains(key.keys, server.id)) {
            roomiest = &server;
        }
    }
    return roomiest;
}

/// Limits the load of each key to the largest capacity of a server: a key has one owner, so no server could serve more.
std::vector<float> capLoads(std::vector<float> loads, const std::map<std::string, double> &capacities)
{
    double largest = MinCapacity;
    for (const auto &[id, capacity] : capacities) {
        largest = std::max(largest, capacity);
    }
    for (float &load : loads) {
        load = std::min(load, static_cast<float>(largest));
    }
    return loads;
}

std::vector<ServerLoad>::iterator mostUtilisedOf(std::vector<ServerLoad> &servers)
{
    return std::max_element(servers.begin(), servers.end(), [](const ServerLoad &left, const ServerLoad &right) {
        return left.utilisation() < right.utilisation();
    });
}

void allowAll(std::vector<ServerLoad> &servers)
{
    for (ServerLoad &server : servers) {
        server.isPassedOver = false;
    }
}

bool isAnyServerPassedOver(const std::vector<ServerLoad> &servers)
{
    return std::any_of(servers.begin(), servers.end(), [](const ServerLoad &server) {
        return server.isPassedOver;
    });
}

/// Goes on without a server that can't give its keys to any other.
void removeDonor(std::vector<ServerLoad> &servers, std::vector<ServerLoad>::iterator donor)
{
    servers.erase(donor);
    allowAll(servers);
}

/// The standard deviation of an exponentially averaged Poisson load.
double loadDeviation(double load, const KeyBalanceOptions &options)
{
    return std::sqrt(std::max(load, 0.0) * options.meanWork / (2 * options.window));
}

std::vector<KeyDonor> toKeyDonors(const std::vector<ServerLoad *> &servers)
{
    std::vector<KeyDonor> donors;
    for (const ServerLoad *server : servers) {
        donors.push_back({server->id, server->load, server->ranges});
    }
    return donors;
}

/// Gives keys to servers that have none or hardly any, even if no server is overloaded: they were added to be used.
std::vector<KeyMove> planFirstKeys(std::vector<ServerLoad> &servers, const std::vector<float> &loads,
                                   const KeyBalanceOptions &options, const RecentOwners &recent, double targetLevel)
{
    std::vector<KeyMove> moves;
    const double requestLoad = options.meanWork / options.window;
    std::uint32_t keys = 0; // all of them, unless some have no owner
    for (const ServerLoad &server : servers) {
        keys += server.keys;
    }
    const FirstKeysSearch search(loads, keys, servers.size(), requestLoad);
    const auto byUtilisation = [](const ServerLoad *left, const ServerLoad *right) {
        return left->utilisation() > right->utilisation();
    };
    for (ServerLoad &server : servers) {
        if (!search.isNeeded(server.keys, server.load) || moves.size() >= MaxFirstMovesPerRound) {
            continue;
        }
        std::vector<ServerLoad *> donors;
        for (ServerLoad &donor : servers) {
            if (donor.load > 0 && !search.isNeeded(donor.keys, donor.load)) {
                donors.push_back(&donor);
            }
        }
        std::sort(donors.begin(), donors.end(), byUtilisation);
        for (std::size_t part = 0; part < FirstKeysSearch::Parts; ++part) {
            const double room = targetLevel * server.capacity - server.load;
            const std::optional<FirstKeys> first = search.find(toKeyDonors(donors), server.id, room, recent);
            if (!first) {
                break;
            }
            const auto donor = std::find_if(donors.begin(), donors.end(), [&first](const ServerLoad *each) {
                return each->id == first->from;
            });
            (*donor)->ranges = subtract((*donor)->ranges, first->keys);
            (*donor)->keys -= first->keys.size();
            (*donor)->load -= first->load;
            donors.erase(donor);
            server.keys += first->keys.size();
            server.load += first->load;
            moves.push_back({first->keys, first->from, server.id});
        }
    }
    return moves;
}

/// The utilisation up to which moves fill servers.
double targetUtilisation(const std::vector<ServerLoad> &servers, const KeyBalanceOptions &options)
{
    double load = 0;
    double capacity = 0;
    for (const ServerLoad &server : servers) {
        load += server.load;
        capacity += server.capacity;
    }
    const double mean = capacity > 0 ? load / capacity : 0;
    // When all servers are overloaded, moves gain no capacity, but an even load still treats callers more equally.
    return std::max(std::clamp(mean * options.headroom, options.lowUtilisation, options.maxUtilisation), mean);
}

} // namespace

std::size_t maxMovesPerRound(std::size_t servers)
{
    return std::max(MinMovesPerRound, servers / ServersPerMove);
}

std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &requestedLoads,
                                  const std::map<std::string, double> &capacities, const KeyBalanceOptions &options,
                                  const RecentOwners &recent, const std::vector<OwnedRange> &unmovable)
{
    const std::vector<float> loads = capLoads(requestedLoads, capacities);
    std::vector<ServerLoad> servers = loadsByServer(movable, unmovable, loads, capacities);
    const double targetLevel = targetUtilisation(servers, options);
    std::vector<KeyMove> moves = planFirstKeys(servers, loads, options, recent, targetLevel);
    const auto isLessUtilised = [](const ServerLoad &left, const ServerLoad &right) {
        return std::make_pair(left.isPassedOver, left.utilisation())
            < std::make_pair(right.isPassedOver, right.utilisation());
    };
    while (moves.size() < options.maxMoves && servers.size() > 1) {
        const auto leastUtilised = std::min_element(servers.begin(), servers.end(), isLessUtilised);
        const auto mostUtilised = mostUtilisedOf(servers);
        const double excess = mostUtilised->load - targetLevel * mostUtilised->capacity;
        // The noise only decides whether a server is overloaded. If it is, its whole excess moves.
        const double noise = options.noiseDeviations * loadDeviation(targetLevel * mostUtilised->capacity, options);
        const double excessAtCapacity = (1.0 - targetLevel) * mostUtilised->capacity + options.minMoveLoad;
        const double overloadThreshold = std::min(noise, std::max(excessAtCapacity, options.minMoveLoad));
        mostUtilised->isOverloaded = mostUtilised->isOverloaded || excess > overloadThreshold;
        const bool isOverloaded = mostUtilised->isOverloaded && excess > options.minMoveLoad;
        const bool isAnyPassedOver = isAnyServerPassedOver(servers);
        if (mostUtilised->load <= 0 || (!isOverloaded && !isAnyPassedOver)) {
            break;
        }
        if (leastUtilised == mostUtilised || !isOverloaded) {
            removeDonor(servers, mostUtilised);
            continue;
        }
        const std::optional<KeyWindow> filling = findFillingKey(*mostUtilised, loads);
        if (ServerLoad *faster = filling ? findFasterServer(servers, *mostUtilised, *filling, recent) : nullptr) {
            moves.push_back({filling->keys, mostUtilised->id, faster->id});
            mostUtilised->ranges = subtract(mostUtilised->ranges, filling->keys);
            mostUtilised->load -= filling->load;
            faster->load += filling->load;
            continue;
        }
        const double room = targetLevel * leastUtilised->capacity - leastUtilised->load;
        double wantedLoad = std::min(excess, room);
        if (wantedLoad < options.minMoveLoad) {
            if (!isAnyPassedOver) {
                break; // no server has room
            }
            removeDonor(servers, mostUtilised);
            continue;
        }
        if (filling) {
            // The filling key stays, and the others leave its server.
            wantedLoad = std::min(wantedLoad, mostUtilised->load - filling->load);
        }
        const double minUsefulLoad = filling ? options.minMoveLoad : wantedLoad * MinUsefulShare;
        const std::vector<KeyRange> ranges = recent.without(mostUtilised->ranges, leastUtilised->id);
        auto window = findWindow(ranges, loads, wantedLoad, minUsefulLoad);
        if (!window) {
            window = findHeavyKey(*mostUtilised, ranges, *leastUtilised, loads, wantedLoad, filling);
        }
        const bool isReturn = !window && ranges != mostUtilised->ranges && !leastUtilised->isPassedOver;
        if (isReturn) {
            leastUtilised->isPassedOver = true;
            continue;
        }
        if (!window) {
            // A single key makes up the load, and it stays.
            removeDonor(servers, mostUtilised);
            continue;
        }
        moves.push_back({window->keys, mostUtilised->id, leastUtilised->id});
        mostUtilised->ranges = subtract(mostUtilised->ranges, window->keys);
        mostUtilised->load -= window->load;
        leastUtilised->load += window->load;
        allowAll(servers);
    }
    return moves;
}

std::vector<KeyMove> planKeyMerges(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                   const std::map<std::string, double> &capacities, const RecentOwners &recent,
                                   const std::vector<OwnedRange> &unmovable)
{
    constexpr std::size_t MaxCalmMerges = 4; ///< in one round
    constexpr std::size_t MinFastMerges = 32; ///< in one round, while there are many ranges
    const bool isFragmented = movable.size() > FragmentedRangesPerServer * capacities.size();
    const std::size_t maxMerges = isFragmented ? std::max(MinFastMerges, capacities.size() / 2) : MaxCalmMerges;
    std::vector<KeyMove> moves;
    std::map<std::string, double> loadByServer;
    double load = 0;
    double capacity = 0;
    for (const ServerLoad &server : loadsByServer(movable, unmovable, loads, capacities)) {
        loadByServer[server.id] = server.load;
        load += server.load;
        capacity += server.capacity;
    }
    const double targetLevel = std::max(MaxMergeUtilisation, capacity > 0 ? load / capacity : 0);
    const double maxFragmentWidth = MaxFragmentShare * KeyCount / std::max<std::size_t>(1, capacities.size());
    const auto isAdjacent = [](const OwnedRange &left, const OwnedRange &right) {
        return static_cast<std::uint32_t>(left.keys.to) + 1 == right.keys.from && left.owner != right.owner;
    };
    for (std::size_t at = 0; at < movable.size() && moves.size() < maxMerges; ++at) {
        const OwnedRange &middle = movable[at];
        if (middle.keys.size() > maxFragmentWidth) {
            continue;
        }
        const OwnedRange *left = at > 0 && isAdjacent(movable[at - 1], middle) ? &movable[at - 1] : nullptr;
        const OwnedRange *right =
            at + 1 < movable.size() && isAdjacent(middle, movable[at + 1]) ? &movable[at + 1] : nullptr;
        const bool isEnclosed = left != nullptr && right != nullptr && left->owner == right->owner;
        if (!isEnclosed && !isFragmented) {
            continue; // a merge with one neighbour would only shift the boundary
        }
        const double movedLoad = loadOf(middle.keys, loads);
        const OwnedRange *best = nullptr;
        for (const OwnedRange *candidate : {left, right}) {
            const auto candidateCapacity = candidate == nullptr ? capacities.end() : capacities.find(candidate->owner);
            const bool fits = candidateCapacity != capacities.end() && !recent.contains(middle.keys, candidate->owner)
                && loadByServer[candidate->owner] + movedLoad <= targetLevel * candidateCapacity->second;
            if (fits && (best == nullptr || loadByServer[candidate->owner] < loadByServer[best->owner])) {
                best = candidate;
            }
        }
        if (best != nullptr) {
            loadByServer[best->owner] += movedLoad;
            loadByServer[middle.owner] -= movedLoad;
            moves.push_back({middle.keys, middle.owner, best->owner});
            ++at; // the next range is adjacent to this one, which moves
        }
    }
    return moves;
}

} // namespace snipevalve
