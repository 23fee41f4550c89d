#ifndef SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP
#define SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP

#include <memory>
#include <string>

#include <google/protobuf/message_lite.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch_link/frame_memory.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief Sends and receives protobuf messages over a TCP connection. A frame is a message preceded by its length, four
/// bytes in big-endian order.
///
/// Messages that are queued while a write is in progress are sent together in the next write.
class FrameChannel : public std::enable_shared_from_this<FrameChannel>
{
public:
    /// A longer frame can only be corrupt: the largest view, with 300 servers and 2,000 ranges, takes about 60 KB.
    static constexpr std::uint32_t MaxFrameBytes = 4 << 20;

    /// @param memory bounds what is held of unfinished frames; null for a peer that is trusted to end them
    explicit FrameChannel(Tcp::socket socket, std::shared_ptr<FrameMemory> memory = nullptr);
    ~FrameChannel();
    FrameChannel(const FrameChannel &) = delete;
    FrameChannel &operator=(const FrameChannel &) = delete;

    /// @brief Queues a message for sending. Closes the connection when too many bytes are queued because the peer reads
    /// too slowly.
    void send(const google::protobuf::MessageLite &message);

    /// @brief Waits for the next message.
    /// @param frame receives the serialized message, without its length
    /// @param maxBytes a longer frame closes the connection
    /// @return false when the connection is closed
    Awaitable<bool> receive(std::string &frame, std::uint32_t maxBytes = MaxFrameBytes);

    void close();
    bool isOpen() const;

    /// @brief When the last bytes were received.
    TimePoint receivedAt() const;

private:
    Awaitable<void> writeAll();
    bool askForRead();
    void releaseReadMemory();

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<FrameMemory> m_memory;
    std::string m_outbox;
    std::string m_writing;
    bool m_isWriting = false;
    bool m_isOpen = true;
    TimePoint m_receivedAt;
};

/// @brief Connects to another host of the router.
/// @param sourceAddress local address of the connection
/// @return null when no connection could be opened before the timeout
Awaitable<std::shared_ptr<FrameChannel>> connectChannel(std::string sourceAddress, Tcp::endpoint endpoint,
                                                        Milliseconds timeout);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_LINK_FRAME_CHANNEL_HPP
