#ifndef SNIPEVALVE_NODE_LEADER_DISPATCHER_HPP
#define SNIPEVALVE_NODE_LEADER_DISPATCHER_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/messages.hpp"
#include "snipevalve/gateway/leaving_servers.hpp"
#include "snipevalve/net/connection_limiter.hpp"
#include "snipevalve/node/estimate_log.hpp"
#include "snipevalve/node/node_settings.hpp"
#include "snipevalve/node/slot_reserve_log.hpp"
#include "snipevalve/ownership/key_authority.hpp"

namespace snipevalve {

/// @brief The leader's side of the links between hosts: grants or refuses permits, with one dispatcher per led service.
class LeaderDispatcher
{
public:
    LeaderDispatcher(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed);

    /// @brief Called for each first attempt of a request to a keyed service, with the expected work.
    std::function<void(const std::string &service, std::uint16_t key, Seconds work)> onKeyedAsk;

    using KnownViewsReply = std::function<void(std::vector<KnownView>)>;

    /// @brief Called with the services of which a host lacks the views, and with where to pass what is known of them.
    std::function<void(std::vector<std::string> services, KnownViewsReply reply)> onViewsWanted;

    /// @brief Called with a view that a host has sent in reply to requestViews().
    std::function<void(KnownView known)> onKnownView;

    /// @brief Called when a host consents, as a leader's deputy, to long holds.
    std::function<void(const std::string &service, std::uint64_t term, std::uint64_t epoch)> onDeputyConsent;

    /// @brief Called with the number of connected hosts when it changes.
    std::function<void(std::size_t hosts)> onHostCount;

    /// @brief Called when leavingServers() has a new record.
    std::function<void()> onServerLeaving;

    /// @brief Notes that a server is leaving: it gets no more permits from now on.
    /// @param toldBy the host that told it, for the log
    void addLeaving(const LeavingServer &leaving, const std::string &toldBy);

    /// @brief The servers that the list or an answer to any host has shown to be leaving.
    const LeavingServers &leavingServers() const;

    /// @brief The run of the connected host that should be the deputy of a leader on this host.
    /// @param current the run of the present deputy, which stays while it is connected; empty for none
    /// @return the run of the strongest host, preferably in another zone; empty when no host is connected
    std::string chooseDeputy(const std::string &current) const;

    /// @brief Tells a host that the saved plan of a service names it as deputy.
    void notifyDeputy(const std::string &service, const std::string &run);

    /// @brief Asks a service's deputy to consent to long holds.
    /// @param outage how long the store has not answered this host
    void askDeputy(const std::string &service, const AskDeputy &ask, Duration outage);

    /// @brief Asks all connected hosts for the views of these services.
    void requestViews(const std::vector<std::string> &services);

    /// @brief Accepts and serves connections of hosts until the acceptor is closed.
    Awaitable<void> serve(Tcp::acceptor &acceptor);

    /// @brief Starts to lead this service: asks for it are accepted from now on.
    void startLeading(const std::string &service);

    /// @brief Stops leading this service. Pending requests are returned to their hosts, which then decide locally.
    void stopLeading(const std::string &service);

    /// @brief Updates the servers and key owners of a led service; ignored for others.
    void setView(ServiceView view);

    /// @brief Sets the key ranges of a led service that stay unowned for a while, each with the time when that ends.
    void setOrphanedRanges(const std::string &service, std::vector<OrphanedRange> ranges);

    /// @brief Sets the newest configuration. Hosts are told its version at once and then request the changes.
    void setConfig(std::shared_ptr<const GatewayConfig> config);

    /// @brief Sets the leader table, which is sent to all hosts.
    void setLeaders(LeaderTable leaders);

    /// @brief Sets the evacuated zones, which are sent to all hosts. The servers' marks come with setView().
    void setEvacuations(Evacuations evacuations);

    /// @brief Sets the time at which configuration, leaders and evacuations were last known to be up to date with the
    /// store.
    void setStoreReadTime(TimePoint current);

    /// @brief Sets the time at which the servers' entries were last known to be up to date with the store.
    void setEntryReadTime(TimePoint current);

