#ifndef SNIPEVALVE_OWNERSHIP_KEY_EXITS_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_EXITS_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/ownership/key_balance.hpp"

namespace snipevalve {

/// @brief Chooses new owners for the keys of servers that must give up all of them at once, e.g. those of a zone.
///
/// The ranges are cut into pieces of about equal load and width, so that many servers share them, and so that a request
/// that runs long holds up the release of its own piece only. The busiest pieces come first and go where their load
/// leaves the most room. When no server has room left, the rest still goes to the least utilised ones.
/// @param leaving the ranges to give up, with their owners
/// @param staying the other ranges, each with the server that its load counts for
/// @param loads by key: busy slots
/// @param capacities by server: slots, weighted by speed; only servers that may receive keys
/// @param recent servers to which keys may not return yet, unless there is no other one
/// @return one move for each piece, the busiest first; nothing without a server that may receive keys
std::vector<KeyMove> planKeyExits(const std::vector<OwnedRange> &leaving, const std::vector<OwnedRange> &staying,
                                  const std::vector<float> &loads, const std::map<std::string, double> &capacities,
                                  const RecentOwners &recent);

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_EXITS_HPP
