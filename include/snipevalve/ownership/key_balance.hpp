#ifndef SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

struct KeyBalanceOptions
{
    std::size_t maxMoves = 10; ///< in one round; each blocks its keys for about one request's time
    double lowUtilisation = 0.45; ///< servers below it are left as they are: two slots queue little there
    double maxUtilisation = 0.92; ///< servers are not filled beyond it
    double headroom = 1.15; ///< servers are filled up to the mean utilisation times this
    double noiseDeviations = 2.5; ///< a server counts as too full only beyond what chance explains
    double minMoveLoad = 0.12; ///< busy slots; less is not worth a move
    Seconds window{1.0}; ///< the time constant of the loads' average
    Seconds meanWork{0.15}; ///< of one request
};

/// @brief How many moves fit into one round: with few, hot keys outlast their spell where there are many servers.
std::size_t maxMovesPerRound(std::size_t servers);

/// @brief Move these keys to another server.
struct KeyMove
{
    KeyRange keys;
    std::string from;
    std::string to;
};

/// @brief Which keys to move so that no server is overloaded while others idle.
///
/// The fullest server gives its load beyond a common level to the emptiest ones, each up to that level. Differences
/// within the noise of a Poisson count are left alone: following them moved 1.5 times all keys on one day and broke the
/// ranges into hundreds. Where one key alone is heavier than the room of the emptiest server, it goes there if that
/// still relieves the fuller one clearly, and that server's other keys move on; a key that fills a server alone stays.
/// @param movable ranges that may be moved now, in rising order
/// @param loads by key: busy slots
/// @param capacities by server: slots, weighed by speed; only servers that may take keys
std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                  const std::map<std::string, double> &capacities,
                                  const KeyBalanceOptions &options = {});

/// @brief Narrow ranges whose neighbours on both sides belong to one other server: they go back to it once it is calm.
/// While there are many ranges, narrow ones also join the neighbour on one side.
///
/// Answers the load pattern "hot spells in series over hundreds of servers": they left 3,364 ranges, whose renewals and
/// first grants took all of a new leader's processor until its lease ended.
/// @param loads by key: busy slots, the highest of the averages
std::vector<KeyMove> planKeyMerges(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                   const std::map<std::string, double> &capacities);

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
