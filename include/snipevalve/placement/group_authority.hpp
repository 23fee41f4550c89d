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

/// @brief Timing parameters of a group's authority. All hosts that can lead the group have to use the same values.
struct AuthorityTimes
{
    Milliseconds grantLifetime{2000}; ///< of a grant, counted from its anchor
    Milliseconds renewInterval{400}; ///< between two orders to one server
    Milliseconds evidenceLifetime{1200}; ///< how long a confirmation of the term is valid
    Milliseconds lostAfter{1500}; ///< a server that accepts no order for this long counts as lost
    Milliseconds balanceInterval{1000}; ///< between two rebalancing rounds
    double maxClockDrift = 0.01; ///< bound on the relative difference between the rates of two hosts' clocks
};

/// @brief A server of the group according to the configuration.
struct GroupMember
{
    std::string name;
    bool draining = false;
};

/// @brief Send this order to the server; report the result with onAnswer() or onNoAnswer().
struct SendOrder
{
    std::string server;
    GrantOrder order;
};

/// @brief Write this plan to the store, conditional on the revision of the last one; report the result with
/// onPlanWritten() or onPlanNotWritten().
struct WritePlan
{
    GroupPlan plan;
};

/// @brief Read the plan from the store and report its term with onTermRead().
struct ConfirmTerm
{
};

/// @brief Publish this routing table: the server that holds each slot.
struct PublishTable
{
    Token version;
    std::vector<std::string> servers;
    std::vector<ServerIndex> owners;
    bool committed = false; ///< the plan that the table is based on is in the store
};

/// @brief The term has passed to another leader; this authority sends no more orders.
struct Resign
{
    std::string reason;
};

/// @brief A message for the log.
struct LogMessage
{
    std::string text;
};

using AuthorityAction = std::variant<SendOrder, WritePlan, ConfirmTerm, PublishTable, Resign, LogMessage>;

/// @brief The safety rules of the authority. Tests disable one at a time to prove that they detect its absence.
struct StandardRules
{
    static constexpr bool WaitForGrantExpiry = true; ///< a slot gets a new holder only after its old grant has expired
    static constexpr bool WaitForPredecessorGrants = true; ///< a new leader lets unreachable servers' grants expire
    static constexpr bool FenceOffPredecessor = true; ///< a new leader renews nothing while the old one can still grant
    static constexpr bool RequireConfirmedTerm = true; ///< grants are issued only while the term is confirmed
    static constexpr bool AllowForClockDrift = true; ///< waits are longer by the bound on clock drift
};

/// @brief Assigns the slots of one placement group to servers, during one term of one leader. It does no I/O, starts no
/// threads and reads no clock: the caller reports events and performs the actions that are returned.
///
/// The term is confirmed by a majority of the group's servers (the witnesses) or by a read of the store. A leader
/// issues grants only within `evidenceLifetime` of a confirmation. A successor starts its term by a compare-and-swap in
/// the store and fences every server that it reaches. It renews the grants that these servers hold once all servers, or
/// a majority of the witnesses for `evidenceLifetime`, have accepted its term. It waits another `grantLifetime` before
/// it grants a slot that an unreachable server may hold. Each slot therefore has at most one holder, even if leaders
/// are paused or partitioned, and grants in force outlive an outage of the store. Leases by time: Gray and Cheriton,
/// SOSP 1989.
template <typename Rules>
class BasicGroupAuthority
{
public:
    /// @param plan the plan that this leader has written to the store for its new term
    /// @param slots number of slots in the group
    BasicGroupAuthority(GroupId group, GroupPlan plan, std::uint32_t slots, AuthorityTimes times, TimePoint now);

    /// @brief To be called when the configuration of the group's servers has changed.
    std::vector<AuthorityAction> onMembers(const std::vector<GroupMember> &members, TimePoint now);

    /// @brief Sets the recent number of requests per slot, smoothed by the caller.
    void onLoads(const std::vector<double> &loads);

