#ifndef SNIPEVALVE_OWNERSHIP_KEY_PLAN_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_PLAN_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/gateway/upstream_server.hpp"

namespace snipevalve {

/// @brief A range of keys and the only incarnation of a server that may own them.
struct PlannedRange
{
    KeyRange keys;
    ServerIncarnation owner;

    bool operator==(const PlannedRange &) const = default;
};

/// @brief The host without whose consent the leader grants no long holds.
struct PlanDeputy
{
    std::string run; ///< of the host's process; empty when there is no deputy
    std::uint64_t epoch = 0; ///< increases with each deputy that a leader names, also when it names the same run again

    bool operator==(const PlanDeputy &) const = default;
};

/// @brief Which server may own which keys, as recorded in the store. A server is granted keys only after a plan that
/// names it has been written, so a new leader knows every possible owner.
struct KeyPlan
{
    std::uint64_t term = 0; ///< increases with each leader
    std::uint64_t version = 0; ///< increases with each plan of a term
    std::vector<PlannedRange> ranges; ///< in ascending order, without overlap
    PlanDeputy deputy;
    /// Keys that a server may own which the plan does not name, in ascending order and without overlap with `ranges`.
    /// There are some after the store has been restored from a copy, until every earlier hold has expired.
    std::vector<KeyRange> unknownOwners;

    bool operator==(const KeyPlan &) const = default;
};

/// @brief Appends keys to ascending ranges; they extend the last range if they follow it directly.
void appendKeys(std::vector<KeyRange> &ranges, const KeyRange &keys);

/// @brief Formats the plan as compact JSON.
std::string toText(const KeyPlan &plan);

/// @brief Parses the JSON of `toText`.
/// @return InvalidArgument if the text is not a valid plan
absl::StatusOr<KeyPlan> parseKeyPlan(std::string_view text);

/// @brief What is certain when one of two plans is in force: keys for which they differ have unknown owners.
/// @return a plan with term, version and no deputy of the first plan
KeyPlan commonPlan(const KeyPlan &first, const KeyPlan &second);

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_PLAN_HPP
