#include "soak/soak_run.hpp"

#include <csignal>

#include <algorithm>
#include <array>
#include <filesystem>

#include "standins/node_settings_file.hpp"

namespace snipevalve::soak {

namespace {

constexpr unsigned NodeSubnet = 1; ///< third octet of the addresses
constexpr unsigned ServerProxySubnet = 7;
constexpr unsigned StoreProxySubnet = 8;
constexpr std::uint16_t ProxyPort = 8700;
constexpr unsigned ConnectionsPerNode = 4;
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
    for (Node &node : m_nodes) {
        node.process.reset(); // kills the process by its id
    }
    m_proxies.stop();
    m_proxyThread.join();
}

std::string SoakRun::addressOf(unsigned subnet, unsigned host) const
{
    return "127." + std::to_string(m_options.network) + "." + std::to_string(subnet) + "." + std::to_string(host + 1);
}

void SoakRun::addNode(unsigned number)
{
    Node &node = m_nodes[number];
    node.address = addressOf(NodeSubnet, number);
    const Endpoint proxy{addressOf(StoreProxySubnet, number), ProxyPort};
    node.storeProxy = std::make_unique<FaultProxy>(m_proxies, proxy, m_platform.storeEndpoint());
    node.settings = m_options.folder + "/node-" + std::to_string(number) + ".toml";
    standins::writeNodeSettings(node.settings, "node-" + std::to_string(number), node.address, proxy);
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
    Server server;
    server.id = service + "-" + std::to_string(m_servers.size());
    server.service = service;
    const Endpoint proxy{addressOf(ServerProxySubnet, static_cast<unsigned>(m_servers.size())), ProxyPort};
    server.proxy = std::make_unique<FaultProxy>(m_proxies, proxy, m_platform.nextServerEndpoint());
    const bool isKeyed = service == "ledger";
    m_platform.addServer(server.id, service, isKeyed, isKeyed ? KeyedServiceTime : PoolServiceTime, proxy);
    m_servers.push_back(std::move(server));
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
        injectNodeFault(fault, node);
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
    default:
        injectServerFault(fault, server);
    }
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
        runAfter(fault.duration, [&node]() {
            if (node.process) {
                node.process->resume();
            }
        });
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
    const auto poll = std::make_shared<std::function<void(TimePoint)>>();
    *poll = [this, number, poll](TimePoint end) {
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
        if (Clock::now() >= end) {
            m_processViolations.push_back(
                {"stops in time", "node-" + std::to_string(number), "still ran after the grace period"});
            node.process->kill();
        }
        runAfter(PollInterval, [poll, end]() {
            (*poll)(end);
        });
    };
    (*poll)(Clock::now() + Grace);
}

void SoakRun::injectServerFault(const Fault &fault, Server &server)
{
    const auto setConnectionFault = [&](ConnectionFault link) {
        recordDisturbance(Disturbance::All, fault.duration, false, true);
        FaultProxy *proxy = server.proxy.get();
        proxy->setFault(link);
        runAfter(fault.duration, [proxy]() {
            proxy->setFault(ConnectionFault::None);
        });
    };
    switch (fault.kind) {
    case FaultKind::DelayServer:
        setConnectionFault(ConnectionFault::Delay);
        break;
    case FaultKind::ResetServer:
        setConnectionFault(ConnectionFault::Reset);
        break;
    case FaultKind::BlackholeServer:
        setConnectionFault(ConnectionFault::Blackhole);
        break;
    case FaultKind::CrashServer:
        recordDisturbance(Disturbance::All, fault.duration, false, true);
        m_platform.crashServer(server.id);
        runAfter(fault.duration, [this, id = server.id]() {
            m_platform.restartServer(id);
        });
        break;
    case FaultKind::DrainServer: {
        constexpr std::size_t MaxServers = 200;
        if (m_servers.size() >= MaxServers) {
            return;
        }
        const TimePoint now = Clock::now();
        const std::optional<std::int64_t> run = m_platform.drainServer(server.id);
        const bool isNewDrain = run && m_records.drained.try_emplace({server.id, *run}, now).second;
        if (isNewDrain) {
            addServer(std::string(server.service));
        }
        break;
    }
    case FaultKind::LateGrants:
        m_platform.setLateOrders(true);
        runAfter(fault.duration, [this]() {
            m_platform.setLateOrders(false);
        });
        break;
    default: {
        using standins::ServerFault;
        constexpr std::array<ServerFault, 4> Kinds = {ServerFault::OtherId, ServerFault::NoStamp, ServerFault::CutShort,
                                                      ServerFault::Encoded};
        recordDisturbance(Disturbance::All, fault.duration, false, true);
        m_platform.setFault(server.service, Kinds[fault.target % Kinds.size()]);
        runAfter(fault.duration, [this, service = server.service]() {
            m_platform.setFault(service, ServerFault::None);
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
            m_processViolations.push_back({"no process exits unexpectedly", "node-" + std::to_string(number),
                                           "start " + std::to_string(node.startCount - 1)});
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
    for (const standins::RequestArrival &arrival : m_platform.arrivals()) {
        m_records.arrivals.push_back({arrival.server, arrival.requestId, arrival.service, arrival.at, arrival.ran,
                                      arrival.serverStart, arrival.announcesLeaving, arrival.pause});
    }
    m_records.doubleOwners = m_platform.ownershipBreaches();
}

SoakResult SoakRun::run()
{
    std::vector<Endpoint> callerEndpoints;
    for (const Node &node : m_nodes) {
        callerEndpoints.push_back({node.address, standins::NodeCallersPort});
    }
    m_callers = std::make_unique<SoakCallers>(callerEndpoints, ConnectionsPerNode, m_options.seed);
    recordDisturbance(Disturbance::All, StartTimeout, false);
    m_callers->start();
    SoakResult result;
    if (!waitUntilServed()) {
        result.violations.push_back({"starts", "", "not all requests are served 20 s after the start"});
    }
    m_records.disturbances.back().to = Clock::now();
    result.schedule = makeSchedule(m_options.seed, m_options.traffic);
    injectFaults(result.schedule);
    m_records.healedAt = Clock::now();
    result.recoveryTime = waitUntilRecovered(*m_callers);
    collect(*m_callers);
    const std::vector<Violation> found = findViolations(m_records, SoakBounds());
    result.violations.insert(result.violations.end(), found.begin(), found.end());
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
