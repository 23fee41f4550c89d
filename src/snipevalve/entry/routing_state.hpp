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

/// @brief Requests by slot of one group, counted by the traffic threads and read by the control thread.
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

    /// @brief The counts since the last call.
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

/// @brief A group's table with its servers looked up.
struct GroupRouting
{
    GroupId group;
    std::string name; ///< the group as text, for headers
    Token version;
    std::vector<std::shared_ptr<const Server>> servers; ///< null for a server that is not configured
    std::vector<ServerIndex> owners;
    std::shared_ptr<SlotCounter> counter;
};

struct ServiceRouting
{
    Service service;
    std::vector<std::shared_ptr<const Server>> servers;
    std::vector<std::shared_ptr<const GroupRouting>> groups; ///< null while a group has no table
};

/// @brief What the traffic threads route by. Never changed after it has been handed to them.
class RoutingState
{
public:
    /// @brief The route with the longest matching prefix; null when none fits.
    const Route *routeFor(std::string_view path) const;
    const ServiceRouting *service(const std::string &name) const;

    std::vector<Route> routes; ///< longest prefix first
    std::map<std::string, ServiceRouting> services;
};

/// @brief Builds routing states from items as they come in. Lives on the control thread.
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
