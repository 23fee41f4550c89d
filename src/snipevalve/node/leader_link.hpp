#ifndef SNIPEVALVE_NODE_LEADER_LINK_HPP
#define SNIPEVALVE_NODE_LEADER_LINK_HPP

#include <functional>
#include <memory>
#include <string>

#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/messages.hpp"
#include "snipevalve/node/link_silence.hpp"
#include "snipevalve/node/node_settings.hpp"

namespace snipevalve {

/// @brief A host's connection to a host that leads services. Reconnects automatically until it is stopped.
class LeaderLink : public std::enable_shared_from_this<LeaderLink>
{
public:
    struct Handlers
    {
        std::function<void(LeaderLink &)> onOpen; ///< called before the first frame of a connection is handled
        std::function<void(LeaderLink &, const proto::LeaderFrame &)> onFrame;
        std::function<void(LeaderLink &)> onLost; ///< called when a connection on which frames arrived has ended
    };

    LeaderLink(asio::any_io_executor executor, const NodeSettings &settings, Endpoint leader, Handlers handlers);

    void start();
    void stop();

    /// @brief Whether the connection is open and has received a frame.
    bool isOpen() const;

    /// @brief Sends a frame; drops it when there is no connection.
    void send(const proto::HostFrame &frame);

    /// @brief Closes the connection if the leader has been silent for too long. To be called about every 50 ms.
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
    LinkSilence m_silence;
    bool m_hasReceivedFrame = false; ///< on the current connection
    bool m_stopped = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_LEADER_LINK_HPP
