#include "snipevalve/net/accept.hpp"

#include "snipevalve/core/time.hpp"

namespace snipevalve {

Awaitable<void> acceptConnections(Tcp::acceptor &acceptor, std::function<void(Tcp::socket)> onConnection,
                                  std::function<bool()> mayAccept)
{
    constexpr Milliseconds PauseAfterFailure(20);
    asio::steady_timer timer(acceptor.get_executor());
    while (acceptor.is_open()) {
        ErrorCode error;
        if (mayAccept && !mayAccept()) {
            timer.expires_after(PauseAfterFailure);
            co_await timer.async_wait(awaitInto(error));
            continue;
        }
        Tcp::socket socket = co_await acceptor.async_accept(awaitInto(error));
        if (!error) {
            onConnection(std::move(socket));
            continue;
        }
        timer.expires_after(PauseAfterFailure);
        co_await timer.async_wait(awaitInto(error));
    }
}

void closeAfterBacklog(Tcp::acceptor &acceptor, const std::function<void(Tcp::socket)> &onConnection)
{
    ErrorCode error;
    acceptor.non_blocking(true, error);
    while (!error) {
        Tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            onConnection(std::move(socket));
        }
    }
    acceptor.close(error);
}

} // namespace snipevalve
