#ifndef SNIPEVALVE_HOSTS_HOST_LIST_POLLER_HPP
#define SNIPEVALVE_HOSTS_HOST_LIST_POLLER_HPP

#include <functional>

#include "snipevalve/core/time.hpp"
#include "snipevalve/hosts/host_list.hpp"
#include "snipevalve/net/http_client.hpp"

namespace snipevalve {

/// @brief Polls the platform's host list. While there is no valid answer, the last list read stays in use.
class HostListPoller
{
public:
    /// @param interval pause between the end of one read and the start of the next
    /// @param onChange called with the new list whenever it differs from the last one
    HostListPoller(asio::any_io_executor executor, HttpClient &client, Endpoint endpoint, Milliseconds interval,
                   std::function<void(const HostList &)> onChange)
        : m_executor(std::move(executor))
        , m_client(client)
        , m_endpoint(std::move(endpoint))
        , m_interval(interval)
        , m_onChange(std::move(onChange))
    {
    }

    /// @return the last list read; empty before the first answer
    const HostList &hosts() const
    {
        return m_hosts;
    }

    /// @brief Polls until the coroutine is cancelled.
    Awaitable<void> run()
    {
        asio::steady_timer timer(m_executor);
        while (true) {
            HttpCall call;
            call.endpoint = m_endpoint;
            call.target = "/hosts";
            const auto reply = co_await m_client.call(std::move(call));
            const auto hosts = reply.ok() ? parseHostList(reply->body) : std::nullopt;
            if (hosts && *hosts != m_hosts) {
                m_hosts = *hosts;
                m_onChange(m_hosts);
            }
            timer.expires_after(m_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }

private:
    asio::any_io_executor m_executor;
    HttpClient &m_client;
    Endpoint m_endpoint;
    Milliseconds m_interval;
    std::function<void(const HostList &)> m_onChange;
    HostList m_hosts;
};

} // namespace snipevalve

#endif // SNIPEVALVE_HOSTS_HOST_LIST_POLLER_HPP
