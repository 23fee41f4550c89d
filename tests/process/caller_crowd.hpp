#ifndef SNIPEVALVE_PROCESS_CALLER_CROWD_HPP
#define SNIPEVALVE_PROCESS_CALLER_CROWD_HPP

#include <atomic>
#include <list>
#include <string>
#include <thread>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::standins {

/// @brief What each caller of a crowd sends; it never ends its request.
struct CrowdRequest
{
    int callers = 1;
    std::string start; ///< head, and the beginning of what follows
    std::string part; ///< sent `times` times
    std::size_t times = 0;
    Milliseconds pause{0}; ///< between two parts of one caller
};

/// @brief Callers that send the beginning of a request each, all at once, and keep their connections open afterwards
/// until the node closes them or this object is destroyed.
class CallerCrowd
{
public:
    CallerCrowd(const Endpoint &target, CrowdRequest request)
        : m_request(std::move(request))
    {
        for (int caller = 0; caller < m_request.callers; ++caller) {
            m_sockets.emplace_back(m_context);
            asio::co_spawn(m_context, send(m_sockets.back(), target), asio::detached);
        }
        m_thread = std::thread([this]() {
            m_context.run();
        });
    }

    ~CallerCrowd()
    {
        m_context.stop();
        m_thread.join();
    }

    /// @brief Waits until each caller has sent all it has, or has been turned away.
    /// @return false when that takes longer than `timeout`
    bool waitUntilSent(Milliseconds timeout) const
    {
        const TimePoint end = Clock::now() + timeout;
        while (m_ended < m_request.callers && Clock::now() < end) {
            std::this_thread::sleep_for(Milliseconds(10));
        }
        return m_ended >= m_request.callers;
    }

    /// @return the number of callers whose connection was opened
    int connected() const
    {
        return m_connected;
    }

private:
    Awaitable<void> send(Tcp::socket &socket, Endpoint target)
    {
        ErrorCode error;
        asio::steady_timer timer(m_context);
        co_await socket.async_connect(toTcp(target), awaitInto(error));
        m_connected += error ? 0 : 1;
        if (!error) {
            co_await asio::async_write(socket, asio::buffer(m_request.start), awaitInto(error));
        }
        for (std::size_t time = 0; time < m_request.times && !error; ++time) {
            co_await asio::async_write(socket, asio::buffer(m_request.part), awaitInto(error));
            if (m_request.pause > Milliseconds(0) && !error) {
                timer.expires_after(m_request.pause);
                co_await timer.async_wait(awaitInto(error));
            }
        }
        ++m_ended;
    }

    CrowdRequest m_request;
    asio::io_context m_context{1};
    std::list<Tcp::socket> m_sockets;
    std::atomic<int> m_ended = 0;
    std::atomic<int> m_connected = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_CALLER_CROWD_HPP
