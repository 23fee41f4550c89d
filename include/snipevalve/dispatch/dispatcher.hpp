#ifndef SNIPEVALVE_DISPATCH_DISPATCHER_HPP
#define SNIPEVALVE_DISPATCH_DISPATCHER_HPP

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/repeat_window.hpp"
#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/dispatch/work.hpp"
#include "snipevalve/request/outlier_detector.hpp"

namespace snipevalve {

struct DispatcherOptions
{
    RepeatLimits repeats;
    double slotShare = 1.0; ///< the part of each server's slots that this dispatcher may fill
    std::uint64_t seed = 1; ///< for the spread of the times to come back
};

/// @brief Places the requests of one service on its servers. No I/O, threads or clock.
///
/// One queue in front of all servers, with late binding (as in Sparrow, SOSP 2013): a request gets a server only when
/// one of that server's slots is free, so no server's own queue fills while others idle. Requests that can still be
/// answered within their target go first, then those that can only be late. A request is taken only when it can be
/// answered in time behind those that go before it; a late one has to find room beside the work that keeps coming in
/// time. Otherwise it is rejected at once, so that under overload the slots serve answers of full worth and not a queue
/// in which all become late.
///
/// Answers the load pattern "all servers nearly full": bursts, overload, slow servers and hot keys.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    /// @brief The usable servers. Requests that run on a server that left keep their place there.
    void setServers(const std::vector<UpstreamServer> &servers, TimePoint now);

    /// @brief For keyed services: who holds which keys. Without it every request goes to any server.
    void setOwners(KeyOwners owners, TimePoint now);

    /// @brief Keys that nobody can hold for a while, each with the time when that ends.
    void setOrphanedRanges(std::vector<OrphanedRange> ranges);

    /// @brief Changes the part of each server's slots that this dispatcher may fill.
    void setSlotShare(double share);

    void submit(WorkItem item, TimePoint now);

    /// @brief Counts a request that another dispatcher has already placed on this server.
    void adopt(const WorkItem &item, const std::string &server, TimePoint now);

    /// @brief How long the request keeps a slot of a server of usual speed busy.
    Seconds expectedWork(const WorkItem &item) const;

    /// @brief Another dispatcher's send of this class took so long: this one then expects as much, should it decide.
    void learn(std::uint64_t workClass, Duration took);

    /// @brief The sender no longer waits, or its send has ended. Unknown tickets are ignored.
    void finish(Ticket ticket, WorkEnd end, Duration took, TimePoint now);

    /// @brief Rejects what has become too late and places what can go.
    void advance(TimePoint now);

    /// @brief Placements and rejections since the last call.
    std::vector<DispatchDecision> take();

    std::size_t waiting() const;
    std::size_t running() const;

    /// @brief Requests a second that the server runs when all its slots are busy.
    double capacityOf(const std::string &server) const;

private:
    /// A failed server is tried again soon: the users' faults last some seconds, and its keys have no other owner.
    static OutlierOptions ejection()
    {
        OutlierOptions options;
        options.longestEjection = Milliseconds(2'000);
        return options;
    }

    struct ServerState
    {
        UpstreamServer server;
        Slowness slowness;
        OutlierDetector outliers{ejection()};
        double refuseShare = 0; ///< of the sends of late that the server refused, averaged
        unsigned busy = 0;
        bool gone = false; ///< takes no new work; kept for the requests that run there
        TimePoint lastUsedAt;
        TimePoint newestDone; ///< when the latest begun of the answered sends was begun
        std::map<std::uint32_t, TimePoint> answeredTo; ///< by host: when it last got an answer, and kept the connection
    };

    struct Running
    {
        std::string server;
        std::uint64_t workClass = 0;
        std::uint32_t host = 0;
        TimePoint since;
        TimePoint doubtfulAt; ///< later it holds no slot if the server has answered what was begun after it
        TimePoint hopelessAt; ///< later it holds no slot
        bool occupies = true;
    };

    using Queue = std::vector<WorkItem>;

    /// What waits for one server (keyed services) or for any (others).
    struct Lane
    {
        Queue queue;
        double inTimeWork = 0; ///< slots that requests which can be in time ask for, averaged
        TimePoint averagedAt;
    };

    /// The servers that a lane's requests may go to now.
    struct Candidates
    {
        std::vector<ServerState *> open;
        double bestBusyFactor = 1e9; ///< of the busy server that would be through soonest, against one of usual speed
    };

    /// When a request would be through, and whether that is good enough.
    struct Forecast
    {
        Seconds wait{0};
        bool inTarget = false;
        bool inDeadline = false;
    };

    /// How good an open server is for an item; less is better.
    struct Suitability
    {
        bool isLate = false;
        bool isElsewhere = false;
        bool isCold = false;
        Seconds time{0};
        double busyShare = 0;

        auto operator<=>(const Suitability &) const = default;
    };

    unsigned runningOn(const std::string &server) const;
    Suitability suitability(const ServerState &state, const WorkItem &item, Seconds time, bool isCalm,
                            TimePoint now) const;
    bool isCalm() const;
    void freeAbandonedSlots(TimePoint now);
    unsigned limitOf(const ServerState &state) const;
    bool isOpen(const ServerState &state, TimePoint now) const;
    Seconds expectedOn(const ServerState &state, const WorkItem &item) const;
    double capacityOfLane(const std::string &name) const;
    double freeSlots(const std::string &name, TimePoint now) const;
    Forecast forecast(const WorkItem &item, Seconds inTimeAhead, Seconds lateAhead, const Lane &lane,
                      const std::string &name, TimePoint now) const;
    Forecast forecast(const WorkItem &item, const Lane &lane, const std::string &name, TimePoint now) const;
    bool canBeInTarget(const WorkItem &item, TimePoint now) const;
    std::optional<TimePoint> darkUntil(const WorkItem &item) const;
    double leftOver(const Lane &lane, const std::string &name) const;
    void average(Lane &lane, TimePoint now) const;
    void updateTotals(TimePoint now);
    bool goesBefore(const WorkItem &left, const WorkItem &right, TimePoint now) const;
    std::string laneName(const WorkItem &item);
    void reject(const WorkItem &item, RejectReason reason, Seconds retryAfter);
    void place(const WorkItem &item, ServerState &state, TimePoint now);
    void serveLane(const std::string &name, Lane &lane, TimePoint now);
    Candidates candidatesOf(const std::string &laneName, TimePoint now);
    double timeFactor(const ServerState &state) const;
    ServerState *bestOpen(const WorkItem &item, const Candidates &candidates, TimePoint now);
    std::vector<const WorkItem *> inOrder(const Lane &lane, TimePoint now) const;
    void dropHopeless(const std::string &name, Lane &lane, TimePoint now);
    void requeueAll(TimePoint now);

    DispatcherOptions m_options;
    ServiceTimes m_times;
    RepeatWindow m_repeats;
    std::mt19937_64 m_random;
    bool m_keyed = false;
    KeyOwners m_owners;
    std::vector<OrphanedRange> m_darkKeys;
    std::map<std::string, ServerState> m_servers; ///< by id
    std::map<std::string, Lane> m_lanes; ///< by owner's id for keyed services; one without a name for others
    TimePoint m_forecastAt;
    double m_serviceCapacity = 0; ///< of all servers, as of the last advance()
    double m_serviceWork = 0; ///< of all lanes, as of the last advance()
    std::map<Ticket, Running> m_running;
    std::vector<DispatchDecision> m_decisions;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_DISPATCHER_HPP
