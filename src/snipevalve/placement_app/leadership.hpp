#ifndef SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP
#define SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP

#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/hosts/host_list.hpp"
#include "snipevalve/placement_app/group_runner.hpp"

namespace snipevalve {

/// @brief Acquires leadership of groups that have no leader, and hands it over at a planned stop.
///
/// The leader keys in the store only tell candidates when to try; each process binds its keys to one lease. Safety
/// rests on the terms: each new one is written by a compare-and-swap of the group's plan.
class Leadership
{
public:
    explicit Leadership(PlacementContext &context);

    /// @brief Sets the hosts that are ranked as candidates for each group.
    void setHosts(const HostList &hosts);

    /// @brief Polls for groups without a leader until the process ends, and tries to acquire each one after this host's
    /// election delay.
    Awaitable<void> runElections();

    /// @brief Renews the lease while this host leads a group. Once the lease has expired, writes the leader keys again
    /// under a new one.
    Awaitable<void> keepLeaseAlive();

    /// @brief Removes this host's leader keys so that other hosts take over, and waits for that for a limited time.
    Awaitable<void> handOver();

    /// @brief Passes the servers in the catalog to all groups that this host leads.
    void updateMembers();

    /// @brief Passes the load of each slot to a group, if this host leads it.
    void updateLoads(const GroupId &group, const std::vector<double> &loads);

    const std::map<GroupId, std::shared_ptr<GroupRunner>> &runners() const;

private:
    struct LeaderlessGroup
    {
        TimePoint since;
    };

    Awaitable<void> acquireLeadership(GroupId group);
    /// @brief Writes the group's plan with the next term by compare-and-swap and, if that succeeds, runs the group.
    Awaitable<void> startTerm(GroupId group);
    Awaitable<void> runGroup(std::shared_ptr<GroupRunner> runner);
    /// @brief Writes the group's leader key under this process's lease, which is created if there is none.
    /// @return OK also when the key already names this host; Aborted when it names another one
    Awaitable<absl::Status> writeLeaderKey(GroupId group);
    bool hasLeader(const GroupId &group) const;
    /// @brief How long this host waits before it tries to acquire a group without a leader. The delay grows with the
    /// host's rank for the group, so that candidates rarely compete.
    Milliseconds electionDelay(const GroupId &group) const;

    PlacementContext &m_context;
    HostList m_hosts;
    std::uint64_t m_lease = 0; ///< that holds this process's leader keys; 0 if there is none
    std::uint64_t m_leaderKeyWrites = 0;
    std::map<GroupId, LeaderlessGroup> m_leaderlessGroups;
    std::set<GroupId> m_acquiring; ///< groups with an attempt in progress
    std::map<GroupId, std::shared_ptr<GroupRunner>> m_runners;
    bool m_stopping = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_LEADERSHIP_HPP
