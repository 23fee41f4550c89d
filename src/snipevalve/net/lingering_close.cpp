#include "snipevalve/net/lingering_close.hpp"

#include "snipevalve/core/time.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds DiscardTimeout(1'000);
constexpr std::size_t MaxDiscardedBytes = 32 << 20;
constexpr std::size_t ReadBytes = 16 << 10;

} // namespace

Awaitable<void> closeLingering(beast::tcp_stream &stream)
{
    ErrorCode error;
    stream.socket().shutdown(Tcp::socket::shutdown_send, error);
    std::string discarded(ReadBytes, '\0');
    std::size_t total = 0;
    stream.expires_after(DiscardTimeout);
    while (!error && total < MaxDiscardedBytes) {
        total += co_await stream.async_read_some(asio::buffer(discarded), awaitInto(error));
    }
}

} // namespace snipevalve
