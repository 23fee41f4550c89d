#ifndef SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"

namespace snipevalve {

struct KeyBalanceOptions
{
    std::size_t maxMoves = 8; ///< in one round; each blocks its keys for about one request's time
    double startUtilisation = 0.75; ///< of the fullest server; below it moving costs more than it gains
    double startGap = 0.25; ///< between the fullest and the emptiest server; below it the difference is noise
    double leastShare = 0.5; ///< a move carries this share of what would level the two servers, or more
    double mostShare = 1.15; ///< and this share at most
    double leastGain = 0.1; ///< where one key is too heavy, what moves instead has to carry this share of it
};

/// @brief Move these keys to another server.
struct KeyMove
{
    KeyRange keys;
    std::string from;
    std::string to;
};

/// @brief Which keys to move so that no server is overloaded while others idle.
///
/// From the fullest to the emptiest server, by utilisation, goes the narrowest range of keys whose load levels the two.
/// Where one key alone is heavier than that, it stays and its neighbours move.
/// @param movable ranges that may be moved now, in rising order
/// @param loads by key: busy slots
/// @param capacities by server: slots, weighed by speed; only servers that may take keys
std::vector<KeyMove> planKeyMoves(const std::vector<OwnedRange> &movable, const std::vector<float> &loads,
                                  const std::map<std::string, double> &capacities,
                                  const KeyBalanceOptions &options = {});

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_BALANCE_HPP
