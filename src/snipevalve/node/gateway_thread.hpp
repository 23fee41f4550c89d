#ifndef SNIPEVALVE_NODE_GATEWAY_THREAD_HPP
#define SNIPEVALVE_NODE_GATEWAY_THREAD_HPP

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "snipevalve/node/gateway_traffic.hpp"

namespace snipevalve {

/// @brief The thread that serves callers: its listening socket, connections and requests.
class GatewayThread
{
public:
    GatewayThread(const NodeSettings &settings, const HeaderNames &names, std::uint64_t seed);
    ~GatewayThread();

    void start();

    // The following may be called on any thread.
    void setConfig(std::shared_ptr<const GatewayConfig> config);
    void setLeaders(std::map<std::string, Endpoint> leaders);
    void setStoreView(ServiceView view);
    void onStoreUpdate(std::function<void(StoreUpdate)> handler);
    void requestConfig(std::uint64_t base);
    bool needsStoreViews() const;

    /// @brief Answers from now on end their connections.
    void beginStop();

    /// @brief Takes no more connections.
    void closeListener();

    /// @brief Refuses the requests that have not been sent to a server.
    void refuseWaiting();

    /// @brief Gives up the servers that have not answered, so that their callers get an answer before the process ends.
    void endRequests();

    /// @brief Ends the thread. What its connections wait for stays where it is: the process is about to end.
    void stop();

    /// @brief Closes the connections that have waited for a request for at least `idle`.
    void closeIdle(Duration idle);

    /// @brief Open connections of callers.
    std::size_t sessions() const;
    const NodeMetrics &metrics() const;

private:
    Awaitable<void> accept();
    Awaitable<void> advance();

    asio::io_context m_context{1};
    GatewayTraffic m_traffic;
    Tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_THREAD_HPP
