#ifndef SNIPEVALVE_PLACEMENT_GROUP_AUTHORITY_HPP
#define SNIPEVALVE_PLACEMENT_GROUP_AUTHORITY_HPP

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/core/token.hpp"
#include "snipevalve/placement/balancer.hpp"
#include "snipevalve/placement/grant.hpp"
#include "snipevalve/placement/group_plan.hpp"

namespace snipevalve {

/// @brief Times of a group's authority. All members of a group's host set have to use the same ones.
struct AuthorityTimes
{
    Milliseconds grantLifetime{2000}; ///< of a grant, from the anchor that the server named
    Milliseconds renewInterval{400}; ///< between two orders to one server
    Milliseconds evidenceLifetime{1200}; ///< how long a confirmation of the term counts
    Milliseconds lostAfter{1500}; ///< a server without an accepted order for so long is taken as lost
    Milliseconds balanceInterval{1000}; ///< between two rounds of rebalancing
    double clockRateError = 0.01; ///< bound on the relative rate of two hosts' clocks
};

/// @brief One server of the group as configured.
struct GroupMember
{
    std::string name;
    bool draining = false;
};

/// @brief Send this order to the server and report the answer or its absence.
struct SendOrder
{
    std::string server;
    GrantOrder order;
};

/// @brief Write this plan to the store, on the revision of the last one, and report whether it took effect.
struct WritePlan
{
    GroupPlan plan;
};

/// @brief Read the plan from the store and report whether its term is still ours.
struct ConfirmTerm
{
};

/// @brief Publish this table: by slot, the server that holds it.
struct PublishTable
{
    Token version;
    std::vector<std::string> servers;
    std::vector<ServerIndex> owners;
    bool committed = false; ///< the plan behind the table is in the store
};

/// @brief The term has passed to another leader; this object gives no more orders.
struct Resign
{
    std::string reason;
};

/// @brief A placement decision, for the log.
struct LogMessage
{
    std::string text;
};

using AuthorityAction = std::variant<SendOrder, WritePlan, ConfirmTerm, PublishTable, Resign, LogMessage>;

/// @brief The rules that make the authority safe. Tests switch one off to show that they notice.
struct StandardRules
{
    static constexpr bool WaitForOldGrant = true; ///< a slot is granted anew only when the old grant is surely over
    static constexpr bool WaitForPredecessor = true; ///< a new leader waits for servers that it can't reach
    static constexpr bool SilencePredecessor = true; ///< a new leader renews nothing while the old one may still grant
    static constexpr bool NeedEvidence = true; ///< grants are given only while the term is confirmed
    static constexpr bool AllowForClockRate = true; ///< waits are longer by the bound on the clocks' rates
};

/// @brief Decides who owns the slots of one placement group, for one term of one leader. No I/O, threads or clock.
///
/// The term is confirmed by a majority of the group's servers (the witnesses), or by a read of the store. A leader
/// gives grants only within `evidenceLifetime` of a confirmation. A successor takes its term by a compare-and-swap,
/// fences every server that it reaches, renews what they hold when all or, for evidenceLifetime, a majority of the
/// witnesses follow it, and waits a further grantLifetime before it grants a slot that an unreachable server may hold.
/// So each slot has one holder at most, also when leaders are paused or cut off, and running grants outlive an outage
/// of the store. Leases by time: Gray and Cheriton, SOSP 1989.
template <typename Rules>
class BasicGroupAuthority
{
public:
    /// @param plan the plan that took effect in the store with this leader's new term
    /// @param slots number of slots of the group
    BasicGroupAuthority(GroupId group, GroupPlan plan, std::uint32_t slots, AuthorityTimes times, TimePoint now);

    /// @brief The configuration of the group's servers has changed.
    std::vector<AuthorityAction> onMembers(const std::vector<GroupMember> &members, TimePoint now);

    /// @brief Requests by slot of late, smoothed by the caller.
    void onLoads(const std::vector<double> &loads);

    /// @brief A server answered an order.
    std::vector<AuthorityAction> onAnswer(const std::string &server, const Token &token, const GrantAnswer &answer,
                                          TimePoint now);

    /// @brief No answer came to an order; it may still arrive at the server.
    std::vector<AuthorityAction> onNoAnswer(const std::string &server, const Token &token, TimePoint now);

    /// @brief The plan with this version is in the store.
    std::vector<AuthorityAction> onPlanWritten(std::uint64_t version, TimePoint now);

