#ifndef SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP
#define SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP

#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/hosts/host_list.hpp"
#include "snipevalve/placement_app/group_runner.hpp"

namespace snipevalve {

/// @brief Takes the lead of groups that have no leader, and gives it back at a planned stop.
///
/// The leader keys in the store, held by one lease for each process, only tell candidates when to try; safety rests on
/// the terms, which rise by compare-and-swap of the group's plan.
class Leadership
{
public:
    explicit Leadership(PlacementContext &context);

    void setHosts(const HostList &hosts);

    /// @brief Looks for groups without a leader until the process ends.
    Awaitable<void> runElections();

    /// @brief Keeps the lease while this host leads a group.
    Awaitable<void> keepLeaseAlive();

    /// @brief Removes this host's leader keys, so that others take over, and waits until they have.
    Awaitable<void> handOver();

    void updateMembers();
    void updateLoads(const GroupId &group, const std::vector<double> &loads);

    const std::map<GroupId, std::shared_ptr<GroupRunner>> &runners() const;

private:
    struct LeaderlessGroup
    {
        TimePoint since;
    };

    Awaitable<void> acquireLeadership(GroupId group);
    Awaitable<void> startTerm(GroupId group);
    Awaitable<void> runGroup(std::shared_ptr<GroupRunner> runner);
    Awaitable<absl::Status> writeLeaderKey(GroupId group);
    bool hasLeader(const GroupId &group) const;
    Milliseconds electionDelay(const GroupId &group) const;

    PlacementContext &m_context;
    HostList m_hosts;
    std::uint64_t m_lease = 0;
    std::uint64_t m_leaderKeyWrites = 0;
    std::map<GroupId, LeaderlessGroup> m_leaderlessGroups;
    std::set<GroupId> m_acquiring;
    std::map<GroupId, std::shared_ptr<GroupRunner>> m_runners;
    bool m_stopping = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP
