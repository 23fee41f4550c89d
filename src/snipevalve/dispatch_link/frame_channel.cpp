#include "snipevalve/dispatch_link/frame_channel.hpp"

#include <algorithm>

#include <boost/endian/conversion.hpp>
#include <spdlog/spdlog.h>

#include "snipevalve/net/spawn.hpp"
#include "snipevalve/net/tcp_options.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t LengthPrefixBytes = 4;
/// Maximum number of bytes queued for one host. A host that lets more accumulate has stopped reading, and its
/// connection is closed.
constexpr std::size_t MaxOutboxBytes = 4 << 20;
constexpr std::size_t ReadChunkBytes = 16 << 10;
constexpr std::size_t UncountedBytes = 4 * ReadChunkBytes; ///< of each connection's buffer
/// A connection on which sent data stays unacknowledged for this long is considered dead.
constexpr Milliseconds TcpUserTimeout(3'000);

void setOptions(Tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    setTcpUserTimeout(socket, TcpUserTimeout);
}

} // namespace

FrameChannel::FrameChannel(Tcp::socket socket, std::shared_ptr<FrameMemory> memory)
    : m_stream(std::move(socket))
    , m_memory(std::move(memory))
    , m_receivedAt(Clock::now())
{
    setOptions(m_stream.socket());
}

FrameChannel::~FrameChannel()
{
    releaseReadMemory();
}

void FrameChannel::send(const google::protobuf::MessageLite &message)
{
    if (!m_isOpen) {
        return;
    }
    if (m_outbox.size() > MaxOutboxBytes) {
        spdlog::warn("link: event=closed reason=\"the peer does not read fast enough\" waiting_bytes={}",
                     m_outbox.size());
        close();
        return;
    }
    const std::size_t start = m_outbox.size();
    m_outbox.resize(start + LengthPrefixBytes);
    message.AppendToString(&m_outbox);
    const auto length = static_cast<std::uint32_t>(m_outbox.size() - start - LengthPrefixBytes);
    boost::endian::store_big_u32(reinterpret_cast<unsigned char *>(m_outbox.data() + start), length);
    if (!m_isWriting) {
        m_isWriting = true;
        spawnMember(m_stream.get_executor(), shared_from_this(), &FrameChannel::writeAll);
    }
}

Awaitable<void> FrameChannel::writeAll()
{
    ErrorCode error;
    while (!error && m_isOpen && !m_outbox.empty()) {
        m_writing.clear();
        m_writing.swap(m_outbox);
        co_await asio::async_write(m_stream.socket(), asio::buffer(m_writing), awaitInto(error));
    }
    m_isWriting = false;
    if (error) {
        close();
    }
}

/// Whether there is memory for what the next read needs.
bool FrameChannel::askForRead()
{
    // flat_buffer doubles its size when it grows.
    const std::size_t bytes = std::max(m_buffer.capacity(), 2 * m_buffer.size() + ReadChunkBytes);
    if (!m_memory || bytes <= UncountedBytes) {
        return true;
    }
    return m_memory->ask(this, bytes, [this]() {
        spdlog::warn("link: event=closed reason=\"its unfinished frame took the memory of others\" held_bytes={}",
                     m_buffer.size());
        close();
    });
}

void FrameChannel::releaseReadMemory()
{
    if (m_memory) {
        m_memory->release(this);
    }
}

Awaitable<bool> FrameChannel::receive(std::string &frame, std::uint32_t maxBytes)
{
    const auto self = shared_from_this();
    while (m_isOpen) {
        const auto data = m_buffer.cdata();
        if (data.size() >= LengthPrefixBytes) {
            const std::uint32_t length = boost::endian::load_big_u32(static_cast<const unsigned char *>(data.data()));
            if (length > maxBytes) {
                spdlog::warn("link: event=closed reason=\"a frame of {} bytes exceeds the maximum length\"", length);
                break;
            }
            if (data.size() >= LengthPrefixBytes + length) {
                frame.assign(static_cast<const char *>(data.data()) + LengthPrefixBytes, length);
                m_buffer.consume(LengthPrefixBytes + length);
                if (m_buffer.size() == 0 && m_buffer.capacity() > UncountedBytes) {
                    m_buffer.shrink_to_fit();
                    releaseReadMemory();
                }
                co_return true;
            }
        }
        if (!askForRead()) {
            spdlog::warn("link: event=closed reason=\"no memory for a frame\" held_bytes={}", m_buffer.size());
            break;
        }
        ErrorCode error;
        const std::size_t count =
            co_await m_stream.socket().async_read_some(m_buffer.prepare(ReadChunkBytes), awaitInto(error));
        if (error) {
            break;
        }
        m_buffer.commit(count);
        m_receivedAt = Clock::now();
    }
    close();
    co_return false;
}

void FrameChannel::close()
{
    m_isOpen = false;
    releaseReadMemory();
    m_stream.close();
}

bool FrameChannel::isOpen() const
{
    return m_isOpen;
}

TimePoint FrameChannel::receivedAt() const
{
    return m_receivedAt;
}

Awaitable<std::shared_ptr<FrameChannel>> connectChannel(std::string sourceAddress, Tcp::endpoint endpoint,
                                                        Milliseconds timeout)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    ErrorCode error;
    stream.socket().open(Tcp::v4(), error);
    stream.socket().bind(Tcp::endpoint(asio::ip::make_address_v4(sourceAddress), 0), error);
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, awaitInto(error));
    if (error) {
        co_return nullptr;
    }
    stream.expires_never();
    co_return std::make_shared<FrameChannel>(stream.release_socket());
}

} // namespace snipevalve
