#ifndef SNIPEVALVE_ENTRY_ROUTING_STATE_HPP
#define SNIPEVALVE_ENTRY_ROUTING_STATE_HPP

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "snipevalve/core/hash.hpp"
#include "snipevalve/resources/catalog.hpp"
#include "snipevalve/routing/slot_table.hpp"

namespace snipevalve {

/// @brief Counts the requests per slot of a group. The traffic threads increment it, the control thread reads it.
class SlotCounter
{
public:
    explicit SlotCounter(std::size_t slots)
        : m_counts(slots)
    {
    }

    void increment(std::uint32_t slot)
    {
        m_counts[slot].fetch_add(1, std::memory_order_relaxed);
    }

    /// @brief Returns the counts since the last call and resets them.
    std::vector<std::uint32_t> takeAndReset()
    {
        std::vector<std::uint32_t> counts;
        counts.reserve(m_counts.size());
        for (std::atomic<std::uint32_t> &count : m_counts) {
            counts.push_back(count.exchange(0, std::memory_order_relaxed));
        }
        return counts;
    }

private:
    std::vector<std::atomic<std::uint32_t>> m_counts;
};

/// @brief A group's slot table with its server names resolved.
struct GroupRouting
{
    GroupId group;
    std::string name; ///< text form of `group`, sent in headers
    Token version;
    std::vector<std::shared_ptr<const Server>> servers; ///< null for a server without configuration
    std::vector<ServerIndex> owners;
    std::shared_ptr<SlotCounter> counter;
};

struct ServiceRouting
{
    Service service;
    std::vector<std::shared_ptr<const Server>> servers;
    std::vector<std::shared_ptr<const GroupRouting>> groups; ///< null for a group without a slot table
};

/// @brief Snapshot of the routes, services and slot tables that the traffic threads route by. Immutable once published.
class RoutingState
{
public:
    /// @brief The route with the longest matching prefix; null when none matches.
    const Route *routeFor(std::string_view path) const;
    const ServiceRouting *service(const std::string &name) const;

    std::vector<Route> routes; ///< longest prefix first
    std::map<std::string, ServiceRouting> services;
};

/// @brief Collects received items and builds routing states from them. Used on the control thread only.
class RoutingBuilder
{
public:
    /// @return true when the routing may have changed
    bool apply(const Item &item);

    std::shared_ptr<const RoutingState> build() const;

    /// @brief The slot counters of all groups, by the group's name.
    const std::map<std::string, std::shared_ptr<SlotCounter>> &counters() const;

private:
    bool applyTable(const Item &item);

    Catalog m_catalog;
    std::map<std::string, SlotTable> m_tables;
    std::map<std::string, std::shared_ptr<SlotCounter>> m_counters;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_ROUTING_STATE_HPP
