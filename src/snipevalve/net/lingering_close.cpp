#include "snipevalve/net/lingering_close.hpp"

#include <array>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds DiscardTimeout(1'000);
constexpr std::size_t MaxDiscardedBytes = 32 << 20;
constexpr std::size_t ReadBytes = 16 << 10;

/// A buffer for all connections of a thread, as nothing reads it: a crowd of refused callers would hold one each.
asio::mutable_buffer discardBuffer()
{
    static thread_local std::array<char, ReadBytes> bytes;
    return asio::buffer(bytes);
}

} // namespace

Awaitable<void> closeLingering(beast::tcp_stream &stream)
{
    ErrorCode error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    std::size_t total = 0;
    stream.expires_after(DiscardTimeout);
    while (!error && total < MaxDiscardedBytes) {
        total += co_await stream.async_read_some(discardBuffer(), awaitInto(error));
    }
}

} // namespace snipevalve