    /// @brief To be called when a server has answered an order.
    std::vector<AuthorityAction> onAnswer(const std::string &server, const Token &token, const GrantAnswer &answer,
                                          TimePoint now);

    /// @brief To be called when no answer to an order has arrived. The order may still reach the server.
    std::vector<AuthorityAction> onNoAnswer(const std::string &server, const Token &token, TimePoint now);

    /// @brief To be called when the plan with this version is in the store.
    std::vector<AuthorityAction> onPlanWritten(std::uint64_t version, TimePoint now);

    /// @brief To be called when the store has rejected the plan or its answer was lost.
    /// @param superseded whether the store holds another leader's plan
    std::vector<AuthorityAction> onPlanNotWritten(bool superseded, TimePoint now);

    /// @brief To be called with the result of ConfirmTerm.
    /// @param sentAt when the read was sent
    /// @param term the term in the store; empty if no answer arrived
    std::vector<AuthorityAction> onTermRead(TimePoint sentAt, std::optional<std::uint64_t> term, TimePoint now);

    /// @brief Processes what is due by time. To be called every few milliseconds to tens of milliseconds.
    std::vector<AuthorityAction> onTick(TimePoint now);

    bool isResigned() const;
    std::uint64_t term() const;
    /// @brief Whether grants may be issued, that is, whether the term has been confirmed recently enough.
    bool hasAuthority(TimePoint now) const;

    /// @return the server that has accepted the grant of a slot; empty if there is none
    std::string holderOf(std::uint32_t slot) const;
    const GroupPlan &plan() const;

private:
    enum class Holder {
        None, ///< no server can hold the slot
        Known, ///< only `server` can hold it, until `expiry`
        Unknown, ///< a server that has not answered in this term may still hold it
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
        TimePoint anchorAt; ///< when the anchor was received
        std::optional<TimePoint> confirmedAt; ///< when the last accepted order was sent
        std::optional<TimePoint> lastSentAt;
        bool changed = false; ///< its assigned slots have changed since its last order
    };

    using Actions = std::vector<AuthorityAction>;

    Duration withDriftMargin(Duration duration) const;
    ServerIndex indexOf(const std::string &server);
    Token nextToken();
    bool majorityConfirmedSince(TimePoint since) const;
    bool majorityFenced() const;
    bool isEligible(const Member &member) const;
    void addLogMessage(Actions &actions, std::string text) const;

    Actions advance(TimePoint now);
    void updatePredecessor(TimePoint now, Actions &actions);
    void expireHolders(TimePoint now);
    void freeSlot(std::size_t at);
    bool holdsAny(ServerIndex server) const;
    void updateLost(TimePoint now, Actions &actions);
    void updateTargets(TimePoint now, Actions &actions);
    void updateWitnesses();
    void sendOrders(TimePoint now, Actions &actions);
    void sendOrder(ServerIndex server, bool authority, TimePoint now, Actions &actions);
    std::vector<std::uint32_t> grantable(ServerIndex server) const;
    bool recordHeldSlots(ServerIndex server, const std::vector<std::uint32_t> &held, bool isFirst, TimePoint now);
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
    std::optional<TimePoint> m_majorityFencedAt; ///< when a majority of the witnesses had accepted this term
    bool m_predecessorFencedOff = false; ///< no earlier leader can issue a grant that a server accepts
    bool m_predecessorGrantsEnded = false; ///< no grant of an earlier term is in force
    std::optional<TimePoint> m_balancedAt;
    bool m_planDirty = false;
    bool m_planInFlight = false;
    std::uint64_t m_writtenVersion = 0;
    std::vector<std::string> m_writtenWitnesses;
    std::vector<std::string> m_inFlightWitnesses;
    std::size_t m_writtenServers = 0; ///< number of servers in the last plan that was written
    std::size_t m_inFlightServers = 0;
    bool m_tableDirty = true;
    bool m_resigned = false;
};

using GroupAuthority = BasicGroupAuthority<StandardRules>;
extern template class BasicGroupAuthority<StandardRules>;

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_GROUP_AUTHORITY_HPP
