#ifndef SNIPEVALVE_NODE_GATEWAY_THREAD_HPP
#define SNIPEVALVE_NODE_GATEWAY_THREAD_HPP

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "snipevalve/net/owned_context.hpp"
#include "snipevalve/node/gateway_traffic.hpp"

namespace snipevalve {

/// @brief The thread that serves callers: owns the listening socket, the connections and the requests.
class GatewayThread
{
public:
    GatewayThread(const NodeSettings &settings, const HeaderNames &names, ServerNoticeParser parseServerNotice,
                  std::uint64_t seed);
    ~GatewayThread();

    void start();

    // The following functions are thread-safe; most take effect asynchronously, on the traffic thread.
    void setConfig(std::shared_ptr<const GatewayConfig> config);
    void setLeaders(std::map<std::string, Endpoint> leaders);
    void setEvacuations(Evacuations evacuations);
    void setStoreView(ServiceView view);

    /// @brief Sets the number of hosts connected to this one: many leave fewer descriptors for callers.
    void setHostCount(std::size_t hosts);
    void onStoreUpdate(std::function<void(StoreUpdate)> handler);
    void requestConfig(std::uint64_t base);
    void onDeputyAsk(std::function<void(DeputyAsk)> handler);
    void onDeputyOf(std::function<void(std::vector<std::string>)> handler);
    void consentAsDeputy(DeputyAsk ask);
    void adoptView(KnownView known);
    void onViewsMissing(std::function<void(std::vector<std::string>)> handler);

    /// @brief Passes the views of these services that this host knows to `reply`, which is called on the traffic
    /// thread.
    void readKnownViews(std::vector<std::string> services, std::function<void(std::vector<KnownView>)> reply);
    bool needsStoreViews() const;

    /// @brief Closes each caller's connection after its next answer, and refuses requests that may not end in time.
    void beginStop(StopTimes times);

    /// @brief Accepts no more connections, once those in the backlog have become sessions.
    void closeListener();

    /// @brief Rejects the requests that wait for a server.
    void refuseWaiting();

    /// @brief Gives up the servers that have not answered and refuses the requests that are still being read, so that
    /// the callers get an answer before the process ends. Closes the connections without a request.
    void endRequests();

    /// @brief Stops and joins the thread. Pending operations are not completed, as the process is about to end.
    void stop();

    /// @return number of open connections of callers
    std::size_t sessions() const;

    /// @return whether callers are connected, or may be since the listener has not closed yet
    bool hasCallers() const;
    const NodeMetrics &metrics() const;

private:
    void startSession(Tcp::socket socket);
    Awaitable<void> advance();

    OwnedContext m_context{1};
    GatewayTraffic m_traffic;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_isListening = true;
    std::thread m_thread;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_THREAD_HPP
