#ifndef SNIPEVALVE_NODE_PLACEMENTS_HPP
#define SNIPEVALVE_NODE_PLACEMENTS_HPP

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/node/leader_link.hpp"
#include "snipevalve/node/relayed_news.hpp"

namespace snipevalve {

/// @brief Gets servers for the requests of the traffic thread.
///
/// Asks the host that leads the service. While none can be asked, a dispatcher of this host decides with its share of
/// each server's slots, by the last view of the service.
class Placements
{
public:
    Placements(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed);
    ~Placements();

    /// @brief Waits until the item may be sent to a server or is rejected.
    /// @param ticket set before the waiting begins, so that abandon() can end it
    Awaitable<DispatchDecision> acquire(std::string service, WorkItem item, Ticket &ticket);

    /// @brief The send has ended.
    void finish(Ticket ticket, WorkEnd end, Duration took);

    /// @brief The caller has gone: a waiting acquire() returns with a rejection.
    void abandon(Ticket ticket);

    /// @brief Refuses what still waits for a server; for a node that is about to end.
    void refuseWaiting();

    /// @brief Where the leaders are; a service without one is decided here.
    void setLeaders(const std::map<std::string, Endpoint> &leaders);

    /// @brief Asks these hosts for the configuration and the leaders until some leader is known.
    void askSeeds(const std::vector<Endpoint> &seeds);

    /// @brief What the store says of a service. Ignored while its leader can be asked, which knows it sooner.
    void setStoreView(const ServiceView &view);

    /// @brief Moves time on; to be called every 50 ms or so.
    void advance();

    /// @brief Whether some service has no leader that can be asked. May be called on any thread.
    bool needsStoreViews() const;

    /// @brief Asks a leader for what has changed in the configuration since this version; 0: for all of it.
    void requestConfig(std::uint64_t base);

    /// @brief Called with what a leader tells of the store.
    std::function<void(StoreUpdate)> onStoreUpdate;

private:
    /// One send of one request, from the wish for a server to the end of the send.
    struct Send
    {
        std::string service;
        WorkItem item;
        std::weak_ptr<LeaderLink> link; ///< the leader that was asked; none when this host decided
        std::optional<DispatchDecision> decision;
        std::string server; ///< once it has been placed
        std::unique_ptr<asio::steady_timer> waiting;
    };

    Dispatcher &local(const std::string &service);
    LeaderLink *openLink(const std::string &service);
    void decide(Ticket ticket, DispatchDecision decision);
    void openLinkTo(const Endpoint &endpoint);
    void submitLocally(Send &send);
    void deliverLocal(Dispatcher &dispatcher);
    void onLinkOpen(LeaderLink &link);
    void onLinkLost(LeaderLink &link);
    void onFrame(LeaderLink &link, const proto::LeaderFrame &frame);
    void passNews(LeaderLink &link, const proto::LeaderFrame &frame);
    void setView(const ServiceView &view);
    void report(const Send &send, Ticket ticket, WorkEnd end, Duration took);

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    std::uint64_t m_seed;
    Ticket m_lastTicket = 0;
    std::uint32_t m_hosts = 1; ///< how many hosts share the servers, as the leaders last said
    std::map<Ticket, Send> m_sends;
    std::map<std::string, std::unique_ptr<Dispatcher>> m_local;
    std::map<std::string, Endpoint> m_leaders; ///< by service
    std::map<Endpoint, std::shared_ptr<LeaderLink>> m_links;
    std::map<std::string, ServiceView> m_views; ///< as the leaders last told them
    std::set<std::string> m_services; ///< all that a request or a view has named
    std::atomic<bool> m_needsStoreViews = true;
    StoreUpdate m_passed; ///< the newest of what has been passed on
    std::weak_ptr<LeaderLink> m_newest; ///< to the leader that told of the newest configuration
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_PLACEMENTS_HPP
