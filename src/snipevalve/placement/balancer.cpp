#include "snipevalve/placement/balancer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace snipevalve {

namespace {

/// The load of each server, kept up to date while slots are moved.
class ServerLoads
{
public:
    ServerLoads(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                const std::vector<BalanceServer> &servers)
        : m_servers(servers)
        , m_loads(servers.size(), 0.0)
    {
        for (std::size_t slot = 0; slot < targets.size(); ++slot) {
            if (targets[slot] < servers.size()) {
                m_loads[targets[slot]] += loads[slot];
            }
        }
    }

    ServerIndex leastLoaded() const
    {
        return best([](double left, double right) {
            return left < right;
        });
    }

    ServerIndex mostLoaded() const
    {
        return best([](double left, double right) {
            return left > right;
        });
    }

    double loadOf(ServerIndex server) const
    {
        return m_loads[server];
    }

    void move(double load, ServerIndex from, ServerIndex to)
    {
        if (from < m_loads.size()) {
            m_loads[from] -= load;
        }
        m_loads[to] += load;
    }

private:
    template <typename Better>
    ServerIndex best(Better better) const
    {
        ServerIndex found = NoServer;
        for (std::size_t server = 0; server < m_loads.size(); ++server) {
            if (m_servers[server].eligible && (found == NoServer || better(m_loads[server], m_loads[found]))) {
                found = static_cast<ServerIndex>(server);
            }
        }
        return found;
    }

    const std::vector<BalanceServer> &m_servers;
    std::vector<double> m_loads;
};

double meanLoad(const std::vector<double> &loads, const std::vector<BalanceServer> &servers)
{
    const auto isEligible = [](const BalanceServer &server) {
        return server.eligible;
    };
    const auto count = std::count_if(servers.begin(), servers.end(), isEligible);
    return count == 0 ? 0.0 : std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(count);
}

bool mustMove(ServerIndex target, const std::vector<BalanceServer> &servers)
{
    return target >= servers.size() || !servers[target].eligible;
}

/// Finds the slot of `from` whose move lowers the higher of the two servers' loads the most.
/// @param gap the difference between the two servers' loads
/// @return the slot; `targets.size()` if no move lowers it
std::size_t bestSlotToMove(const std::vector<ServerIndex> &targets, const std::vector<double> &slotLoads,
                           ServerIndex from, double gap)
{
    std::size_t found = targets.size();
    double smallestDistance = gap / 2;
    for (std::size_t slot = 0; slot < targets.size(); ++slot) {
        if (targets[slot] != from || slotLoads[slot] >= gap) {
            continue;
        }
        const double distance = std::abs(gap / 2 - slotLoads[slot]);
        if (distance < smallestDistance) {
            found = slot;
            smallestDistance = distance;
        }
    }
    return found;
}

/// Assigns the slots whose server is not eligible; of those on draining servers at most `maxMoves`.
void placeOrphans(std::vector<ServerIndex> &targets, const std::vector<double> &slotLoads,
                  const std::vector<BalanceServer> &servers, const BalanceOptions &options, ServerLoads &loads)
{
    std::vector<std::size_t> orphans;
    std::size_t drainingMoves = 0;
    for (std::size_t slot = 0; slot < targets.size(); ++slot) {
        if (!mustMove(targets[slot], servers)) {
            continue;
        }
        const bool isDraining = targets[slot] < servers.size() && servers[targets[slot]].draining;
        if (isDraining && ++drainingMoves > options.maxMoves) {
            continue;
        }
        orphans.push_back(slot);
    }
    const auto isHeavier = [&](std::size_t left, std::size_t right) {
        return slotLoads[left] > slotLoads[right];
    };
    std::stable_sort(orphans.begin(), orphans.end(), isHeavier);
    for (const std::size_t slot : orphans) {
        const ServerIndex to = loads.leastLoaded();
        loads.move(slotLoads[slot], targets[slot], to);
        targets[slot] = to;
    }
}

} // namespace

std::vector<ServerIndex> balance(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                                 const std::vector<BalanceServer> &servers, const BalanceOptions &options)
{
    std::vector<ServerIndex> result = targets;
    ServerLoads serverLoads(targets, loads, servers);
    if (serverLoads.leastLoaded() == NoServer) {
        return result;
    }
    placeOrphans(result, loads, servers, options, serverLoads);
    const double mean = meanLoad(loads, servers);
    const double excess = serverLoads.loadOf(serverLoads.mostLoaded()) - mean;
    if (excess <= mean * (options.startRatio - 1.0) || excess <= options.noiseDeviations * std::sqrt(mean)) {
        return result;
    }
    for (std::size_t moves = 0; moves < options.maxMoves; ++moves) {
        const ServerIndex from = serverLoads.mostLoaded();
        const ServerIndex to = serverLoads.leastLoaded();
        if (serverLoads.loadOf(from) <= mean * options.stopRatio) {
            break;
        }
        const std::size_t slot = bestSlotToMove(result, loads, from, serverLoads.loadOf(from) - serverLoads.loadOf(to));
        if (slot == result.size()) {
            break;
        }
        serverLoads.move(loads[slot], from, to);
        result[slot] = to;
    }
    return result;
}

double imbalanceOf(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                   const std::vector<BalanceServer> &servers)
{
    const ServerLoads serverLoads(targets, loads, servers);
    const ServerIndex mostLoaded = serverLoads.mostLoaded();
    const double mean = meanLoad(loads, servers);
    return mostLoaded == NoServer || mean == 0.0 ? 0.0 : serverLoads.loadOf(mostLoaded) / mean;
}

} // namespace snipevalve
