#ifndef SNIPEVALVE_NODE_DEPUTY_ASK_HPP
#define SNIPEVALVE_NODE_DEPUTY_ASK_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"
#include "snipevalve/ownership/key_plan.hpp"

namespace snipevalve {

/// @brief A leader's request to its deputy to consent to long holds.
struct DeputyAsk
{
    std::string service;
    std::uint64_t term = 0; ///< of the leader
    PlanDeputy deputy;
    Milliseconds outage{0}; ///< how long the store has not answered the leader
    std::optional<TimePoint> othersAnsweredAt; ///< when the store last answered another leader, as far as known here
    Endpoint leader; ///< where the consent goes
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_DEPUTY_ASK_HPP
