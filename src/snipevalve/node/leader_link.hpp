#ifndef SNIPEVALVE_NODE_LEADER_LINK_HPP
#define SNIPEVALVE_NODE_LEADER_LINK_HPP

#include <functional>
#include <memory>
#include <string>

#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/messages.hpp"
#include "snipevalve/node/node_settings.hpp"

namespace snipevalve {

/// @brief A host's connection to a host that leads services; connects again by itself until it is stopped.
class LeaderLink : public std::enable_shared_from_this<LeaderLink>
{
public:
    /// A leader that says nothing for so long is taken as lost; it sends a heartbeat each 300 ms.
    static constexpr Milliseconds HeartbeatTimeout{1'000};

    struct Handlers
    {
        std::function<void(LeaderLink &)> onOpen;
        std::function<void(LeaderLink &, const proto::LeaderFrame &)> onFrame;
        std::function<void(LeaderLink &)> onLost;
    };

    LeaderLink(asio::any_io_executor executor, const NodeSettings &settings, Endpoint leader, Handlers handlers);

    void start();
    void stop();

    /// @brief Whether the leader has been heard of late.
    bool isOpen() const;

    void send(const proto::HostFrame &frame);

    /// @brief Closes the connection when the leader is silent. To be called every 50 ms or so.
    void closeIfSilent(TimePoint now);

    const Endpoint &leader() const;

private:
    Awaitable<void> run();
    Awaitable<void> readFrames();

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    Endpoint m_leader;
    Handlers m_handlers;
    std::shared_ptr<FrameChannel> m_channel;
    bool m_hasReceivedFrame = false; ///< a frame has come in on this connection
    bool m_stopped = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_LEADER_LINK_HPP
