#ifndef SNIPEVALVE_PLACEMENT_BALANCER_HPP
#define SNIPEVALVE_PLACEMENT_BALANCER_HPP

#include <cstdint>
#include <vector>

#include "snipevalve/placement/group_plan.hpp"

namespace snipevalve {

/// @brief Bounds of one round of rebalancing.
struct BalanceOptions
{
    std::size_t maxMoves = 64; ///< slots moved in a round, beside those that have no fit owner
    double startRatio = 1.10; ///< hysteresis: a round begins when the fullest server is above this share of the mean
    double noiseDeviations = 3.0; ///< and above it by more standard deviations of a Poisson count than chance explains
    double stopRatio = 1.04; ///< and goes on until the fullest is below this share
};

/// @brief One server as the balancer sees it.
struct BalanceServer
{
    bool fit = false; ///< may take slots
    bool draining = false; ///< alive, but is to give its slots up
};

/// @brief Assigns slots to servers with few moves.
///
/// Slots without a fit owner go to the least loaded server (longest processing time first, Graham 1969). Then slots
/// move from the fullest to the emptiest server while that lowers the fullest one. A single slot that alone is heavier
/// than the mean stays where it is, and its neighbours move away from it.
/// @param targets by slot: the present server; NoServer for none
/// @param loads by slot: its load, at least a small constant for each slot
/// @return the new targets
std::vector<ServerIndex> balance(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                                 const std::vector<BalanceServer> &servers, const BalanceOptions &options = {});

/// @brief Load of the fullest fit server over the mean; 0 without fit servers.
double imbalanceOf(const std::vector<ServerIndex> &targets, const std::vector<double> &loads,
                   const std::vector<BalanceServer> &servers);

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_BALANCER_HPP
