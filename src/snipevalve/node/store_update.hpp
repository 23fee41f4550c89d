#ifndef SNIPEVALVE_NODE_STORE_UPDATE_HPP
#define SNIPEVALVE_NODE_STORE_UPDATE_HPP

#include <optional>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/config_change.hpp"
#include "snipevalve/gateway/evacuations.hpp"
#include "snipevalve/gateway/leader_table.hpp"

namespace snipevalve {

/// @brief State of the store that a leader relays to a host, so that the host need not query the store itself.
struct StoreUpdate
{
    std::uint64_t configVersion = 0; ///< newest version that the leader knows
    /// Configuration, leaders and evacuations were up to date with the store at this time; zero when unknown.
    TimePoint storeReadTime;
    std::optional<LeaderTable> leaders; ///< set when the leaders have changed
    std::optional<Evacuations> evacuations; ///< set when they have changed
    std::optional<ConfigChange> change; ///< set in reply to a request for the configuration
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_STORE_UPDATE_HPP
