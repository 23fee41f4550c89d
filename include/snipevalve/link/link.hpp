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

/// @brief One frame of the exchange of items. Without items it is a heartbeat.
struct LinkFrame
{
    std::string node; ///< host and program of the sender, e.g. `host-03/entry`
    std::string role; ///< `entry`, `placement` or `relay`
    std::vector<Item> items;
};

/// @brief What a link reports. Called on gRPC's threads; the receiver posts to its own.
struct LinkEvents
{
    std::function<void(std::uint64_t stream)> onOpened;
    std::function<void(std::uint64_t stream, LinkFrame frame)> onFrame;
    std::function<void(std::uint64_t stream)> onClosed;
};

/// @brief Accepts links of other processes (gRPC, proto/link.proto).
class LinkServer
{
public:
    /// @throws std::runtime_error when the endpoint can't be bound
    LinkServer(const Endpoint &endpoint, LinkEvents events);
    ~LinkServer();

    /// @brief Queues a frame on a stream; frames to a stream that has closed are dropped.
    void send(std::uint64_t stream, const LinkFrame &frame);

    /// @brief Ends a stream.
    void close(std::uint64_t stream);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// @brief A connection to another process, kept for several attempts at a link.
struct LinkChannel;

std::shared_ptr<LinkChannel> makeLinkChannel(const Endpoint &endpoint);

/// @brief A link to another process. One object makes one attempt; after onClosed it is of no more use.
class LinkClient
{
public:
    /// @param stream the number under which this link reports its events
    LinkClient(std::shared_ptr<LinkChannel> channel, std::uint64_t stream, LinkEvents events);
    ~LinkClient();

    void send(const LinkFrame &frame);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_LINK_HPP
