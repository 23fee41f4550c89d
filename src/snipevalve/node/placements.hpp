#ifndef SNIPEVALVE_NODE_PLACEMENTS_HPP
#define SNIPEVALVE_NODE_PLACEMENTS_HPP

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/gateway/evacuations.hpp"
#include "snipevalve/gateway/leaving_servers.hpp"
#include "snipevalve/gateway/server_notice.hpp"
#include "snipevalve/gateway/server_pauses.hpp"
#include "snipevalve/node/deputy_ask.hpp"
#include "snipevalve/node/known_views.hpp"
#include "snipevalve/node/leader_link.hpp"
#include "snipevalve/node/store_update.hpp"

namespace snipevalve {

/// @brief Obtains permits to send requests to servers, on behalf of the traffic thread.
///
/// Asks the host that leads the service. While no leader is reachable, a local dispatcher decides, based on the last
/// known view of the service; it may fill only this host's share of each server's slots.
class Placements
{
public:
    Placements(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed);
    ~Placements();

    /// @brief Waits until the item is placed on a server or rejected.
    /// @param service name of the service that the item is for
    /// @param item the request; its ticket is assigned here
    /// @param ticket set before the wait begins, so that abandon() can end it
    /// @return a placement, which must be ended with finish(), or a rejection
    Awaitable<DispatchDecision> acquire(std::string service, WorkItem item, Ticket &ticket);

    /// @brief Reports the end of a send to the dispatcher that placed it, which frees the slot.
    /// @param ticket of the placement
    /// @param end how the send ended
    /// @param took duration of the send
    /// @param load what the server has said of its load in the answer
    void finish(Ticket ticket, WorkEnd end, Duration took, const std::optional<ServerLoad> &load = std::nullopt);

    /// @brief Notes what a server has said of itself in an answer, and tells the service's leader if it is leaving.
    ///
    /// From then on acquire() returns no placement on a leaving server, nor on one whose pause has not ended.
    /// @param server as known when the request was sent; the answer itself does not tell the server's start
    void onServerNotice(const std::string &service, const UpstreamServer &server, const ServerNotice &notice);

    /// @brief Ends a waiting acquire() with a rejection, because the caller has disconnected.
    void abandon(Ticket ticket);

    /// @brief Rejects all requests that still wait for a server. Called during shutdown.
    void refuseWaiting();

    /// @brief Sets the leaders by service. Services without a leader are dispatched locally.
    void setLeaders(const std::map<std::string, Endpoint> &leaders);

    /// @brief Connects to these hosts to learn the configuration and the leaders, while one of them is unknown.
    ///
    /// Load pattern: all hosts restart. The leader table then names leaders that have restarted too and know no more
    /// than this host, and after that it is empty for a while.
    void connectToSeeds(const std::vector<Endpoint> &seeds);

    /// @brief Sets the configuration, which is known from now on.
    void setConfig(std::shared_ptr<const GatewayConfig> config);

    /// @brief Tells that a configuration is known, so that seeds are only needed while there are no leaders.
    void setConfigKnown();

    /// @brief Sets the evacuated zones, unless newer ones are known. Their servers get no new work from then on,
    /// whether the leaders know of it yet or not.
    void setEvacuations(const Evacuations &evacuations);

    /// @brief Sets a view that was read from the store. Ignored while the leader is connected: its views are newer.
    void setStoreView(const ServiceView &view);

    /// @brief Takes a view from another host that has no leader either, unless this host knows a younger one.
    void adoptView(const KnownView &known);

    /// @brief The views of these services that this host can pass on to another one.
    std::vector<KnownView> knownViews(const std::vector<std::string> &services) const;

    /// @brief Runs what depends on time: rejects late requests and closes silent links. To be called about every 50 ms.
    void advance();

    /// @brief Whether some service has no connected leader, so that its view must come from the store. Thread-safe.
    bool needsStoreViews() const;

    /// @brief Requests the configuration from the leader that knows the newest version.
    /// @param base version that the changes should start from; 0 for a whole configuration
    void requestConfig(std::uint64_t base);

    /// @brief Called with the state of the store that a leader relays.
    std::function<void(StoreUpdate)> onStoreUpdate;

    /// @brief Called for each event that is counted in the metrics.
    std::function<void(const std::string &event)> onEvent;

    /// @brief Called with the services whose views this host lacks, so that the hosts connected to it are asked too.
    std::function<void(std::vector<std::string>)> onViewsMissing;

    /// @brief Called when a leader asks this host, as its deputy, to consent to long holds.
    std::function<void(DeputyAsk)> onDeputyAsk;

    /// @brief Called with the services whose leaders have named this host as deputy.
    std::function<void(std::vector<std::string>)> onDeputyOf;

    /// @brief Sends the consent to the leader that has asked.
    void consentAsDeputy(const DeputyAsk &ask);

private:
    /// The pause whose end a request waits for at this host.
    struct AwaitedPause
    {
        std::string owner; ///< of the key, if the leader has named another than the known view; else empty
        TimePoint until;
    };