    /// @brief Sets the time at which the store last renewed this host's lease; the clock's epoch without a lease.
    void setLeaseRenewalTime(TimePoint renewedAt);

    /// @brief Runs what depends on time: rejects late requests, sends heartbeats and changed views. To be called about
    /// every 20 ms.
    void advance();

    /// @return the dispatcher of a led service; null for others
    const Dispatcher *dispatcher(const std::string &service) const;

private:
    /// A connected host.
    struct Host
    {
        std::shared_ptr<FrameChannel> channel;
        std::uint32_t number = 0;
        std::string name;
        std::string zone;
        std::string run; ///< identifies the run of its process
        std::uint32_t processorPermille = 0; ///< of a core
        proto::LeaderFrame pending; ///< content of the next frame
        TimePoint sentAt;
        std::uint64_t configVersion = 0; ///< last version announced to the host
        std::pair<std::uint64_t, std::uint64_t> leadersVersion; ///< era and revision of the leader table last sent
        std::pair<std::uint64_t, std::uint64_t> evacuationsVersion; ///< era and revision of those last sent
        std::map<Ticket, Ticket> tickets; ///< from the host's ticket to the leader's
    };

    /// Where a request came from.
    struct Origin
    {
        std::shared_ptr<Host> host;
        Ticket ticket = 0; ///< as numbered by the host
        std::string service;
        bool isRepeat = false;
    };

    struct LedService
    {
        std::unique_ptr<Dispatcher> dispatcher;
        ServiceView view;
        ServiceView sentView; ///< the view that the hosts have; base of the next delta
        bool isViewChanged = false; ///< `view` differs from `sentView`
        bool isViewSent = false; ///< a whole view has been sent; deltas follow
        TimePoint viewSentAt;
        SlotReserveLog reserveLog;
        EstimateLog estimateLog;
    };

    Awaitable<void> serveHost(std::shared_ptr<FrameChannel> channel);
    Awaitable<std::shared_ptr<Host>> awaitFirstFrame(std::shared_ptr<FrameChannel> channel);
    bool handleFrame(const std::shared_ptr<Host> &host, const std::string &bytes);
    void onFrame(const std::shared_ptr<Host> &host, const proto::HostFrame &frame);
    void onAsk(const std::shared_ptr<Host> &host, const proto::Ask &ask, TimePoint now);
    void refuseAsFollower(Host &host, const proto::Ask &ask, TimePoint now);
    void onDone(const std::shared_ptr<Host> &host, const proto::Done &done, TimePoint now);
    void onWantedViews(const std::shared_ptr<Host> &host, const proto::HostFrame &frame);
    void onHostGone(const std::shared_ptr<Host> &host);
    void collectDecisions(LedService &led);
    void setWarmupLimits(const std::string &service, Dispatcher &dispatcher) const;
    void advancePaces(TimePoint now);
    void flush();
    void sendViews(TimePoint now);
    void addConfigChange(Host &host, std::uint64_t base) const;
    bool addStoreUpdate(Host &host) const;
    std::uint64_t configVersion() const;
    Host *hostOfRun(const std::string &run) const;

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    std::uint64_t m_seed;
    std::shared_ptr<ConnectionLimiter> m_newConnections; ///< those whose host is not known yet
    std::shared_ptr<ConnectionLimiter> m_hostConnections;
    std::shared_ptr<FrameMemory> m_frameMemory;
    std::set<std::shared_ptr<Host>> m_hosts; ///< those that have sent their first frame
    std::map<std::string, LedService> m_ledServices;
    std::map<std::string, RepeatWindow> m_formerRepeats; ///< of services that were led here and are not any more
    LeavingServers m_leaving;
    std::map<Ticket, Origin> m_origins; ///< by the leader's ticket, for waiting and running requests
    Ticket m_lastTicket = 0;
    std::uint32_t m_lastHostNumber = 0;
    std::deque<std::shared_ptr<const GatewayConfig>> m_configs; ///< the latest versions in ascending order
    LeaderTable m_leaders;
    Evacuations m_evacuations;
    TimePoint m_storeReadTime;
    TimePoint m_entryReadTime;
    TimePoint m_leaseRenewedAt; ///< zero without a lease
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_LEADER_DISPATCHER_HPP
