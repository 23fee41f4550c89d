#ifndef SNIPEVALVE_NODE_DISPATCH_DESK_HPP
#define SNIPEVALVE_NODE_DISPATCH_DESK_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/messages.hpp"
#include "snipevalve/node/node_settings.hpp"

namespace snipevalve {

/// @brief The leader's side of the links: answers the hosts' asks for servers with one dispatcher a service.
class LeaderDispatcher
{
public:
    LeaderDispatcher(asio::any_io_executor executor, const NodeSettings &settings, std::uint64_t seed);

    /// @brief Called for each ask of a keyed service that is no repeat.
    std::function<void(const std::string &service, std::uint16_t key, Seconds work)> onKeyedAsk;

    /// @brief Serves the hosts that connect, until the acceptor is closed.
    Awaitable<void> serve(Tcp::acceptor &acceptor);

    /// @brief Takes asks for this service from now on.
    void lead(const std::string &service);

    /// @brief Takes none any longer; what waits is sent back to its host.
    void stopLeading(const std::string &service);

    /// @brief What is known of a led service has changed.
    void setView(const ServiceView &view);

    /// @brief Keys of a led service that nobody can hold for a while.
    void setOrphanedRanges(const std::string &service, std::vector<OrphanedRange> ranges);

    /// @brief The newest configuration; hosts are told its version at once and ask for what has changed.
    void setConfig(std::shared_ptr<const GatewayConfig> config);

    /// @brief Who leads what, for the hosts.
    void setLeaders(LeaderTable leaders);

    /// @brief At this time configuration and leaders were the newest ones of the store.
    void setCurrent(TimePoint current);

    /// @brief Moves time on: late rejections, heartbeats, views that hosts have not seen. To be called every 20 ms or
    /// so.
    void advance();

    /// @brief The dispatcher of a led service; null for others.
    const Dispatcher *dispatcher(const std::string &service) const;

private:
    struct Host
    {
        std::shared_ptr<FrameChannel> channel;
        std::uint32_t number = 0;
        std::string name;
        std::string zone;
        proto::LeaderFrame pending; ///< decisions that have not been sent yet
        TimePoint sentAt;
        std::uint64_t configVersion = 0; ///< the last that it was told
        std::uint64_t leadersRevision = 0; ///< the last that it was told
        std::map<Ticket, Ticket> tickets; ///< the host's ticket to ours
    };

    struct Origin
    {
        std::shared_ptr<Host> host;
        Ticket ticket = 0; ///< the host's
        std::string service;
    };

    struct Led
    {
        std::unique_ptr<Dispatcher> dispatcher;
        ServiceView view;
        ServiceView sentView; ///< what the hosts know
        bool isViewNew = false;
        bool isViewSent = false; ///< the hosts have got a whole one
        TimePoint viewSentAt;
    };

    Awaitable<void> serveHost(std::shared_ptr<FrameChannel> channel);
    void onFrame(const std::shared_ptr<Host> &host, const proto::HostFrame &frame);
    void onAsk(const std::shared_ptr<Host> &host, const proto::Ask &ask, TimePoint now);
    void onDone(const std::shared_ptr<Host> &host, const proto::Done &done, TimePoint now);
    void onHostGone(const std::shared_ptr<Host> &host);
    void collect(Led &led);
    void flush();
    void sendViews(TimePoint now);
    void addConfigChange(Host &host, std::uint64_t base) const;
    bool addRelayed(Host &host) const;
    std::uint64_t configVersion() const;

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    std::uint64_t m_seed;
    std::set<std::shared_ptr<Host>> m_hosts;
    std::map<std::string, Led> m_led;
    std::map<Ticket, Origin> m_origins;
    Ticket m_lastTicket = 0;
    std::uint32_t m_lastHost = 0;
    std::deque<std::shared_ptr<const GatewayConfig>> m_configs; ///< the latest versions, the newest last
    LeaderTable m_leaders;
    TimePoint m_current;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_DISPATCH_DESK_HPP
