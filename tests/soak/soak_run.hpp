#ifndef SNIPEVALVE_SOAK_SOAK_RUN_HPP
#define SNIPEVALVE_SOAK_SOAK_RUN_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "soak/checks.hpp"
#include "soak/fault_proxy.hpp"
#include "soak/schedule.hpp"
#include "soak/soak_callers.hpp"
#include "standins/platform_standin.hpp"
#include "standins/process.hpp"

namespace snipevalve::soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::uint8_t network = 60; ///< second part of all addresses
    unsigned nodes = 4;
    unsigned keyedServers = 5;
    unsigned poolServers = 4;
    Milliseconds traffic{12'000}; ///< with faults
    std::string binaries; ///< folder of the programs
    std::string folder; ///< for settings and logs
};

/// @brief What one run has found.
struct SoakResult
{
    std::vector<Breach> breaches;
    std::vector<Fault> schedule;
    std::size_t requests = 0;
    std::size_t served = 0;
    Milliseconds regained{0}; ///< from the end of the last fault until nine in ten requests were served for 1 s
};

/// @brief One seed: real nodes as processes in front of the platform's stand-in, faults from outside, checks at the
/// end.
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
        std::unique_ptr<FaultProxy> storeWay;
        unsigned lives = 0;
        bool isStopping = false;
    };

    struct Server
    {
        std::string id;
        std::string service;
        std::unique_ptr<FaultProxy> way;
    };

    /// Something to do at a time, such as the end of a fault.
    struct Task
    {
        TimePoint at;
        std::function<void()> act;
    };

    void addNode(unsigned number);
    void startNode(std::size_t number);
    void addServer(const std::string &service);
    bool waitUntilServed();
    void play(const std::vector<Fault> &schedule);
    void begin(const Fault &fault);
    void beginAtNode(const Fault &fault, std::size_t number);
    void beginAtServer(const Fault &fault, Server &server);
    void beginAtStore(const Fault &fault);
    void stopNode(std::size_t number);
    void restartEnded();
    void later(Milliseconds after, std::function<void()> act);
    void runTasks();
    void disturb(std::size_t node, Milliseconds time, bool planned, bool serversOnly = false);
    Milliseconds waitUntilRegained(SoakCallers &callers);
    void collect(SoakCallers &callers);
    std::string addressOf(unsigned group, unsigned host) const;

    SoakOptions m_options;
    standins::PlatformStandin m_platform;
    asio::io_context m_proxies{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_proxiesWork;
    std::thread m_proxyThread;
    std::vector<Node> m_nodes;
    std::vector<Server> m_servers;
    std::vector<Task> m_tasks;
    std::unique_ptr<SoakCallers> m_callers;
    std::uint64_t m_version = 2;
    std::uint64_t m_routes = 0;
    SoakRecords m_records;
    std::vector<Breach> m_ends; ///< processes that ended by themselves
};

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SOAK_RUN_HPP
