#ifndef SNIPEVALVE_MODEL_PLAY_HPP
#define SNIPEVALVE_MODEL_PLAY_HPP

#include <string_view>

#include "snipevalve/model/load.hpp"

namespace snipevalve::model {

/// @brief How hosts find a server for a request.
enum class Policy {
    Leader, ///< one dispatcher for all hosts, asked over the link, as the node does
    Alone, ///< each host has a dispatcher of its own with its share of the slots, as the node does without a leader
    TwoChoices, ///< each host sends to the less loaded, by its own count, of two random servers, without a limit
};

std::string_view toString(Policy policy);

/// @brief Plays a load in virtual time against the real Dispatcher. The same seed gives the same result.
Report simulate(const Load &load, Policy policy);

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_PLAY_HPP
