#ifndef SNIPEVALVE_MODEL_SIMULATION_HPP
#define SNIPEVALVE_MODEL_SIMULATION_HPP

#include <string_view>

#include "snipevalve/model/load.hpp"

namespace snipevalve::model {

/// @brief How hosts choose a server for a request.
enum class Policy {
    Leader, ///< one dispatcher for all hosts, reached over the link, as in the node
    Alone, ///< each host has its own dispatcher with a share of the slots, as in the node without a leader
    TwoChoices, ///< each host picks two random servers and sends to the one with fewer of its own requests in flight,
                ///< without a concurrency limit
};

/// @return the name of the policy in the output of snipevalve-experiment
std::string_view toString(Policy policy);

/// @brief Simulates a load in virtual time with the production Dispatcher; deterministic for a given seed.
Report simulate(const Load &load, Policy policy);

} // namespace snipevalve::model

#endif // SNIPEVALVE_MODEL_SIMULATION_HPP
