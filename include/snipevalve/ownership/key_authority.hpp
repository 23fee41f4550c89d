#ifndef SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/ownership/key_balance.hpp"
#include "snipevalve/ownership/key_exits.hpp"
#include "snipevalve/ownership/key_plan.hpp"

namespace snipevalve {

/// @brief Durations and intervals of the leader that grants the keys of a service.
///
/// A grant gives a server the right to serve a range of keys for a limited time, its hold, counted from the arrival of
/// the call at the server. The leader renews grants before they expire.
struct KeyAuthorityTimes
{
    Milliseconds hold{4'000}; ///< while the store answers; limits how long the keys of a lost server are unowned
    Milliseconds longHold{10'000}; ///< while the store does not answer: outlasts store outages of up to 9 s
    Milliseconds renewInterval{1'800}; ///< allows three attempts within `hold`, one of which may time out after 0.5 s
    Milliseconds retryInterval{60}; ///< after the first unanswered call; doubled for each further consecutive one
    Milliseconds maxRetryInterval{480}; ///< limit of the exponential backoff
    Milliseconds balanceInterval{200}; ///< between two rounds of load balancing
    Milliseconds mergeInterval{4'000}; ///< between two rounds of `planKeyMerges`; longer than most hot spots last
    Milliseconds fastMergeInterval{1'000}; ///< the same while there are many ranges, each of which needs renewals
    Milliseconds coalesceInterval{100}; ///< between two searches for adjacent ranges with the same owner
    Milliseconds askDeputyInterval{100}; ///< between two requests for consent to long holds
    Milliseconds returnDelay{10'000}; ///< keys return to a previous owner after it, unless no other server is usable
    Milliseconds ownerChangeDelay{2'000}; ///< a new leader leaves all keys with the owners in the plan for this long
    Milliseconds maxArrivalDelay{400}; ///< an unanswered call may still arrive this long after it timed out
    Milliseconds confirmTime{900}; ///< a grant that was sent arrives within this time or never: timeout and delay
    double maxClockDrift = 0.02; ///< a server's clock may run slow by this fraction
};

/// @brief Grants the keys to the server until `hold` after the arrival of the call, or renews such a grant.
struct GrantKeys
{
    std::uint64_t call = 0; ///< number of the call, for `onCallOutcome`
    UpstreamServer server;
    KeyRange keys;
    std::uint64_t fence = 0; ///< fencing token: the server refuses a lower one than it has seen for a key
    Milliseconds hold{0};
    std::string handover; ///< the data that the previous owner returned on release; empty when there is none
    TimePoint sendBefore = TimePoint::max(); ///< the call must not be sent later
};

/// @brief Asks the server to start no new work on the keys, and to answer when the running work on them has ended.
struct ReleaseKeys
{
    std::uint64_t call = 0;
    UpstreamServer server;
    KeyRange keys;
    std::uint64_t fence = 0;
};

/// @brief Writes the plan to the store, in place of the previous one.
struct SaveKeyPlan
{
    KeyPlan plan;
};

/// @brief Asks the deputy to consent to long holds, as the store does not answer.
struct AskDeputy
{
    std::uint64_t term = 0;
    PlanDeputy deputy;
};

/// @brief Describes a decision about ownership, for the log.
struct OwnershipNote
{
    std::string text;
};

/// @brief A grant that has not expired. A later leader may have released the keys.
struct RunningGrant
{
    KeyRange keys;
    ServerIncarnation owner;
    TimePoint until; ///< the grant lasts until then at least
};

/// @brief The grants of one leader's term.
struct RunningGrants
{
    std::vector<RunningGrant> grants; ///< in ascending order, without overlap
    std::uint64_t fence = 0; ///< not below those of the grants, and below those of every later leader
};

/// @brief What a new leader knows of the leaders before it.
struct PredecessorKnowledge
{
    KeyPlan plan; ///< the last known plan; empty before the first one
    /// False when newer plans may have been written and lost: then any server may own any key.
    bool isPlanComplete = true;
    Milliseconds activeFor{0}; ///< an earlier leader may still grant keys for this long
    bool noLongHolds = false; ///< the previous leader has certainly granted no long holds
    std::uint64_t leastTerm = 1; ///< above the terms of all plans that may have been lost
    RunningGrants ownGrants; ///< of this leader's last term; for a plan that is not complete
};

/// @brief The number of the first term in an era of the store (see `ConfigStore::era`). It is above every term of the
/// earlier eras, whose plans may have been lost.
std::uint64_t firstTermOfEra(std::uint64_t era);

using KeyAction = std::variant<GrantKeys, ReleaseKeys, SaveKeyPlan, AskDeputy, OwnershipNote>;

/// @brief How a call to a server ended.
enum class KeyCallOutcome {
    Accepted,
    Refused, ///< the server has seen a higher fencing token
    NoAnswer, ///< it may have taken effect or may still do so; its hold counts from the latest possible arrival
    NotSent, ///< no connection was made, so the call has no effect
};

/// @brief The safety rules that give each key at most one owner. Tests switch off one rule at a time to show that the
/// simulation detects its absence.
struct StandardKeyRules
{
    static constexpr bool SavePlanFirst = true; ///< the saved plan names an owner before it is granted keys
    static constexpr bool WaitForExpiry = true; ///< the keys of a lost owner wait until its grant has expired
    static constexpr bool CountLateGrants =
        true; ///< unanswered grants count from their latest arrival, also after a release
    static constexpr bool CheckLease = true; ///< nothing is sent once another leader may exist
    static constexpr bool AllowForSlowClock = true; ///< a hold may last longer when a server's clock runs slow
    static constexpr bool WaitForConsent = true; ///< a plan's deputy consents before a long hold is granted
    static constexpr bool NameDeputyLate = true; ///< a plan names a deputy only when no earlier long hold can last
    static constexpr bool DistrustOldPlan = true; ///< a plan of an earlier era of the store does not tell all owners
    static constexpr bool RecordUnknownOwners = true; ///< the plan names the keys that may have an unknown owner
    static constexpr bool DelayOwnerChanges = true; ///< a new leader first leaves all keys with the owners in the plan
    static constexpr bool LimitKnownPlan = true; ///< a leader's own plan is known for a limited time after its lease
    static constexpr bool CountActivePredecessor = true; ///< holds count from the last moment of an earlier leader
    static constexpr bool KeepRestartedOwner = true; ///< a restarted server may hold keys granted to its previous run
    static constexpr bool ConfirmWithOldFence = true; ///< an owner that a later leader has reached confirms nothing
    static constexpr bool ConfirmInTime = true; ///< a grant is confirmed before it can have expired
    static constexpr bool ResetGivenUpCalls = true; ///< a call that was given up does not arrive much later
    static constexpr bool RaiseTermWithEra = true; ///< terms of a new era are above those of earlier ones
};

/// @brief Decides which server owns which keys of one service, for one term of one leader. It does no I/O, starts no
/// threads and reads no clock.
///
/// The plan in the store names for each key the only server that may own it. Only the leader writes the plan, by
/// compare-and-swap, and it grants keys to a server only after the plan that names the server has been written. A new
/// leader can therefore renew the grants of the plan at once. It waits only for the keys of servers that are gone,
/// until the longest hold that its predecessor may have granted has expired. While the store does not answer, grants
/// have long holds; if the plan names a deputy, only with the deputy's consent (see DeputyConsents). The leader sends
/// nothing after its lease in the store has ended (`setLeaderLease`), and no other leader can exist before that.
///
/// When the store is restored from an older copy, a new era begins, and plans and leases may have been lost. The leader
/// of the earlier era knows which servers may own keys (`knownPlan`) as long as no other leader can have changed that.
/// Later it asks the owners whose grants still run (`runningGrants`) with a fence of its last term: an owner that
/// accepts has been reached by no later leader, and no other server can own its keys. All other keys, and all keys
/// under another leader, wait until every hold of the earlier era has expired.
template <typename Rules>
class BasicKeyAuthority
{
public:
    /// @param plan the plan in the store; empty before the first one
    /// @param times durations and intervals
    /// @param now start of the term
    /// @param noLongHolds whether the previous leader has certainly granted no long holds
    BasicKeyAuthority(KeyPlan plan, KeyAuthorityTimes times, TimePoint now, bool noLongHolds = false);

    /// @param known what is known of the earlier leaders
    /// @param times durations and intervals
    /// @param now start of the term
    BasicKeyAuthority(PredecessorKnowledge known, KeyAuthorityTimes times, TimePoint now);

    /// @brief Sets the servers of the service. A server that is missing has left or can't reach the store.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief Sets the end of the leader's lease.
    /// @param until no other leader exists before this time
    /// @param storeAnswers false while the store does not answer this host
    void setLeaderLease(TimePoint until, bool storeAnswers);

    /// @brief Sets the run of the host that the next plans name as deputy; empty for none.
    void setDeputy(const std::string &run, TimePoint now);

    /// @brief Tells that the deputy has consented to long holds.
    void onDeputyConsent(std::uint64_t term, std::uint64_t epoch);

    /// @brief The recent load of each key and the capacity of each server.
    struct Demand
    {
        std::vector<float> fastAverage; ///< by key: busy slots, averaged over `fastWindow`
        std::vector<float> slowAverage; ///< the same over `slowWindow`
        Seconds fastWindow;
        Seconds slowWindow;
        Seconds meanWork; ///< of one request
        std::map<std::string, double> capacities; ///< by server: slots, weighted by speed
    };

    /// @brief Starts to move keys off evacuated servers; when a round is due, also moves that balance the load and
    /// merges of narrow ranges.
    void balance(const Demand &demand, TimePoint now);

    /// @brief Processes the result of a call to a server.
    /// @param call number of the call
    /// @param end how the call ended
    /// @param handover the handover data in the server's answer to a release
    /// @param now time at which the result arrived
    /// @return whether `advance` has new work to do; false after a renewal, of which a leader gets hundreds per second
    bool onCallOutcome(std::uint64_t call, KeyCallOutcome end, const std::string &handover, TimePoint now);

    /// @brief Tells that the last `SaveKeyPlan` has been written to the store.
    void onPlanSaved(TimePoint now);

    /// @brief Performs the steps that are due. To be called every few to tens of milliseconds, and after each event.
    /// @return the calls, writes and log messages to be carried out
    std::vector<KeyAction> advance(TimePoint now);

    /// @brief The keys that have a known owner at this time, and their owners.
    KeyOwners owners(TimePoint now) const;

    /// @brief The orphaned keys, each range with the time before which it can't get an owner.
    std::vector<OrphanedRange> orphanedRanges(TimePoint now) const;

    const KeyPlan &plan() const;

    /// @brief The plan that tells every possible owner, after the store has lost it.
    /// @param leaseEnd when this leader's last lease ended
    /// @return nothing when another leader may have changed owners since, or before the first plan was saved
    std::optional<KeyPlan> knownPlan(TimePoint leaseEnd, TimePoint now) const;

    /// @brief The grants of this term that have certainly not expired.
    RunningGrants runningGrants(TimePoint now) const;

private:
    enum class State {
        Confirming, ///< `owner` is asked whether its grant of this leader's last term is still in force
        Orphaned, ///< a lost server, or one with a late grant, may own the keys until the holds end
        Unowned, ///< no server owns the keys
        Planned, ///< `owner` gets the keys once the plan has been saved
        Granting, ///< the saved plan names `owner`, which has not accepted the grant yet
        Held, ///< `owner` has accepted the grant
        Releasing, ///< `owner` has been or is to be asked to release the keys
    };

    /// A range of keys with one owner and one state.
    struct Segment
    {
        KeyRange keys;
        State state = State::Unowned;
        ServerIncarnation owner;
        std::string nextOwner; ///< the server that gets the keys after the release; empty for any
        std::uint64_t fence = 0;
        std::string handover;
        TimePoint holdEnd; ///< every accepted grant of these keys to `owner` has expired by then
        TimePoint lateHoldEnd; ///< every unanswered grant of these keys has expired by then
        TimePoint grantedUntil; ///< the last grant to `owner` lasts until then at least
        TimePoint sentAt; ///< of the last grant
        TimePoint sendAt; ///< when the next call is due
        std::uint64_t call = 0; ///< number of the call in flight; 0 for none
        Milliseconds callHold{0}; ///< hold of the last grant that was sent
        bool released = false; ///< the owner has released the keys, but an unanswered grant may still reach it
        bool inherited = false; ///< owned under the previous leader, so the owner already serves the keys

        bool isOwnerUnknown() const
        {
            return (state == State::Orphaned && owner.id.empty()) || state == State::Confirming;
        }
    };

    using Actions = std::vector<KeyAction>;

    /// Calls in flight to one server.
    struct Calls
    {
        int grants = 0;
        int releases = 0;
    };

    /// Each call in flight needs a connection, and servers reset connections beyond their limit. Grants are answered at
    /// once, so a few are enough. Releases wait for running work, and a server with 200 hot keys has to release most of
    /// them within a second.
    static constexpr int MaxGrantCalls = 4;
    static constexpr int MaxReleaseCalls = 32;
    /// With more ranges per server than this, ranges are merged faster and also in rounds that move keys by load.
    static constexpr std::size_t FragmentedRangesPerServer = 3;

    bool holdsLease(TimePoint now) const;
    Duration withClockDrift(Milliseconds hold) const;
    const UpstreamServer *liveServer(const ServerIncarnation &life) const;
    std::uint64_t nextFence();
    void inheritOwners(const KeyPlan &plan, TimePoint holdEnd);
    void waitForAllHolds(const KeyPlan &plan, TimePoint holdEnd);
    void addUnknownOwner(const KeyRange &keys, const std::string &nextOwner, TimePoint holdEnd);
    void confirmOwners(const RunningGrants &own);
    void updateConfirmation(Segment &segment, TimePoint now);
    void forgetOwner(Segment &segment);
    void fillGaps();
    void split(std::uint32_t from);
    void release(Segment &segment, const std::string &nextOwner, TimePoint now);
    void updateOwnerState(Segment &segment, TimePoint now);
    void assignUnowned(TimePoint now);
    std::string leastLoaded(const KeyRange &keys) const;
    std::string chooseOwner(const Segment &segment) const;
    void coalesceNeighbours(TimePoint now);
    void savePlan(TimePoint now, Actions &actions);
    bool isPlanned(const Segment &segment) const;
    void startPlannedGrants(TimePoint now);
    bool mayGrantLongHolds() const;
    bool mayLongHoldsLast(TimePoint now) const;
    void askDeputies(TimePoint now, Actions &actions);
    void renewAllAtOnce();
    void countCalls();
    void send(Segment &segment, TimePoint now, Actions &actions);
    void recordOutcome(const std::string &server, KeyCallOutcome end);
    Milliseconds retryDelay(const std::string &server) const;
    void onGrantEnd(Segment &segment, KeyCallOutcome end, TimePoint now);
    void onReleaseEnd(Segment &segment, KeyCallOutcome end, const std::string &handover, TimePoint now);
    void setUnowned(Segment &segment);
    void planGrant(Segment &segment, TimePoint now);
    void noteLoss(const Segment &segment, TimePoint now);
    void inheritLosses(std::vector<KeyLoss> losses, TimePoint now);
    std::vector<KeyLoss> recentLosses(TimePoint now) const;
    bool isSettled(const Segment &segment, TimePoint now) const;
    std::map<std::string, double> usableCapacities(const Demand &demand) const;
    void evacuate(const Demand &demand, TimePoint now);
    std::vector<OwnedRange> movableRanges(TimePoint now) const;
    std::vector<OwnedRange> unmovableRanges(TimePoint now) const;
    void move(const KeyMove &move, const std::string &reason, TimePoint now);

    KeyAuthorityTimes m_times;
    KeyPlan m_plan; ///< the plan in the store, or the one that is being saved
    KeyPlan m_savedPlan; ///< the last plan of this term that was saved
    TimePoint m_ownerChangesFrom; ///< no key gets another owner before this time
    std::vector<Segment> m_segments; ///< in ascending order, covering all keys
    std::map<std::string, UpstreamServer> m_servers;
    std::map<std::string, double> m_keyCounts; ///< by server: keys that it owns or is about to get
    TimePoint m_leaseEnd;
    bool m_storeAnswers = true;
    bool m_planSaved = false; ///< whether a plan of this term has been saved
    bool m_planInFlight = false;
    bool m_ownersChanged = false; ///< whether owners or the deputy have changed since the last plan was made
    PlanDeputy m_deputy; ///< for the next plan
    PlanDeputy m_savedDeputy; ///< of the last plan that was saved
    std::uint64_t m_lastEpoch = 0;
    std::set<std::uint64_t> m_consents; ///< epochs of the deputies that have consented
    TimePoint m_longHoldEnd; ///< every answered or given-up grant with a long hold has expired by then
    TimePoint m_askDeputyAt;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastCall = 0;
    TimePoint m_balancedAt;
    TimePoint m_mergedAt;
    TimePoint m_coalescedAt;
    RecentOwners m_recentOwners;
    std::map<std::string, Calls> m_calls; ///< by server
    std::map<std::string, int> m_unanswered; ///< by server: consecutive calls without an answer
    std::vector<std::string> m_decisions;
};

using KeyAuthority = BasicKeyAuthority<StandardKeyRules>;
extern template class BasicKeyAuthority<StandardKeyRules>;

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP
