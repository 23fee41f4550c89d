#include "soak/soak_run.hpp"

#include <csignal>

#include <algorithm>
#include <array>
#include <filesystem>

#include "standins/node_settings_file.hpp"
#include "standins/thread_time.hpp"

namespace snipevalve::soak {

namespace {

constexpr unsigned NodeSubnet = 1; ///< third octet of the addresses
constexpr unsigned StoreProxySubnet = 8;
constexpr unsigned LinkProxySubnet = 10;
constexpr unsigned ServerSubnet = 100; ///< this and the next ones
constexpr unsigned ServerProxySubnet = 130;
constexpr unsigned ServerStoreProxySubnet = 160;
constexpr unsigned HostsPerSubnet = 200;
constexpr std::uint16_t ServerPort = 8080;
constexpr std::uint16_t ProxyPort = 8700;
constexpr unsigned MostConnectionsPerNode = 4;
constexpr unsigned AllConnections = 80; ///< of the callers, when there are many nodes
constexpr Milliseconds PollInterval(10);
constexpr Milliseconds StartTimeout(20'000);
constexpr Milliseconds KeyedServiceTime(15);
constexpr Milliseconds PoolServiceTime(25);
/// Within this time a restarted process has its configuration and a connection to a leader.
constexpr Milliseconds StartupTime(2'000);
/// Delay between the exit of a process and its restart, as on the platform.
constexpr Milliseconds RestartDelay(100);

} // namespace

SoakRun::SoakRun(SoakOptions options)
    : m_options(std::move(options))
    , m_platform(m_options.network)
    , m_proxiesWork(asio::make_work_guard(m_proxies))
{
    std::filesystem::create_directories(m_options.folder);
    m_platform.putConfig(standins::smallConfig(m_version));
    for (unsigned server = 0; server < m_options.keyedServers; ++server) {
        addServer("ledger");
    }
    for (unsigned server = 0; server < m_options.poolServers; ++server) {
        addServer("debits");
    }
    m_nodes.resize(m_options.nodes);
    for (unsigned node = 0; node < m_options.nodes; ++node) {
        addNode(node);
    }
    m_proxyThread = std::thread([this]() {
        m_proxies.run();
    });
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        startNode(node);
    }
}

SoakRun::~SoakRun()
{
    m_callers.reset();
    m_isStopping = true;
    for (std::thread &thread : m_busyThreads) {
        thread.join();
    }
    for (Server &server : m_servers) {
        server.process.reset();
    }
    for (Node &node : m_nodes) {
        node.process.reset(); // kills the process by its id
    }
    m_proxies.stop();
    m_proxyThread.join();
}

std::string SoakRun::addressOf(unsigned subnet, unsigned host) const
{
    return "127." + std::to_string(m_options.network) + "." + std::to_string(subnet + host / HostsPerSubnet) + "."
        + std::to_string(host % HostsPerSubnet + 1);
}

void SoakRun::addNode(unsigned number)
{
    Node &node = m_nodes[number];
    node.address = addressOf(NodeSubnet, number);
    const Endpoint proxy{addressOf(StoreProxySubnet, number), ProxyPort};
    node.storeProxy = std::make_unique<FaultProxy>(m_proxies, proxy, m_platform.storeEndpoint());
    node.settings = m_options.folder + "/node-" + std::to_string(number) + ".toml";
    std::optional<Endpoint> linkProxy;
    if (m_options.proxiesLinks) {
        linkProxy = Endpoint{addressOf(LinkProxySubnet, number), ProxyPort};
        node.linkProxy =
            std::make_unique<FaultProxy>(m_proxies, *linkProxy, Endpoint{node.address, standins::NodeControlPort});
    }
    standins::writeNodeSettings(node.settings, "node-" + std::to_string(number), node.address, proxy, linkProxy);
}

void SoakRun::startNode(std::size_t number)
{
    Node &node = m_nodes[number];
    const std::string log =
        m_options.folder + "/node-" + std::to_string(number) + "-" + std::to_string(node.startCount++) + ".log";
    node.process.emplace(m_options.binaries + "/snipevalve-node",
                         std::vector<std::string>{"--settings=" + node.settings}, log);
    m_records.starts[number].push_back(Clock::now());
}

void SoakRun::addServer(const std::string &service)
{
    Server &server = m_servers.emplace_back();
    server.number = static_cast<unsigned>(m_servers.size() - 1);
    server.id = service + "-" + std::to_string(server.number);
    server.service = service;
    const Endpoint listen{addressOf(ServerSubnet, server.number), ServerPort};
    const Endpoint proxy{addressOf(ServerProxySubnet, server.number), ProxyPort};
    const Endpoint store{addressOf(ServerStoreProxySubnet, server.number), ProxyPort};
    server.proxy = std::make_unique<FaultProxy>(m_proxies, proxy, listen);
    server.storeProxy = std::make_unique<FaultProxy>(m_proxies, store, m_platform.storeEndpoint());
    startServer(server);
}

/// Half of the servers have clocks that run 2 % slow. The time of day of a third of them is set back and forth by
/// seconds between two starts.
void SoakRun::startServer(Server &server)
{
    const bool isKeyed = server.service == "ledger";
    const std::string name = m_options.folder + "/" + server.id + "-" + std::to_string(server.starts.size());
    const bool isSlow = server.number % 2 == 0;
    const bool isStepped = server.number % 3 == 0;
    const int step = isStepped && server.starts.size() % 2 == 1 ? -5'000 : 0;
    std::vector<std::string> arguments = {
        "--id=" + server.id,
        "--service=" + server.service,
        "--listen=" + addressOf(ServerSubnet, server.number) + ":" + std::to_string(ServerPort),
        "--registered-as=" + toString(server.proxy->endpoint()),
        "--store=" + toString(server.storeProxy->endpoint()),
        "--record=" + name + ".record",
        "--service-ms=" + std::to_string((isKeyed ? KeyedServiceTime : PoolServiceTime).count()),
        std::string("--clock-rate=") + (isSlow ? "0.98" : "1"),
        "--clock-step-ms=" + std::to_string(step)};
    if (isKeyed) {
        arguments.emplace_back("--keyed");
    }
    std::filesystem::remove(name + ".record"); // of an earlier run in the same folder
    // A signal that comes before the process handles it waits until it does.
    sigset_t signals;
    sigset_t before;
    ::sigfillset(&signals);
    ::pthread_sigmask(SIG_BLOCK, &signals, &before);
    server.process.emplace(m_options.serverBinaries + "/standin-upstream", arguments, name + ".log");
    ::pthread_sigmask(SIG_SETMASK, &before, nullptr);
    if (m_lateOrders > 0) {
        ::kill(server.process->pid(), SIGUSR1);
    }
    server.starts.push_back({name + ".record"});
}

void SoakRun::runAfter(Milliseconds after, std::function<void()> action)
{
    m_tasks.push_back({Clock::now() + after, std::move(action)});
}

void SoakRun::runTasks()
{
    const TimePoint now = Clock::now();
    std::vector<Task> due;
    const auto isDue = [now](const Task &task) {
        return task.at <= now;
    };
    std::copy_if(m_tasks.begin(), m_tasks.end(), std::back_inserter(due), isDue);
    std::erase_if(m_tasks, isDue);
    for (const Task &task : due) {
        task.action();
    }
}

void SoakRun::recordDisturbance(std::size_t node, Milliseconds time, bool planned, bool serversOnly)
{
    const TimePoint now = Clock::now();
    m_records.disturbances.push_back({node, now, now + time, planned, serversOnly});
}

void SoakRun::inject(const Fault &fault)
{
    const std::size_t node = fault.target % m_nodes.size();
    Server &server = m_servers[fault.target % m_servers.size()];
    switch (fault.kind) {
    case FaultKind::KillNode:
    case FaultKind::StopNode:
    case FaultKind::FreezeNode:
    case FaultKind::ReloadNode:
    case FaultKind::DelayStore:
    case FaultKind::ResetStore:
    case FaultKind::BlockToStore:
    case FaultKind::BlockFromStore:
    case FaultKind::BlackholeStore:
    case FaultKind::SlowNode:
        injectNodeFault(fault, node);
        break;
    case FaultKind::BusyMachine:
        occupyCores(fault.duration);
        break;
    case FaultKind::DelayLinks:
    case FaultKind::ResetLinks:
    case FaultKind::CutLinksToNode:
    case FaultKind::CutLinksFromNode:
        injectLinkFault(fault, node);
        break;
    case FaultKind::StoreUnavailable:
    case FaultKind::StoreSlow:
    case FaultKind::StoreDropsResponses:
    case FaultKind::StoreLosesHistory:
    case FaultKind::RestoreStore:
        injectStoreFault(fault);
        break;
    case FaultKind::ChangeConfig:
        ++m_extraRoutes;
        m_platform.putConfig(standins::smallConfig(++m_version, m_extraRoutes));
        m_records.configured[m_extraRoutes] = Clock::now();
        m_callers->setVersion(m_extraRoutes);
        break;
    case FaultKind::DrainServer:
    case FaultKind::LateGrants:
    case FaultKind::WrongServerResponses:
        injectServerFault(fault, server);
        break;
    default:
        for (unsigned target = 0; target < serversPerFault(); ++target) {
            injectServerFault(fault, m_servers[(fault.target + target) % m_servers.size()]);
        }
    }
}

/// One server in 30, at least one.
unsigned SoakRun::serversPerFault() const
{
    constexpr unsigned ServersPerTarget = 30;
    return std::max(1U, (m_options.keyedServers + m_options.poolServers) / ServersPerTarget);
}

void SoakRun::injectNodeFault(const Fault &fault, std::size_t number)
{
    Node &node = m_nodes[number];
    if (!node.process || !node.process->isRunning() || node.process->isFrozen()) {
        return;
    }
    const auto setStoreConnectionFault = [&](ConnectionFault link) {
        recordDisturbance(number, fault.duration, false);
        node.storeProxy->setFault(link);
        runAfter(fault.duration, [&node]() {
            node.storeProxy->setFault(ConnectionFault::None);
        });
    };
    switch (fault.kind) {
    case FaultKind::KillNode:
        recordDisturbance(number, fault.duration + StartupTime, false);
        node.process->kill();
        node.process.reset();
        runAfter(fault.duration, [this, number]() {
            startNode(number);
        });
        break;
    case FaultKind::StopNode:
        stopNode(number);
        break;
    case FaultKind::FreezeNode:
        recordDisturbance(number, fault.duration, false);
        node.process->freeze();
        runAfter(fault.duration, [this, &node]() {
            if (node.process) {
                m_grantExcuses.push_back({Clock::now(), node.address, {}});
                node.process->resume();
            }
        });
        break;
    case FaultKind::SlowNode:
        recordDisturbance(number, fault.duration, false);
        slowNode(node, Clock::now() + fault.duration);
        break;
    case FaultKind::ReloadNode:
        ::kill(node.process->pid(), SIGHUP);
        break;
    case FaultKind::DelayStore:
        setStoreConnectionFault(ConnectionFault::Delay);
        break;
    case FaultKind::ResetStore:
        setStoreConnectionFault(ConnectionFault::Reset);
        break;
    case FaultKind::BlockToStore:
        setStoreConnectionFault(ConnectionFault::BlockToTarget);
        break;
    case FaultKind::BlockFromStore:
        setStoreConnectionFault(ConnectionFault::BlockFromTarget);
        break;
    default:
        setStoreConnectionFault(ConnectionFault::Blackhole);
    }
}

/// Sends SIGTERM, then SIGKILL after the grace period, and restarts the node once the process has exited.
void SoakRun::stopNode(std::size_t number)
{
    constexpr Milliseconds Grace(6'000);
    recordDisturbance(number, Grace + StartupTime, true);
    m_nodes[number].process->terminate();
    if (m_nodes[number].isStopping) {
        return; // a repeated SIGTERM from a series of faults
    }
    m_nodes[number].isStopping = true;
    const auto poll = std::make_shared<std::function<void(TimePoint, TimePoint)>>();
    *poll = [this, number, poll](TimePoint end, TimePoint lastPoll) {
        Node &node = m_nodes[number];
        if (!node.process) {
            node.isStopping = false; // killed in the meantime
            return;
        }
        if (!node.process->isRunning()) {
            node.isStopping = false;
            node.process.reset();
            runAfter(RestartDelay, [this, number]() {
                startNode(number);
            });
            return;
        }
        const TimePoint now = Clock::now();
        if (node.process->isFrozen()) {
            end += now - lastPoll; // its grace period goes on when it does
        }
        if (now >= end) {
            m_processViolations.push_back(
                {"stops in time", "node-" + std::to_string(number),
                 "still ran after the grace period:\n" + standins::describeThreads(node.process->pid())});
            node.process->kill();
        }
        runAfter(PollInterval, [poll, end, now]() {
            (*poll)(end, now);
        });
    };
    (*poll)(Clock::now() + Grace, Clock::now());
}

/// The node runs for 20 ms of each 100 ms.
void SoakRun::slowNode(Node &node, TimePoint end)
{
    static constexpr Milliseconds Stopped(80);
    static constexpr Milliseconds Running(20);
    if (!node.process || node.process->isFrozen() || Clock::now() >= end) {
        return;
    }
    node.process->freeze();
    runAfter(Stopped, [this, &node, end]() {
        if (node.process) {
            node.process->resume();
        }
        runAfter(Running, [this, &node, end]() {
            slowNode(node, end);
        });
    });
}

void SoakRun::occupyCores(Milliseconds time)
{
    constexpr unsigned MaxThreads = 64; ///< of all faults of this kind
    recordDisturbance(Disturbance::All, time, false);
    const TimePoint end = Clock::now() + time;
    const unsigned cores = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned core = 0; core < cores && m_busyThreads.size() < MaxThreads; ++core) {
        m_busyThreads.emplace_back([this, end]() {
            while (Clock::now() < end && !m_isStopping) {
            }
        });
    }
}

void SoakRun::injectLinkFault(const Fault &fault, std::size_t number)
{
    FaultProxy *proxy = m_nodes[number].linkProxy.get();
    if (proxy == nullptr) {
        return;
    }
    ConnectionFault link = ConnectionFault::Delay;
    link = fault.kind == FaultKind::ResetLinks ? ConnectionFault::Reset : link;
    link = fault.kind == FaultKind::CutLinksToNode ? ConnectionFault::CutToTarget : link;
    link = fault.kind == FaultKind::CutLinksFromNode ? ConnectionFault::CutFromTarget : link;
    // Any node may have its leader behind this link.
    recordDisturbance(Disturbance::All, fault.duration, false);
    proxy->setFault(link);
    runAfter(fault.duration, [proxy]() {
        proxy->setFault(ConnectionFault::None);
    });
}

void SoakRun::crashServer(Server &server, Milliseconds time)
{
    if (!server.process) {
        return;
    }
    recordDisturbance(Disturbance::All, time, false, true);
    server.process->kill();
    server.process.reset();
    server.starts.back().endedAt = Clock::now();
    runAfter(time, [this, &server]() {
        startServer(server);
    });
}

void SoakRun::freezeServer(Server &server, Milliseconds time)
{
    if (!server.process || server.process->isFrozen()) {
        return;
    }
    recordDisturbance(Disturbance::All, time, false, true);
    server.process->freeze();
    runAfter(time, [this, &server]() {
        if (server.process) {
            m_grantExcuses.push_back({Clock::now(), {}, server.id, true});
            server.process->resume();
        }
    });
}

/// @param service empty for all
void SoakRun::signalServers(const std::string &service, int signal)
{
    for (const Server &server : m_servers) {
        if (server.process && (service.empty() || server.service == service)) {
            ::kill(server.process->pid(), signal);
        }
    }
}

void SoakRun::injectServerFault(const Fault &fault, Server &server)
{
    const auto setConnectionFault = [&](FaultProxy *proxy, ConnectionFault link) {
        recordDisturbance(Disturbance::All, fault.duration, false, true);
        proxy->setFault(link);
        runAfter(fault.duration, [this, proxy, id = server.id]() {
            proxy->setFault(ConnectionFault::None);
            m_grantExcuses.push_back({Clock::now(), {}, id});
        });
    };
    switch (fault.kind) {
    case FaultKind::DelayServer:
        setConnectionFault(server.proxy.get(), ConnectionFault::Delay);
        break;
    case FaultKind::ResetServer:
        setConnectionFault(server.proxy.get(), ConnectionFault::Reset);
        break;
    case FaultKind::BlackholeServer:
        setConnectionFault(server.proxy.get(), ConnectionFault::Blackhole);
        break;
    case FaultKind::CutToServer:
        setConnectionFault(server.proxy.get(), ConnectionFault::CutToTarget);
        break;
    case FaultKind::CutFromServer:
        setConnectionFault(server.proxy.get(), ConnectionFault::CutFromTarget);
        break;
    case FaultKind::CutServerFromStore:
        setConnectionFault(server.storeProxy.get(), ConnectionFault::Blackhole);
        break;
    default:
        injectServerProcessFault(fault, server);
    }
}

void SoakRun::injectServerProcessFault(const Fault &fault, Server &server)
{
    switch (fault.kind) {
    case FaultKind::CrashServer:
        crashServer(server, fault.duration);
        break;
    case FaultKind::FreezeServer:
        freezeServer(server, fault.duration);
        break;
    case FaultKind::DrainServer: {
        constexpr std::size_t MaxProcesses = 300;
        if (!server.process || m_nodes.size() + m_servers.size() >= MaxProcesses) {
            return;
        }
        server.process->terminate();
        if (!server.starts.back().drainedAt) {
            server.starts.back().drainedAt = Clock::now();
            addServer(std::string(server.service));
        }
        break;
    }
    case FaultKind::LateGrants:
        ++m_lateOrders;
        signalServers({}, SIGUSR1);
        runAfter(fault.duration, [this]() {
            --m_lateOrders;
            signalServers({}, m_lateOrders > 0 ? SIGUSR1 : SIGUSR2);
        });
        break;
    default: {
        using standins::ServerFault;
        constexpr std::array<ServerFault, 4> Kinds = {ServerFault::OtherId, ServerFault::NoStamp, ServerFault::CutShort,
                                                      ServerFault::Encoded};
        recordDisturbance(Disturbance::All, fault.duration, false, true);
        signalServers(server.service, SIGRTMIN + static_cast<int>(Kinds[fault.target % Kinds.size()]));
        runAfter(fault.duration, [this, service = server.service]() {
            signalServers(service, SIGRTMIN + static_cast<int>(ServerFault::None));
        });
    }
    }
}

void SoakRun::injectStoreFault(const Fault &fault)
{
    using standins::StoreFault;
    if (fault.kind == FaultKind::RestoreStore) {
        const Milliseconds untilComplete = fault.duration + standins::PlatformStandin::RewriteTime;
        recordDisturbance(Disturbance::All, untilComplete, false);
        m_platform.restoreStore(fault.copyAge, fault.duration);
        runAfter(untilComplete, []() {}); // the run has not healed before
        return;
    }
    recordDisturbance(Disturbance::All, fault.duration, false);
    if (fault.kind == FaultKind::StoreLosesHistory) {
        m_platform.compactHistory();
        return;
    }
    StoreFault store = StoreFault::Unavailable;
    store = fault.kind == FaultKind::StoreSlow ? StoreFault::Slow : store;
    store = fault.kind == FaultKind::StoreDropsResponses ? StoreFault::LosesAnswers : store;
    m_platform.setStoreFault(store);
    runAfter(fault.duration, [this]() {
        m_platform.setStoreFault(StoreFault::None);
    });
}

/// Reports a process that exited unexpectedly as a finding, and restarts it as the platform would.
void SoakRun::restartExitedNodes()
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        Node &node = m_nodes[number];
        if (node.process && !node.isStopping && !node.process->isRunning()) {
            m_processViolations.push_back(
                {"no process exits unexpectedly", "node-" + std::to_string(number),
                 "start " + std::to_string(node.startCount - 1) + ", " + node.process->endOf()});
            recordDisturbance(number, StartupTime, false);
            startNode(number);
        }
    }
}

void SoakRun::injectFaults(const std::vector<Fault> &schedule)
{
    const TimePoint start = Clock::now();
    for (const Fault &fault : schedule) {
        runAfter(fault.at, [this, fault]() {
            inject(fault);
        });
    }
    while (Clock::now() - start < m_options.traffic || !m_tasks.empty()) {
        runTasks();
        restartExitedNodes();
        std::this_thread::sleep_for(PollInterval);
    }
}

bool SoakRun::waitUntilServed()
{
    const TimePoint end = Clock::now() + StartTimeout;
    constexpr std::size_t Enough = 40;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(500));
        const auto [sent, served] = m_callers->servedSince(Clock::now() - Milliseconds(1'000));
        if (sent > Enough && served == sent) {
            return true;
        }
    }
    return false;
}

Milliseconds SoakRun::waitUntilRecovered(SoakCallers &callers)
{
    constexpr double Enough = 0.9;
    constexpr Milliseconds Window(1'000);
    const SoakBounds bounds;
    const TimePoint end = m_records.healedAt + bounds.recovery + 2 * Window;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(100));
        restartExitedNodes();
        const TimePoint since = std::max(m_records.healedAt, Clock::now() - Window);
        const auto [sent, served] = callers.servedSince(since);
        const bool isLongEnough = Clock::now() - m_records.healedAt >= Window;
        if (isLongEnough && sent > 0 && static_cast<double>(served) >= Enough * static_cast<double>(sent)) {
            break;
        }
    }
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_records.healedAt);
}

void SoakRun::collect(SoakCallers &callers)
{
    m_records.requests = callers.stop();
    m_records.endedAt = Clock::now();
    collectServers();
}

void SoakRun::collectServers()
{
    for (const Server &server : m_servers) {
        if (server.process && !server.process->isRunning()) {
            m_processViolations.push_back(
                {"no process exits unexpectedly", server.id, "start " + std::to_string(server.starts.size() - 1)});
        }
        for (const ServerStart &start : server.starts) {
            ServerRun run{standins::readServerRecord(start.record, server.id, server.service),
                          std::min(start.endedAt, m_records.endedAt)};
            for (const standins::ServerEvent &event : run.record.events) {
                if (const auto *begin = std::get_if<standins::StartEvent>(&event);
                    begin != nullptr && start.drainedAt) {
                    m_records.drained.try_emplace({server.id, begin->serverStart}, *start.drainedAt);
                }
                if (const auto *arrival = std::get_if<standins::RequestArrival>(&event)) {
                    m_records.arrivals.push_back({arrival->server, arrival->requestId, arrival->service, arrival->at,
                                                  arrival->ran, arrival->serverStart, arrival->announcesLeaving,
                                                  arrival->pause});
                }
            }
            m_serverRuns.push_back(std::move(run));
        }
    }
    std::stable_sort(m_records.arrivals.begin(), m_records.arrivals.end(),
                     [](const ServerRecord &left, const ServerRecord &right) {
                         return left.at < right.at;
                     });
}

