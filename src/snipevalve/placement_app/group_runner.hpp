#ifndef SNIPEVALVE_PLACEMENT_APP_GROUP_RUNNER_HPP
#define SNIPEVALVE_PLACEMENT_APP_GROUP_RUNNER_HPP

#include <map>
#include <memory>
#include <string>

#include "snipevalve/placement/group_authority.hpp"
#include "snipevalve/placement_app/placement_context.hpp"

namespace snipevalve {

/// @brief Leads one placement group: carries out the actions of its GroupAuthority.
class GroupRunner : public std::enable_shared_from_this<GroupRunner>
{
public:
    /// @param revision the store's revision of `plan`
    GroupRunner(PlacementContext &context, GroupId group, const GroupPlan &plan, std::uint64_t revision,
                std::uint32_t slots);

    /// @brief Takes the group's servers from the catalog.
    void updateMembers();
    void updateLoads(const std::vector<double> &loads);

    /// @brief Leads until the term has passed on or stop() was called.
    Awaitable<void> run();

    /// @brief Gives no more orders; running grants go on until they lapse.
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
