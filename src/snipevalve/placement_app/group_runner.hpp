#ifndef SNIPEVALVE_PLACEMENT_APP_GROUP_RUNNER_HPP
#define SNIPEVALVE_PLACEMENT_APP_GROUP_RUNNER_HPP

#include <map>
#include <memory>
#include <string>

#include "snipevalve/placement/group_authority.hpp"
#include "snipevalve/placement_app/placement_context.hpp"

namespace snipevalve {

/// @brief Runs one placement group during a term of this host: reports events to the group's GroupAuthority and
/// performs the actions that it returns.
class GroupRunner : public std::enable_shared_from_this<GroupRunner>
{
public:
    /// @param plan the plan that this host has written to the store for its new term
    /// @param revision the revision of `plan` in the store
    /// @param slots number of slots in the group
    GroupRunner(PlacementContext &context, GroupId group, const GroupPlan &plan, std::uint64_t revision,
                std::uint32_t slots);

    /// @brief Passes the group's servers and their endpoints from the catalog to the authority.
    void updateMembers();

    /// @brief Passes the load of each slot to the authority for its next rebalancing round.
    /// @param loads requests per second by slot
    void updateLoads(const std::vector<double> &loads);

    /// @brief Runs until the term has passed to another leader or stop() has been called.
    Awaitable<void> run();

    /// @brief Sends no more orders. Grants in force stay valid until they expire.
    void stop();

    const GroupId &group() const;
    const GroupAuthority &authority() const;

private:
    Awaitable<void> sendOrder(SendOrder action);
    Awaitable<void> writePlan(WritePlan action);
    Awaitable<void> confirmTerm();
    void publish(const PublishTable &table);
    void perform(std::vector<AuthorityAction> actions);
    std::string planKey() const;

    PlacementContext &m_context;
    GroupId m_group;
    std::uint64_t m_planRevision;
    std::uint64_t m_writeCount = 0;
    GroupAuthority m_authority;
    std::map<std::string, Endpoint> m_endpoints;
    bool m_stopped = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_GROUP_RUNNER_HPP
