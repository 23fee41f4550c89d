#ifndef SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/ownership/key_balance.hpp"
#include "snipevalve/ownership/key_plan.hpp"

namespace snipevalve {

/// @brief Times of the leader that grants the keys of a service.
struct KeyAuthorityTimes
{
    Milliseconds hold{4'000}; ///< of a grant while the store answers; bounds how long a lost server's keys are dark
    Milliseconds longHold{10'000}; ///< of a grant while the store is away: rides out its outages of up to 9 s
    Milliseconds renewInterval{1'800}; ///< leaves three tries within `hold`, one of them unanswered for 0.5 s
    Milliseconds retryInterval{60}; ///< after the first call without an answer; doubled for each further one in a row
    Milliseconds longestRetryInterval{480};
    Milliseconds balanceInterval{200}; ///< between two rounds of moves by load
    Milliseconds mergeInterval{4'000}; ///< between two rounds that join ranges; longer than most hot spells
    Milliseconds fastMergeInterval{1'000}; ///< the same while there are many ranges, each of which costs renewals
    Milliseconds joinInterval{100}; ///< between two searches for neighbours that have come to one owner
    Milliseconds arrivalSlack{400}; ///< a call without an answer may arrive this long after it was given up
    double clockError = 0.02; ///< a server's clock may run this much slow
};

/// @brief Give these keys to the server until `hold` after the call arrives, or renew such a grant.
struct GrantKeys
{
    std::uint64_t call = 0;
    UpstreamServer server;
    KeyRange keys;
    std::uint64_t fence = 0;
    Milliseconds hold{0};
    std::string handover; ///< the last holder's; empty when there is none
};

/// @brief Have the server stop new work on these keys, and answer when the work on them has ended.
struct ReleaseKeys
{
    std::uint64_t call = 0;
    UpstreamServer server;
    KeyRange keys;
    std::uint64_t fence = 0;
};

/// @brief Write this plan to the store over the last one.
struct SaveKeyPlan
{
    KeyPlan plan;
};

/// @brief A decision, for the log.
struct OwnershipNote
{
    std::string text;
};

using KeyAction = std::variant<GrantKeys, ReleaseKeys, SaveKeyPlan, OwnershipNote>;

/// @brief How a call to a server ended.
enum class KeyCallOutcome {
    Accepted,
    Refused, ///< the server has seen a higher fence
    NoAnswer, ///< it may take effect until its hold, counted from its latest arrival, has run out
    NotSent, ///< no connection: it surely has no effect
};

/// @brief The rules that keep one owner a key. Tests switch one off to show that they notice.
struct StandardKeyRules
{
    static constexpr bool SavePlanFirst = true; ///< a new owner stands in the plan before it is granted anything
    static constexpr bool WaitForHold =
        true; ///< a lost holder's grant has surely run out before another server gets the keys
    static constexpr bool CountLateGrants =
        true; ///< an unanswered grant counts from its latest arrival, also after a release
    static constexpr bool CheckAuthority = true; ///< nothing is sent when another leader may exist
    static constexpr bool AllowForSlowClock = true; ///< holds may last longer on a server's clock
};

/// @brief Decides which server holds which keys of one service, for one term of one leader. No I/O, threads or clock.
///
/// The plan in the store names for each key the only server that may hold it. Only the leader writes it, by
/// compare-and-swap, and it grants keys to a server only after the plan that names this server has been written. A
/// successor therefore renews at once what the plan says, and waits only for servers that are gone: until the longest
/// hold that the earlier leader may have given has run out. The leader's own right to send ends with its lease in the
/// store (`setLeaderLease`), which ends before a successor can exist.
template <typename Rules>
class BasicKeyAuthority
{
public:
    /// @param plan the plan as it stands in the store, empty before the first one
    BasicKeyAuthority(KeyPlan plan, KeyAuthorityTimes times, TimePoint now);

    /// @brief The servers of the service. One that is missing has left, or does not reach the store.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief No other leader exists before this time.
    /// @param storeAnswers false while the store does not answer this host
    void setLeaderLease(TimePoint until, bool storeAnswers);

    /// @brief What the keys' requests have asked for of late.
    struct Demand
    {
        std::vector<float> fast; ///< by key: busy slots, averaged over `fastWindow`
        std::vector<float> slow; ///< the same over `slowWindow`
        Seconds fastWindow;
        Seconds slowWindow;
        Seconds meanWork; ///< of one request
        std::map<std::string, double> capacities; ///< by server: slots weighed by speed
    };

    /// @brief Moves keys by load when a round is due.
    void balance(const Demand &demand, TimePoint now);

    /// @param handover the server's, with the answer to a release
    /// @return whether more can be done at once; false after a renewal, of which a leader gets hundreds a second
    bool onCallOutcome(std::uint64_t call, KeyCallOutcome end, const std::string &handover, TimePoint now);

    /// @brief The plan that was to be saved stands in the store.
    void onPlanSaved(TimePoint now);

    /// @brief Time has passed; to be called every few ms to tens of ms, and after each event.
    std::vector<KeyAction> advance(TimePoint now);

    /// @brief Who surely holds which keys now.
    KeyOwners owners(TimePoint now) const;

    /// @brief Keys that can't have an owner before a time that is known.
    std::vector<OrphanedRange> orphanedRanges(TimePoint now) const;

    const KeyPlan &plan() const;

private:
    enum class State {
        Orphaned, ///< a server that is gone, or whose grant is unanswered, may hold the keys until `holdEnd`
        Free, ///< surely nobody holds the keys
        Planned, ///< `owner` is to get them when the plan is saved
        Granting, ///< `owner` stands in the saved plan and has not accepted yet
        Held, ///< `owner` has accepted
        Releasing, ///< `owner` is to stop using them
    };

    struct Segment
    {
        KeyRange keys;
        State state = State::Free;
        ServerIncarnation owner;
        std::string next; ///< the server that is to get the keys after the release; empty for any
        std::uint64_t fence = 0;
        std::string handover;
        TimePoint holdEnd; ///< no grant of these keys to `owner` lasts longer
        TimePoint lateEnd; ///< no unanswered grant of these keys lasts longer
        TimePoint sendAt; ///< when the next call is due
        std::uint64_t call = 0; ///< under way; 0 for none
        Milliseconds callHold{0};
        bool released = false; ///< the owner has stopped using the keys, but a late grant may still reach it
        bool inherited = false; ///< held under an earlier leader, so the owner serves them already
    };

    using Actions = std::vector<KeyAction>;

    /// Calls under way to one server.
    struct Calls
    {
        int grants = 0;
        int releases = 0;
    };

    /// Each call under way takes a connection, and servers reset connections beyond their limit. Grants are answered at
    /// once, so a few are enough; releases wait for running work, and a server that owns 200 hot keys has to give most
    /// of them away within a second.
    static constexpr int MostGrants = 4;
    static constexpr int MostReleases = 32;
    static constexpr std::size_t ManyRanges = 3; ///< for each server; then ranges are joined also beside moves by load

    bool hasAuthority(TimePoint now) const;
    Duration longest(Milliseconds hold) const;
    const UpstreamServer *liveServer(const ServerIncarnation &life) const;
    std::uint64_t nextFence();
    void coverAllKeys();
    void split(std::uint32_t from);
    void release(Segment &segment, const std::string &next, TimePoint now);
    void followServers(Segment &segment, TimePoint now);
    void assignFree(TimePoint now);
    std::string leastLoaded() const;
    void mergeNeighbours(TimePoint now);
    void savePlan(Actions &actions);
    bool isPlanned(const Segment &segment) const;
    void countCalls();
    void send(Segment &segment, TimePoint now, Actions &actions);
    void noteAnswer(const std::string &server, KeyCallOutcome end);
    Milliseconds retryPause(const std::string &server) const;
    void onGrantEnd(Segment &segment, KeyCallOutcome end, TimePoint now);
    void onReleaseEnd(Segment &segment, KeyCallOutcome end, const std::string &handover, TimePoint now);
    void setFree(Segment &segment);
    std::vector<OwnedRange> movableRanges(TimePoint now) const;
    void move(const KeyMove &move, const std::string &reason, TimePoint now);

    KeyAuthorityTimes m_times;
    KeyPlan m_plan; ///< the one that stands in the store or is being saved
    std::vector<Segment> m_segments; ///< rising, covering all keys
    std::map<std::string, UpstreamServer> m_servers;
    std::map<std::string, double> m_keyCounts; ///< by server: keys that it holds or is to get
    TimePoint m_authorityUntil;
    bool m_storeAnswers = true;
    bool m_planSaved = false; ///< the plan of this term stands in the store
    bool m_planInFlight = false;
    bool m_ownersChanged = false; ///< since the plan was last made
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastCall = 0;
    TimePoint m_balancedAt;
    TimePoint m_mergedAt;
    TimePoint m_joinedAt;
    std::map<std::string, Calls> m_calls; ///< by server
    std::map<std::string, int> m_unanswered; ///< by server: calls in a row without an answer
    std::vector<std::string> m_notes;
};

using KeyAuthority = BasicKeyAuthority<StandardKeyRules>;
extern template class BasicKeyAuthority<StandardKeyRules>;

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_AUTHORITY_HPP
