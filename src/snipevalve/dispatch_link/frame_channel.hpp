#ifndef SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP
#define SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP

#include <memory>
#include <string>

#include <google/protobuf/message_lite.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Protobuf messages over a TCP connection, each behind its length in four bytes, big-endian.
///
/// Messages that are sent while a write is under way leave together with the next write.
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
    explicit FrameChannel(Tcp::socket socket);

    /// @brief Queues a message. A peer that reads too slowly loses its connection.
    void send(const google::protobuf::MessageLite &message);

    /// @brief Waits for the next message. `frame` holds its bytes. @return false when the connection has ended
    Awaitable<bool> receive(std::string &frame);

    void close();
    bool isOpen() const;

    /// @brief When the last bytes came in.
    TimePoint receivedAt() const;

private:
    Awaitable<void> writeAll();

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_outbox;
    std::string m_writing;
    bool m_isWriting = false;
    bool m_isOpen = true;
    TimePoint m_receivedAt;
};

/// @brief Connects to a host of the system. @return null when it can't be reached in time
Awaitable<std::shared_ptr<FrameChannel>> connectChannel(std::string sourceAddress, Tcp::endpoint endpoint,
                                                        Milliseconds timeout);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP
