#ifndef SNIPEVALVE_NODE_RELAYED_NEWS_HPP
#define SNIPEVALVE_NODE_RELAYED_NEWS_HPP

#include <optional>

#include "snipevalve/core/time.hpp"
#include "snipevalve/gateway/config_change.hpp"
#include "snipevalve/gateway/leader_table.hpp"

namespace snipevalve {

/// @brief What a leader tells a host of the store's content, so that the host need not ask the store.
struct StoreUpdate
{
    std::uint64_t configVersion = 0; ///< the newest that the leader knows
    TimePoint current; ///< the leader had read the newest configuration and leaders at this time; zero when unknown
    std::optional<LeaderTable> leaders;
    std::optional<ConfigChange> change;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_RELAYED_NEWS_HPP
