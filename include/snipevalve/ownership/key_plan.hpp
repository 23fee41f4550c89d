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

/// @brief The only life of a server that may hold these keys.
struct PlannedRange
{
    KeyRange keys;
    ServerIncarnation owner;

    bool operator==(const PlannedRange &) const = default;
};

/// @brief Who may hold which keys, as it stands in the store. A server is granted keys only after a plan that names it
/// has been written, so a successor of the leader knows every possible holder.
struct KeyPlan
{
    std::uint64_t term = 0; ///< rises with each leader
    std::uint64_t version = 0; ///< rises with each plan of a term
    std::vector<PlannedRange> ranges; ///< rising, not overlapping

    bool operator==(const KeyPlan &) const = default;
};

/// @brief The plan as a compact JSON text.
std::string toText(const KeyPlan &plan);

/// @return InvalidArgument when the text is no plan
absl::StatusOr<KeyPlan> parseKeyPlan(std::string_view text);

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_PLAN_HPP