    /// How a wait for the end of a pause ended.
    struct WaitEnd
    {
        bool isTakenBack = false; ///< the pause or the servers have changed
        std::optional<Rejection> rejection; ///< the wait was ended by abandon() or refuseWaiting()
    };

    /// One attempt of a request, from acquire() to finish().
    struct Send
    {
        std::string service;
        WorkItem wanted; ///< as passed to acquire(); the servers to avoid are those that have failed the request
        std::optional<AwaitedPause> pause; ///< empty once a dispatcher has been asked
        bool isTakenBack = false; ///< is to be considered anew by acquire()
        WorkItem item;
        std::weak_ptr<LeaderLink> link; ///< to the leader that decides; empty when the local dispatcher does
        std::optional<DispatchDecision> decision;
        std::string server; ///< id of the server; empty until the item is placed
        std::unique_ptr<asio::steady_timer> decisionTimer; ///< expires at the deadline; cancelled on a decision
    };

    Awaitable<std::optional<DispatchDecision>> acquireOnce(std::string service, WorkItem wanted, WorkItem item,
                                                           Ticket &ticket);
    TimePoint latestSend(const std::string &service, const WorkItem &item);
    std::optional<TimePoint> pauseOf(const std::string &service, const WorkItem &item, const std::string &owner,
                                     TimePoint now) const;
    Awaitable<WaitEnd> waitUntil(AwaitedPause pause, TimePoint end, std::string service, WorkItem item, Ticket &ticket);
    void reviewWaiting(TimePoint now);
    void addPause(const std::string &service, const std::string &server, Milliseconds pause);
    void returnPermit(const Placement &placement);
    void avoidEvacuated(const std::string &service, WorkItem &item) const;
    void reviewEvacuations();
    void count(const std::string &event) const;
    bool addLeaving(const std::string &service, const UpstreamServer &server, LeavingSource source);
    void tellLeaving(LeaderLink &link, const std::string &service) const;
    Dispatcher &localDispatcher(const std::string &service);
    void setWarmupLimits(const std::string &service, Dispatcher &dispatcher) const;
    LeaderLink *leaderLinkOf(const std::string &service) const;
    LeaderLink *leaderLinkForAsk(const std::string &service, TimePoint now);
    bool isLed(const std::string &service) const;
    void requestMissingViews(TimePoint now);
    void decide(Ticket ticket, DispatchDecision decision);
    void connectTo(const Endpoint &endpoint);
    void updateLinks();
    void submitLocally(Send &send);
    void deliverLocalDecisions(Dispatcher &dispatcher);
    void onLinkOpen(LeaderLink &link);
    void onLinkLost(LeaderLink &link);
    void onFrame(LeaderLink &link, const proto::LeaderFrame &frame);
    void setHostCount(std::uint32_t hosts);
    void forwardStoreUpdate(LeaderLink &link, const proto::LeaderFrame &frame);
    void setView(const ServiceView &view);
    DeputyAsk toDeputyAsk(const proto::DeputyConsent &ask, const Endpoint &leader) const;
    void useView(const ServiceView &view, TimePoint now);
    void report(const Send &send, Ticket ticket, WorkEnd end, Duration took,
                const std::optional<ServerLoad> &load = std::nullopt);

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    std::uint64_t m_seed;
    Ticket m_lastTicket = 0;
    bool m_isHostCountKnown = false;
    std::uint32_t m_hostCount = 1; ///< number of hosts that share the servers, as last told by a leader
    std::map<Ticket, Send> m_sends;
    std::map<std::string, std::unique_ptr<Dispatcher>> m_localDispatchers; ///< by service
    std::map<std::string, Endpoint> m_leaders; ///< by service
    std::set<Endpoint> m_seeds;
    bool m_isConfigKnown = false;
    std::shared_ptr<const GatewayConfig> m_config; ///< null until one is known
    std::map<Endpoint, std::shared_ptr<LeaderLink>> m_links;
    KnownViews m_views;
    LeavingServers m_leaving;
    EvacuatedZones m_evacuatedZones;
    ServerPauses m_pauses;
    std::set<std::string> m_servicesToReview; ///< services whose pauses or servers have changed since the last review
    std::mt19937_64 m_random; ///< spreads the requests that wait for the end of a pause
    /// By service: the host that the leader table names does not lead it; the next request is sent there at this time.
    std::map<std::string, TimePoint> m_nextAskOfDenier;
    std::set<std::string> m_services; ///< every service seen in requests, views or the leader table
    std::atomic<bool> m_needsStoreViews = true;
    StoreUpdate m_lastForwarded; ///< newest version and time that onStoreUpdate was called with
    std::map<Endpoint, TimePoint> m_leaseRenewals; ///< by leader: when the store last renewed its lease
    std::weak_ptr<LeaderLink> m_newestConfigLink; ///< to the leader that announced the newest configuration
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_PLACEMENTS_HPP