SoakResult SoakRun::run()
{
    std::vector<Endpoint> callerEndpoints;
    for (const Node &node : m_nodes) {
        callerEndpoints.push_back({node.address, standins::NodeCallersPort});
    }
    const unsigned connectionsPerNode = std::clamp(AllConnections / m_options.nodes, 1U, MostConnectionsPerNode);
    m_callers = std::make_unique<SoakCallers>(callerEndpoints, connectionsPerNode, m_options.seed);
    recordDisturbance(Disturbance::All, StartTimeout, false);
    m_callers->start();
    SoakResult result;
    if (!waitUntilServed()) {
        result.violations.push_back({"starts", "", "not all requests are served 20 s after the start"});
    }
    m_records.disturbances.back().to = Clock::now();
    result.schedule = m_options.only.empty()
        ? makeSchedule(m_options.seed, m_options.traffic)
        : makeSchedule(m_options.seed, m_options.traffic, m_options.only, m_options.longestFault);
    injectFaults(result.schedule);
    m_records.healedAt = Clock::now();
    result.recoveryTime = waitUntilRecovered(*m_callers);
    result.elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_createdAt);
    result.storeTime = m_platform.processorTime();
    result.callersTime = m_callers->processorTime();
    result.proxiesTime = standins::processorTimeOf(m_proxyThread);
    collect(*m_callers);
    const std::vector<Violation> found = findViolations(m_records, SoakBounds());
    result.violations.insert(result.violations.end(), found.begin(), found.end());
    const std::vector<Violation> holds = findHoldViolations(m_serverRuns, m_grantExcuses, HoldBounds());
    result.violations.insert(result.violations.end(), holds.begin(), holds.end());
    result.violations.insert(result.violations.end(), m_processViolations.begin(), m_processViolations.end());
    constexpr unsigned Ok = 200;
    result.requests = m_records.requests.size();
    result.served = static_cast<std::size_t>(
        std::count_if(m_records.requests.begin(), m_records.requests.end(), [](const CallerRecord &request) {
            return request.status == Ok;
        }));
    return result;
}

} // namespace snipevalve::soak
