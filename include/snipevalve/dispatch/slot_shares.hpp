#ifndef SNIPEVALVE_DISPATCH_SLOT_SHARES_HPP
#define SNIPEVALVE_DISPATCH_SLOT_SHARES_HPP

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/dispatch/recent_demand.hpp"
#include "snipevalve/dispatch/work.hpp"

namespace snipevalve {

/// @brief Reserves slots for urgent requests against less urgent ones that would hold a slot for too long. No I/O,
/// threads or clock.
///
/// Slots are reserved per pool: one server of a keyed service, or all servers of another service. The reserve follows
/// the recent demand of the more urgent priorities in that pool. It is the fewest slots with which about one urgent
/// request in twenty waits longer than its slack (target less work) while less urgent requests take all other slots,
/// and never all slots. It applies only to requests whose expected work, divided by the number of slots, is long
/// against that slack: others free their slots soon enough.
class SlotShares
{
public:
    /// The pool of services without keys. For keyed services it only sums up what is known of the servers.
    static const std::string Service;

    /// What a request can expect of a pool.
    struct Outlook
    {
        bool isLimited = false; ///< slots are reserved against the request
        bool isProtected = false; ///< slots are reserved for the request's priority or for a less urgent one
        double capacityShare = 1.0; ///< share of the pool's slots that it may compete for
        int competesFrom = std::numeric_limits<int>::min(); ///< the most urgent priority that competes for these slots
        Seconds slotInterval{0}; ///< mean time between two slots that are freed for requests like it, if it is limited
        std::optional<Seconds> untilSlot; ///< expected time until a slot is freed for it; empty if nothing is reserved
    };

    /// The reserves of all pools.
    struct Summary
    {
        std::size_t pools = 0; ///< number of pools with a reserve
        unsigned slots = 0; ///< their reserved slots
        double demand = 0; ///< slots that the urgent requests need there

        bool operator==(const Summary &) const = default;
    };

    /// @brief Sets the slots of a pool that this dispatcher may fill, and how much slower than normal its servers are.
    /// Pools without requests are ignored.
    void setPool(const std::string &pool, unsigned slots, double slowness);

    /// @brief Counts a request that was submitted.
    /// @param work its expected service time at normal speed
    void onDemand(const std::string &pool, const WorkItem &item, Seconds work, TimePoint now);

    /// @brief Counts a request that holds a slot of this server or waits there for one.
    void onStart(Ticket ticket, const std::string &server, int priority);

    /// @brief Ends what onStart() has counted. Unknown tickets are ignored.
    void onEnd(Ticket ticket);

    /// @brief Adapts the reserves. To be called about every 20 ms.
    void advance(TimePoint now);

    /// @brief Whether slots of any pool are reserved.
    bool isAnyActive() const;

    /// @brief Whether slots of this pool are reserved for any priority.
    bool isActive(const std::string &pool) const;

    /// @brief The slots of the pool that requests of this priority may not use, if their work is long.
    unsigned reservedAgainst(const std::string &pool, int priority) const;

    /// @brief Whether the request may be sent to this pool now.
    /// @param mustWait whether it would wait at a server for a slot
    bool admits(const std::string &pool, int priority, Seconds work, bool mustWait) const;

    Outlook outlook(const std::string &pool, int priority, Seconds work) const;

    /// @brief The slots that requests of this priority and of more urgent ones need in all pools.
    double serviceDemand(int priority, TimePoint now) const;

    /// @brief How much a request counts when keys are balanced over servers, relative to its work. Urgent requests take
    /// the reserved slots of their server from less urgent ones, which are more than those that they keep busy.
    double balanceWeight(const std::string &pool, int priority) const;

    Summary summary() const;

private:
    /// All requests of one priority.
    struct Kind
    {
        Seconds target{0}; ///< mean time from the submission to the target
        Seconds work{0}; ///< mean expected service time at normal speed
        TimePoint seenAt;
        unsigned count = 0; ///< requests seen
    };

    struct Reserve
    {
        unsigned slots = 0;
        double demand = 0; ///< slots that the more urgent priorities need
        Seconds slack{0}; ///< the shortest slack of the more urgent priorities, at normal speed
    };

    /// Moving averages of a reserve, over about two seconds.
    struct MeanReserve
    {
        double slots = 0;
        double demand = 0;
    };

    struct Pool
    {
        unsigned slots = 0;
        double slowness = 1.0;
        std::map<int, RecentDemand> demand; ///< by priority
        std::map<int, unsigned> running; ///< by priority
        std::map<int, Reserve> reserves; ///< by the priority that they hold back
        std::map<int, MeanReserve> meanReserves; ///< by the same priority
    };

    struct Started
    {
        std::string server;
        int priority = 0;
    };

    const Pool *find(const std::string &pool) const;
    const Reserve *reserveAgainst(const Pool &pool, int priority, Seconds work) const;
    double currentRate(const Pool &pool, int priority, TimePoint now) const;
    void updateReserves(Pool &pool, TimePoint now) const;
    void updateMeans(Pool &pool) const;
    Seconds untilAnySlot(const Pool &pool) const;

    std::map<std::string, Pool> m_pools; ///< by server, and the one of the service
    std::map<int, Kind> m_kinds; ///< by priority
    std::map<Ticket, Started> m_started;
    TimePoint m_observedSince;
    TimePoint m_updatedAt;
    bool m_isAnyActive = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_SLOT_SHARES_HPP
