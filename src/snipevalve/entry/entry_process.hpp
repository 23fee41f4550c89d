#ifndef SNIPEVALVE_ENTRY_ENTRY_PROCESS_HPP
#define SNIPEVALVE_ENTRY_ENTRY_PROCESS_HPP

#include <atomic>
#include <deque>
#include <memory>
#include <thread>

#include "snipevalve/app/program.hpp"
#include "snipevalve/entry/session.hpp"
#include "snipevalve/hosts/host_list_poller.hpp"
#include "snipevalve/link/reporter.hpp"
#include "snipevalve/net/http_server.hpp"
#include "snipevalve/net/owned_context.hpp"
#include "snipevalve/supervisor/supervisor.hpp"

namespace snipevalve {

/// @brief A thread that serves callers, with its own listening socket, connections and concurrency limits.
class TrafficThread
{
public:
    TrafficThread(const Settings &settings, std::uint64_t seed);
    ~TrafficThread();

    void start();
    void setRouting(std::shared_ptr<const RoutingState> routing);

    /// @brief Begins a graceful shutdown: every response from now on closes its connection.
    void beginStop();

    /// @brief Stops accepting connections, once those in the backlog are sessions. Takes effect asynchronously.
    void closeListener();
    bool isListening() const;

    /// @brief Closes the connections that have been idle, waiting for a request, for at least `idle`.
    void closeIdle(Duration idle);
    std::size_t sessions() const;
    const EntryMetrics &metrics() const;

    /// @return bytes held for callers and servers; thread-safe
    std::size_t heldBytes(HeldBytes kind) const;

private:
    void startSession(Tcp::socket socket);

    OwnedContext m_context{1};
    TrafficThreadState m_threadState;
    Tcp::acceptor m_acceptor;
    std::atomic<bool> m_isListening = true;
    std::thread m_thread;
};

/// @brief The entry process: serves callers, applies updates of the configuration and slot tables, and shuts down
/// gracefully.
class EntryProcess
{
public:
    EntryProcess(asio::io_context &context, const Settings &settings);

    /// @brief Runs until a graceful shutdown is complete or a task fails for good.
    /// @return the exit code
    ExitCode run();

private:
    void onItem(const Item &item);
    void rebuildRouting();
    void onHosts(const HostList &hosts);
    Awaitable<void> reportLoads();
    Awaitable<void> stop();
    Awaitable<HttpResponse> handleOpsRequest(const HttpRequest &request);

    asio::io_context &m_context;
    const Settings &m_settings;
    HttpClient m_client;
    LinkHub m_hub;
    HostListPoller m_hostListPoller;
    Reporter m_reporter;
    RoutingBuilder m_builder;
    std::deque<TrafficThread> m_threads;
    Tcp::acceptor m_opsAcceptor;
    Supervisor m_supervisor;
    std::uint64_t m_loadReports = 0;
    std::uint64_t m_startTime = 0;
    bool m_rebuildQueued = false;
    bool m_ready = false;
    bool m_stopping = false;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_ENTRY_PROCESS_HPP
