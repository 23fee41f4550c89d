#ifndef SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/ownership/recent_owners.hpp"

namespace snipevalve {

/// @brief Limits and thresholds of `planKeyMoves`.
struct KeyBalanceOptions
{
    std::size_t maxMoves = 10; ///< per round; each move blocks its keys for about the duration of one request
    double lowUtilisation = 0.45; ///< servers below it keep their keys: with two slots, requests hardly queue
    double maxUtilisation = 0.92; ///< moves don't fill servers beyond it unless the mean is higher
    double headroom = 1.15; ///< moves fill servers up to the mean utilisation times this factor
    double noiseDeviations = 2.5; ///< an excess within this many standard deviations counts as noise
    double minMoveLoad = 0.12; ///< in busy slots; a smaller load is not worth a move
    Seconds window{1.0}; ///< time constant of the average of the loads
    Seconds meanWork{0.15}; ///< of one request
};

/// @brief How many moves one round may make. It grows with the number of servers: with a fixed small number, a hot spot
/// on a large deployment would end before its keys had been spread.
std::size_t maxMovesPerRound(std::size_t servers);

/// @brief A move of keys to another server.
struct KeyMove
{
    KeyRange keys;
    std::string from;
    std::string to;
};

/// @brief Chooses the keys to move so that no server is overloaded while others are idle.
///
/// The most utilised server gives its load beyond a common target utilisation to the least utilised ones, each up to
/// that target. Differences within the noise of a Poisson count are ignored: following them moved 1.5 times all keys in
/// one day and split the ranges into hundreds. A key that is heavier than the spare capacity of the least utilised
/// server still moves there if this clearly relieves its owner; the other keys of the new owner then move on. A key
/// that fills a server alone stays.
/// @param movable ranges that may be moved now, in ascending order
/// @param loads by key: busy slots
/// @param capacities by server: slots, weighted by speed; only servers that may receive keys
/// @param options limits and thresholds
/// @param recent servers to which keys may not return yet
/// @param unmovable ranges that may not be moved now, each with the server that its load counts for
std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                  const std::map<std::string, double> &capacities,
                                  const KeyBalanceOptions &options = {}, const RecentOwners &recent = {},
                                  const std::vector<OwnedRange> &unmovable = {});

/// @brief Chooses narrow ranges to merge with an adjacent range. A range between two ranges of one other server moves
/// to that server when it has the capacity. While there are many ranges, a narrow one may also merge with either
/// neighbour.
///
/// Guards against the load pattern "a series of hot spots over hundreds of servers": it left 3,364 ranges, whose
/// renewals and first grants took all of a new leader's CPU time until its lease ended.
/// @param movable ranges that may be moved now, in ascending order
/// @param loads by key: busy slots, the highest of the averages
/// @param capacities by server: slots, weighted by speed; only servers that may receive keys
/// @param recent servers to which keys may not return yet
/// @param unmovable ranges that may not be moved now, each with the server that its load counts for
std::vector<KeyMove> planKeyMerges(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                   const std::map<std::string, double> &capacities, const RecentOwners &recent = {},
                                   const std::vector<OwnedRange> &unmovable = {});

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
