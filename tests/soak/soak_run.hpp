#ifndef SNIPEVALVE_SOAK_SOAK_RUN_HPP
#define SNIPEVALVE_SOAK_SOAK_RUN_HPP

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "soak/checks.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/hold_checks.hpp"
#include "soak/schedule.hpp"
#include "soak/soak_callers.hpp"
#include "standins/platform_standin.hpp"
#include "standins/process.hpp"

namespace snipevalve::soak {

/// @brief The options of one run.
struct SoakOptions
{
    std::uint64_t seed = 1;
    std::uint8_t network = 60; ///< second octet of all addresses
    unsigned nodes = 4;
    unsigned keyedServers = 5;
    unsigned poolServers = 4;
    Milliseconds traffic{12'000}; ///< duration of the traffic with faults
    std::string binaries; ///< folder of the nodes' program
    std::string serverBinaries; ///< folder of the servers' program
    std::string folder; ///< for settings, logs and records
    std::vector<FaultKind> only; ///< the only kinds of fault; empty for those of the seed
    Milliseconds longestFault{5'000}; ///< of `only`
    bool proxiesLinks = true; ///< connections between nodes lead through proxies, too
};

/// @brief The result of one run.
struct SoakResult
{
    std::vector<Violation> violations;
    std::vector<Fault> schedule;
    std::size_t requests = 0;
    std::size_t served = 0;
    /// From the end of the last fault until 90 % of the requests of the last second were served.
    Milliseconds recoveryTime{0};
    Milliseconds elapsed{0}; ///< from the creation of the run until its end
    Milliseconds storeTime{0}; ///< this and the next two: processor time of their thread
    Milliseconds callersTime{0};
    Milliseconds proxiesTime{0};
};

/// @brief Runs one seed: real nodes as processes against a stand-in for the platform, with faults injected from outside
/// and checks at the end.
class SoakRun
{
public:
    explicit SoakRun(SoakOptions options);
    ~SoakRun();

    SoakResult run();

private:
    struct Node
    {
        std::string address;
        std::string settings;
        std::optional<standins::Process> process;
        std::unique_ptr<FaultProxy> storeProxy;
        std::unique_ptr<FaultProxy> linkProxy; ///< for the connections of other nodes
        unsigned startCount = 0;
        bool isStopping = false;
    };

    struct ServerStart
    {
        std::string record; ///< path
        TimePoint endedAt = TimePoint::max();
        std::optional<TimePoint> drainedAt;
    };

    struct Server
    {
        std::string id;
        std::string service;
        unsigned number = 0;
        std::optional<standins::Process> process; ///< empty while it has crashed
        std::unique_ptr<FaultProxy> proxy;
        std::unique_ptr<FaultProxy> storeProxy;
        std::vector<ServerStart> starts;
    };

    /// An action scheduled for a time, such as the end of a fault.
    struct Task
    {
        TimePoint at;
        std::function<void()> action;
    };

    void addNode(unsigned number);
    void startNode(std::size_t number);
    void addServer(const std::string &service);
    void startServer(Server &server);
    void crashServer(Server &server, Milliseconds time);
    void signalServers(const std::string &service, int signal);
    void freezeServer(Server &server, Milliseconds time);
    void slowNode(Node &node, TimePoint end);
    void occupyCores(Milliseconds time);
    bool waitUntilServed();
    void injectFaults(const std::vector<Fault> &schedule);
    void inject(const Fault &fault);
    unsigned serversPerFault() const;
    void injectNodeFault(const Fault &fault, std::size_t number);
    void injectLinkFault(const Fault &fault, std::size_t number);
    void injectServerFault(const Fault &fault, Server &server);
    void injectServerProcessFault(const Fault &fault, Server &server);
    void injectStoreFault(const Fault &fault);
    void stopNode(std::size_t number);
    void restartExitedNodes();
    void runAfter(Milliseconds after, std::function<void()> action);
    void runTasks();
    void recordDisturbance(std::size_t node, Milliseconds time, bool planned, bool serversOnly = false);
    Milliseconds waitUntilRecovered(SoakCallers &callers);
    void collect(SoakCallers &callers);
    void collectServers();
    std::string addressOf(unsigned subnet, unsigned host) const;

    SoakOptions m_options;
    TimePoint m_createdAt = Clock::now();
    standins::PlatformStandin m_platform;
    asio::io_context m_proxies{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_proxiesWork;
    std::thread m_proxyThread;
    std::vector<Node> m_nodes;
    std::deque<Server> m_servers; ///< scheduled actions refer to them
    std::vector<std::thread> m_busyThreads;
    std::atomic<bool> m_isStopping = false;
    std::vector<Task> m_tasks;
    std::unique_ptr<SoakCallers> m_callers;
    unsigned m_lateOrders = 0; ///< faults of this kind that last
    std::uint64_t m_version = 2;
    std::uint64_t m_extraRoutes = 0;
    SoakRecords m_records;
    std::vector<ServerRun> m_serverRuns;
    std::vector<GrantExcuse> m_grantExcuses;
    std::vector<Violation> m_processViolations; ///< processes that exited unexpectedly or did not stop in time
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SOAK_RUN_HPP