    /// @brief The store did not take the plan, or its answer was lost.
    /// @param superseded another leader's plan stands in the store
    std::vector<AuthorityAction> onPlanNotWritten(bool superseded, TimePoint now);

    /// @brief The answer to ConfirmTerm.
    /// @param sentAt when the read was sent
    /// @param term the term that stands in the store; empty when no answer came
    std::vector<AuthorityAction> onTermRead(TimePoint sentAt, std::optional<std::uint64_t> term, TimePoint now);

    /// @brief Time has passed. To be called every few milliseconds to tens of milliseconds.
    std::vector<AuthorityAction> onTick(TimePoint now);

    bool isResigned() const;
    std::uint64_t term() const;
    bool hasAuthority(TimePoint now) const;

    /// @brief The server that holds a slot; empty while none surely does.
    std::string holderOf(std::uint32_t slot) const;
    const GroupPlan &plan() const;

private:
    enum class Holder {
        None, ///< surely nobody's
        Known, ///< `server` may hold it until `expiry`
        Unknown, ///< a server that has not answered in this term may hold it
    };

    struct Slot
    {
        Holder holder = Holder::Unknown;
        ServerIndex server = NoServer;
        bool accepted = false; ///< the holder has accepted the grant
        TimePoint expiry;
    };

    struct Member
    {
        bool configured = false;
        bool draining = false;
        bool fenced = false; ///< has accepted an order of this term
        bool lost = false;
        bool orderInFlight = false;
        Token inFlight;
        TimePoint inFlightSentAt;
        std::optional<ServerClock> anchor;
        TimePoint anchorAt; ///< when the anchor arrived here
        std::optional<TimePoint> confirmedAt; ///< when the last accepted order was sent
        std::optional<TimePoint> lastSentAt;
        bool changed = false; ///< its slots differ from its last order
    };

    using Actions = std::vector<AuthorityAction>;

    Duration withClockError(Duration duration) const;
    ServerIndex indexOf(const std::string &server);
    Token nextToken();
    bool majorityConfirmedSince(TimePoint since) const;
    bool majorityFenced() const;
    bool isFit(const Member &member) const;
    void note(Actions &actions, std::string text) const;

    Actions advance(TimePoint now);
    void updateFence(TimePoint now, Actions &actions);
    void expireHolders(TimePoint now);
    void setFree(std::size_t at);
    bool holdsAny(ServerIndex server) const;
    void updateLost(TimePoint now, Actions &actions);
    void updateTargets(TimePoint now, Actions &actions);
    void updateWitnesses();
    void sendOrders(TimePoint now, Actions &actions);
    void sendOrder(ServerIndex server, bool authority, TimePoint now, Actions &actions);
    std::vector<std::uint32_t> grantable(ServerIndex server) const;
    bool takeHeld(ServerIndex server, const std::vector<std::uint32_t> &held, bool isFirst, TimePoint now);
    void confirmFromStore(TimePoint now, Actions &actions);
    void writePlan(Actions &actions);
    void publish(Actions &actions);

    GroupId m_group;
    GroupPlan m_plan;
    AuthorityTimes m_times;
    std::vector<Slot> m_slots;
    std::vector<Member> m_members; ///< parallel to m_plan.servers
    std::vector<double> m_loads;
    TimePoint m_termStart;
    std::uint64_t m_sequence = 0;
    std::optional<TimePoint> m_storeConfirmedAt;
    std::optional<TimePoint> m_storeReadAt;
    bool m_storeReadInFlight = false;
    std::optional<TimePoint> m_majorityFencedAt; ///< when a majority of the witnesses followed this term
    bool m_predecessorSilenced = false; ///< no earlier leader can give a grant that a server accepts
    bool m_predecessorGone = false; ///< no grant of an earlier term is in force
    std::optional<TimePoint> m_balancedAt;
    bool m_planDirty = false;
    bool m_planInFlight = false;
    std::uint64_t m_writtenVersion = 0;
    std::vector<std::string> m_writtenWitnesses;
    std::vector<std::string> m_inFlightWitnesses;
    std::size_t m_writtenServers = 0; ///< how many of the plan's servers the store knows
    std::size_t m_inFlightServers = 0;
    bool m_tableDirty = true;
    bool m_resigned = false;
};

using GroupAuthority = BasicGroupAuthority<StandardRules>;
extern template class BasicGroupAuthority<StandardRules>;

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GROUP_AUTHORITY_HPP
