#ifndef SNIPEVALVE_DISPATCH_DISPATCHER_HPP
#define SNIPEVALVE_DISPATCH_DISPATCHER_HPP

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "snipevalve/dispatch/joined_servers.hpp"
#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/remaining_work.hpp"
#include "snipevalve/dispatch/repeat_window.hpp"
#include "snipevalve/dispatch/server_loads.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/dispatch/slot_shares.hpp"
#include "snipevalve/dispatch/warmup_pace.hpp"
#include "snipevalve/dispatch/work.hpp"
#include "snipevalve/dispatch/work_estimates.hpp"
#include "snipevalve/dispatch/work_order.hpp"
#include "snipevalve/gateway/server_load.hpp"
#include "snipevalve/request/outlier_detector.hpp"

namespace snipevalve {

struct DispatcherOptions
{
    RepeatLimits repeats;
    double slotShare = 1.0; ///< share of each server's slots that this dispatcher may fill
    unsigned queuedPerServer = 0; ///< requests that may wait at a server whose slots are all taken
    bool reservesSlots = true; ///< for urgent requests, where less urgent ones hold slots for long
    std::uint64_t seed = 1; ///< seeds the jitter of retry-after times
};

/// @brief Places the requests of one service on its servers. No I/O, threads or clock.
///
/// One queue in front of all servers, with late binding (as in Sparrow, SOSP 2013): a request gets a server only when
/// one of that server's slots is free, so no server's own queue grows while other servers are idle. Requests that can
/// still meet their target time go first, then those that can only meet their deadline. A request is admitted only if
/// its predicted completion, behind the requests queued ahead of it, meets its target or its deadline; a late request
/// may only use the capacity left over by on-time work. All others are rejected immediately, so that under overload the
/// slots serve on-time requests instead of a queue in which every request becomes late.
///
/// While no slot is free, `queuedPerServer` further requests are placed on each server and wait there. The end of a
/// request takes time to reach the dispatcher, and the next one as long to reach the server; without a request at hand
/// the slot would be idle meanwhile, an eighth of the time on hosts with a tenth of a core.
///
/// The decisions that differ by deployment are classes of their own: WorkOrder (which request is next), SlotShares
/// (slots for urgent requests), WorkEstimates, LoadReports and RemainingWork (what a request takes, and what a server
/// still has to do), WarmupPace (cold servers) and JoinedServers (servers that would get no request at low load).
///
/// Designed for servers running near capacity: bursts, overload, slow servers and hot keys.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// @brief Sets the usable servers. Requests already running on a removed server keep their slots there.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief For keyed services: sets the owner of each key range. Without owners a request may go to any server.
    void setOwners(KeyOwners owners, TimePoint now);

    /// @brief Sets the key ranges that no server may own yet, each with the time from which it may be owned again.
    void setOrphanedRanges(std::vector<OrphanedRange> ranges);

    /// @brief Changes the share of each server's slots that this dispatcher may fill.
    void setSlotShare(double share);

    void submit(WorkItem item, TimePoint now);

    /// @brief Counts a request that another dispatcher has already placed on this server.
    void adopt(const WorkItem &item, const std::string &server, TimePoint now);

    /// @brief The repeats that are allowed and counted here.
    const RepeatWindow &repeats() const;

    /// @brief The slots that are reserved for urgent requests.
    const SlotShares &slotShares() const;

    /// @brief The expected service time of the request on a server of normal speed.
    Seconds expectedWork(const WorkItem &item) const;

    /// @brief What the request adds to the load of its key when keys are balanced over servers.
    Seconds balanceWork(const WorkItem &item) const;

    /// @brief What is known of the work of requests.
    const WorkEstimates &workEstimates() const;

    /// @brief Records the service time of a send placed by another dispatcher, for estimates made here.
    /// @param load what the server has said of its load in the answer
    void learn(const WorkItem &item, const std::string &server, Duration took, const std::optional<ServerLoad> &load,
               TimePoint now);

    /// @brief Ends a send, or removes a waiting request whose sender gave up. Unknown tickets are ignored.
    /// @param load what the server has said of its load in the answer or refusal
    void finish(Ticket ticket, WorkEnd end, Duration took, TimePoint now,
                const std::optional<ServerLoad> &load = std::nullopt);

    /// @brief The limits on requests to cold servers.
    WarmupPace &pace()
    {
        return m_pace;
    }

