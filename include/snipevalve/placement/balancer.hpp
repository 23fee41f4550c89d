#ifndef SNIPEVALVE_PLACEMENT_BALANCER_HPP
#define SNIPEVALVE_PLACEMENT_BALANCER_HPP

#include <cstdint>
#include <vector>

#include "snipevalve/placement/group_plan.hpp"

namespace snipevalve {

/// @brief Limits and thresholds of one rebalancing round.
struct BalanceOptions
{
    std::size_t maxMoves = 64; ///< limit for slots of draining servers, and again for moves that even out the load
    double startRatio = 1.10; ///< hysteresis: moves start if the most loaded server exceeds this multiple of the mean
    double noiseDeviations = 3.0; ///< and exceeds it by more than this many standard deviations of a Poisson count
    double stopRatio = 1.04; ///< moves end once the most loaded server is at or below this multiple of the mean
};

/// @brief The state of a server as far as balancing depends on it.
struct BalanceServer
{
    bool eligible = false; ///< may be assigned slots
    bool draining = false; ///< alive, but has to hand its slots over
};

/// @brief Assigns slots to servers with few moves.
///
/// Slots whose server is not eligible go to the least loaded server, heaviest slot first (longest processing time
/// first, Graham 1969). Then slots move from the most to the least loaded server while that lowers the load of the
/// former. A single slot that is heavier than the mean stays where it is; other slots move off its server instead.
/// @param targets the current server of each slot; NoServer for none
/// @param loads the load of each slot, at least a small constant
/// @return the new server of each slot
std::vector<ServerIndex> balance(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                                 const std::vector<BalanceServer> &servers, const BalanceOptions &options = {});

/// @return the load of the most loaded eligible server divided by the mean; 0 without eligible servers
double imbalanceOf(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                   const std::vector<BalanceServer> &servers);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_BALANCER_HPP
