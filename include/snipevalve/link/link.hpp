#ifndef SNIPEVALVE_LINK_LINK_HPP
#define SNIPEVALVE_LINK_LINK_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "snipevalve/core/item.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief One message on a link. A frame without items is a heartbeat.
struct LinkFrame
{
    std::string node; ///< host and program of the sender, e.g. `host-03/entry`
    std::string role; ///< `entry`, `placement` or `relay`
    std::vector<Item> items;
};

/// @brief Callbacks of a link. They run on gRPC's threads, so the receiver posts the work to its own thread.
struct LinkEvents
{
    std::function<void(std::uint64_t stream)> onOpened;
    std::function<void(std::uint64_t stream, LinkFrame frame)> onFrame;
    std::function<void(std::uint64_t stream)> onClosed;
};

/// @brief Accepts the links that other processes open (gRPC, proto/link.proto).
class LinkServer
{
public:
    /// @throws std::runtime_error when the endpoint can't be bound
    LinkServer(const Endpoint &endpoint, LinkEvents events);
    ~LinkServer();

    /// @brief Queues a frame on a stream. Frames for a closed stream are dropped.
    void send(std::uint64_t stream, const LinkFrame &frame);

    /// @brief Cancels a stream; onClosed follows.
    void close(std::uint64_t stream);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// @brief A gRPC channel to another process, reused for successive attempts to open a link.
struct LinkChannel;

/// @brief Creates a channel. It connects when the first link is opened on it.
std::shared_ptr<LinkChannel> makeLinkChannel(const Endpoint &endpoint);

/// @brief A link that this process opens. Each object makes one attempt; after onClosed it can't be used again.
class LinkClient
{
public:
    /// @param stream the number under which this link reports its events
    LinkClient(std::shared_ptr<LinkChannel> channel, std::uint64_t stream, LinkEvents events);
    ~LinkClient();

    /// @brief Queues a frame. Frames are dropped once the link has closed.
    void send(const LinkFrame &frame);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_LINK_HPP