    /// @brief Rejects requests that can no longer meet their deadline and places those that have an available server.
    void advance(TimePoint now);

    /// @brief Placements and rejections since the last call.
    std::vector<DispatchDecision> take();

    std::size_t waiting() const;
    std::size_t running() const;

    /// @brief The server's slots divided by its slowness: its capacity in slots of a server of normal speed.
    /// @param now when a cold server's pace limits it; by default none does
    double capacityOf(const std::string &server, TimePoint now = TimePoint::max()) const;

private:
    /// Ejections are short: users' faults last a few seconds, and the keys of an ejected server have no other owner.
    static OutlierOptions ejection()
    {
        OutlierOptions options;
        options.longestEjection = Milliseconds(2'000);
        return options;
    }

    struct ServerState
    {
        UpstreamServer server;
        Slowness slowness; ///< usual, without the momentary slowdowns that the server reports
        LoadReports loads;
        RemainingWork remaining;
        OutlierDetector outliers{ejection()};
        double refusalRate = 0; ///< moving average of the share of sends that the server refused
        unsigned busy = 0;
        std::deque<Ticket> queued; ///< sends that wait at the server, in the order in which they get a slot
        bool isLeaving = false; ///< gets no new work; if not listed, it is kept until its running requests end
        TimePoint lastUsedAt;
        TimePoint newestAnsweredStart; ///< latest start time among the answered sends
        std::map<std::uint32_t, TimePoint> lastAnswerByHost; ///< a recent one implies an open connection
    };

    struct Running
    {
        std::string server;
        WorkTraits traits;
        std::uint32_t host = 0;
        TimePoint startedAt;
        TimePoint suspectAt; ///< from then on it frees its slot if the server has answered a later send
        TimePoint presumedLostAt; ///< from then on it frees its slot in any case
        bool isWaitingAtServer = false; ///< was placed while all slots were taken, and none has been freed since
        TimePoint slotSince; ///< since when it has a slot at the server
        bool holdsSlot = true;
    };

    using WorkItems = std::vector<WorkItem>;

    /// The requests waiting for one server (keyed services) or for any server (other services).
    struct ServerQueue
    {
        WorkItems items;
        double onTimeDemand = 0; ///< moving average of the slots that on-time requests need
        TimePoint demandAt;
    };

    /// The servers that can take a queue's requests now.
    struct Candidates
    {
        std::vector<ServerState *> available;
        bool areLateInOrder = false; ///< late requests keep their place in the queue's order
        double bestBusyFactor = 1e9; ///< lowest time factor of a busy server, including the wait for a slot
    };

    /// What a queue's servers offer now. Summing it up takes a pass over all servers.
    struct QueueCapacity
    {
        double slots = 0; ///< weighted by the servers' speeds
        bool isAnyFree = false;
        Seconds paceWait{0}; ///< until the pace of a cold server allows a request
    };

    /// The predicted wait of a request, and whether it would meet its target time and its deadline.
    struct Forecast
    {
        Seconds wait{0};
        Seconds retryAfter{0}; ///< when a request like it can come, if it is rejected
        bool meetsTarget = false;
        bool meetsDeadline = false;
    };

    /// Rank of an available server for a request, compared field by field; lower is better.
    struct Suitability
    {
        bool isLate = false;
        int joinRank = 0; ///< see JoinedServers
        bool isInOtherZone = false;
        bool isSlowNow = false; ///< it reports to be slower or fuller than usual
        bool needsConnection = false;
        Seconds time{0};
        double busyShare = 0;

        auto operator<=>(const Suitability &) const = default;
    };

    unsigned runningOn(const std::string &server) const;
    Suitability suitability(const ServerState &state, const WorkItem &item, Seconds work, Seconds time,
                            bool isLightlyLoaded, TimePoint now) const;
    bool isLightlyLoaded() const;
    void releaseStaleSlots(TimePoint now);
    unsigned limitOf(const ServerState &state) const;
    bool isUsable(const ServerState &state, TimePoint now) const;
    bool isEvacuated() const;
    bool hasFreeSlot(const ServerState &state, TimePoint now) const;
    bool canQueue(const ServerState &state, TimePoint now) const;
    bool admits(const ServerState &state, const WorkItem &item, TimePoint now) const;
    Seconds patientlyExpectedOn(const ServerState &state, const WorkItem &item, TimePoint now) const;
    Seconds expectedOn(const ServerState &state, const WorkItem &item, TimePoint now) const;
    double capacityOfQueue(const std::string &name, TimePoint now) const;
    double capacityOf(const ServerState &state, double slots, TimePoint now) const;
    double freeSlots(const std::string &name, TimePoint now) const;
    Seconds paceWait(const std::string &name, TimePoint now) const;
    QueueCapacity capacityNow(const std::string &name, TimePoint now) const;
    Forecast forecast(const WorkItem &item, const WorkAhead &ahead, bool isSubmission, const QueueCapacity &present,
                      const ServerQueue &queue, const std::string &name, TimePoint now) const;
    Forecast forecast(const WorkItem &item, const ServerQueue &queue, const std::string &name, TimePoint now) const;
    bool canMeetTarget(const WorkItem &item, TimePoint now) const;
    std::optional<TimePoint> orphanedUntil(const WorkItem &item) const;
    double shareForLateWork(const ServerQueue &queue, const std::string &name, TimePoint now) const;
    double shareForLateUrgentWork(int priority, TimePoint now) const;
    void decayDemand(ServerQueue &queue, TimePoint now) const;
    void updateTotals(TimePoint now);
    WorkEstimate estimate(const WorkItem &item, TimePoint now) const;
    WorkOrder orderOf(const ServerQueue &queue, const std::string &name, TimePoint now) const;
    const std::string &poolOf(const std::string &server) const;
    std::string queueName(const WorkItem &item);
    void reject(const WorkItem &item, RejectReason reason, Seconds retryAfter, TimePoint now);
    void place(const WorkItem &item, ServerState &state, TimePoint now);
    void serveQueue(const std::string &name, ServerQueue &queue, TimePoint now);
    Candidates candidatesFor(const std::string &queueName, bool mayQueue, TimePoint now);
    void placeItems(const std::vector<const WorkItem *> &items, Candidates &candidates, bool mayQueue,
                    std::set<Ticket> &placed, TimePoint now);
    double timeFactor(const ServerState &state) const;
    std::optional<Seconds> untilSlotOf(const ServerState &state, TimePoint now) const;
    Seconds timeUntilSlot(const std::string &name, Seconds usual, TimePoint now) const;
    Seconds timeOn(const ServerState &state, Seconds work, TimePoint now) const;
    ServerState *bestAvailable(const WorkItem &item, const Candidates &candidates, TimePoint now);
    void learnFrom(ServerState &state, const Running &ended, Duration work, bool hasReport, TimePoint now);
    void onSlotFreed(ServerState &state, Ticket ended, TimePoint now);
    std::vector<const WorkItem *> orderedItems(const ServerQueue &queue, const std::string &name, TimePoint now) const;
    void rejectUnmeetable(const std::string &name, ServerQueue &queue, TimePoint now);
    void requeueAll(TimePoint now);

    DispatcherOptions m_options;
    WorkEstimates m_work;
    RepeatWindow m_repeats;
    JoinedServers m_joined;
    SlotShares m_shares;
    WarmupPace m_pace;
    std::mt19937_64 m_random;
    bool m_keyed = false;
    bool m_isEvacuated = false; ///< requests that would wait for a server are refused
    KeyOwners m_owners;
    std::vector<OrphanedRange> m_orphanedRanges;
    std::map<std::string, ServerState> m_servers; ///< by id
    std::map<std::string, ServerQueue> m_queues; ///< by owner's id; a single one named "" for unkeyed services
    TimePoint m_forecastAt;
    double m_serviceCapacity = 0; ///< of all servers, as of the last advance()
    double m_serviceDemand = 0; ///< of all queues, as of the last advance()
    std::map<Ticket, Running> m_running;
    /// The last answer of capacityOfQueue() for all servers; asked for each waiting request at the same time.
    mutable double m_capacity = 0;
    mutable TimePoint m_capacityAt;
    /// The last answer of timeUntilSlot() for a service without keys; asked for each waiting request at the same time.
    mutable std::optional<Seconds> m_untilAnySlot;
    mutable TimePoint m_untilAnySlotAt;
    mutable std::size_t m_untilAnySlotRunning = 0;
    std::vector<DispatchDecision> m_decisions;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_DISPATCHER_HPP
