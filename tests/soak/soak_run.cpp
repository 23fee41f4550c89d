#include "soak/soak_run.hpp"

#include <csignal>

#include <algorithm>
#include <array>
#include <filesystem>

#include "standins/node_settings_file.hpp"

namespace snipevalve::soak {

namespace {

constexpr unsigned NodeGroup = 1; ///< third part of the addresses
constexpr unsigned ServerWayGroup = 7;
constexpr unsigned StoreWayGroup = 8;
constexpr std::uint16_t WayPort = 8700;
constexpr unsigned ConnectionsPerNode = 4;
constexpr Milliseconds Step(10);
constexpr Milliseconds StartTimeout(20'000);
constexpr Milliseconds KeyedWork(15);
constexpr Milliseconds PoolWork(25);
/// A restarted process has its configuration and a leader's link after this.
constexpr Milliseconds StartTime(2'000);
/// The platform starts a process again so long after its end.
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
        node.process.reset(); // ended by its id
    }
    m_proxies.stop();
    m_proxyThread.join();
}

std::string SoakRun::addressOf(unsigned group, unsigned host) const
{
    return "127." + std::to_string(m_options.network) + "." + std::to_string(group) + "." + std::to_string(host + 1);
}

void SoakRun::addNode(unsigned number)
{
    Node &node = m_nodes[number];
    node.address = addressOf(NodeGroup, number);
    const Endpoint way{addressOf(StoreWayGroup, number), WayPort};
    node.storeWay = std::make_unique<FaultProxy>(m_proxies, way, m_platform.storeEndpoint());
    node.settings = m_options.folder + "/node-" + std::to_string(number) + ".toml";
    standins::writeNodeSettings(node.settings, "node-" + std::to_string(number), node.address, way);
}

void SoakRun::startNode(std::size_t number)
{
    Node &node = m_nodes[number];
    const std::string log =
        m_options.folder + "/node-" + std::to_string(number) + "-" + std::to_string(node.lives++) + ".log";
    node.process.emplace(m_options.binaries + "/snipevalve-node",
                         std::vector<std::string>{"--settings=" + node.settings}, log);
    m_records.starts[number].push_back(Clock::now());
}

void SoakRun::addServer(const std::string &service)
{
    Server server;
    server.id = service + "-" + std::to_string(m_servers.size());
    server.service = service;
    const Endpoint way{addressOf(ServerWayGroup, static_cast<unsigned>(m_servers.size())), WayPort};
    server.way = std::make_unique<FaultProxy>(m_proxies, way, m_platform.nextServerEndpoint());
    const bool isKeyed = service == "ledger";
    m_platform.addServer(server.id, service, isKeyed, isKeyed ? KeyedWork : PoolWork, way);
    m_servers.push_back(std::move(server));
}

void SoakRun::later(Milliseconds after, std::function<void()> act)
{
    m_tasks.push_back({Clock::now() + after, std::move(act)});
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
        task.act();
    }
}

void SoakRun::disturb(std::size_t node, Milliseconds time, bool planned, bool serversOnly)
{
    const TimePoint now = Clock::now();
    m_records.disturbances.push_back({node, now, now + time, planned, serversOnly});
}

void SoakRun::begin(const Fault &fault)
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
    case FaultKind::CutStoreThere:
    case FaultKind::CutStoreBack:
    case FaultKind::SilenceStore:
        beginAtNode(fault, node);
        break;
    case FaultKind::StoreAway:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreForgets:
        beginAtStore(fault);
        break;
    case FaultKind::ChangeConfig:
        ++m_routes;
        m_platform.putConfig(standins::smallConfig(++m_version, m_routes));
        m_records.configured[m_routes] = Clock::now();
        m_callers->setVersion(m_routes);
        break;
    default:
        beginAtServer(fault, server);
    }
}

void SoakRun::beginAtNode(const Fault &fault, std::size_t number)
{
    Node &node = m_nodes[number];
    if (!node.process || !node.process->isRunning() || node.process->isFrozen()) {
        return;
    }
    const auto spoilStoreWay = [&](LinkFault link) {
        disturb(number, fault.duration, false);
        node.storeWay->setFault(link);
        later(fault.duration, [&node]() {
            node.storeWay->setFault(LinkFault::None);
        });
    };
    switch (fault.kind) {
    case FaultKind::KillNode:
        disturb(number, fault.duration + StartTime, false);
        node.process->kill();
        node.process.reset();
        later(fault.duration, [this, number]() {
            startNode(number);
        });
        break;
    case FaultKind::StopNode:
        stopNode(number);
        break;
    case FaultKind::FreezeNode:
        disturb(number, fault.duration, false);
        node.process->freeze();
        later(fault.duration, [&node]() {
            if (node.process) {
                node.process->resume();
            }
        });
        break;
    case FaultKind::ReloadNode:
        ::kill(node.process->pid(), SIGHUP);
        break;
    case FaultKind::DelayStore:
        spoilStoreWay(LinkFault::Delay);
        break;
    case FaultKind::ResetStore:
        spoilStoreWay(LinkFault::Reset);
        break;
    case FaultKind::CutStoreThere:
        spoilStoreWay(LinkFault::CutThere);
        break;
    case FaultKind::CutStoreBack:
        spoilStoreWay(LinkFault::CutBack);
        break;
    default:
        spoilStoreWay(LinkFault::Silent);
    }
}

/// SIGTERM, SIGKILL after the grace time, and a new start when the process has ended.
void SoakRun::stopNode(std::size_t number)
{
    constexpr Milliseconds Grace(6'000);
    disturb(number, Grace + StartTime, true);
    m_nodes[number].process->terminate();
    if (m_nodes[number].isStopping) {
        return; // one more signal of a series
    }
    m_nodes[number].isStopping = true;
    const auto poll = std::make_shared<std::function<void(TimePoint)>>();
    *poll = [this, number, poll](TimePoint end) {
        Node &node = m_nodes[number];
        if (!node.process) {
            node.isStopping = false; // it was killed meanwhile
            return;
        }
        if (!node.process->isRunning()) {
            node.isStopping = false;
            node.process.reset();
            later(RestartDelay, [this, number]() {
                startNode(number);
            });
            return;
        }
        if (Clock::now() >= end) {
            m_ends.push_back({"stops in time", "node-" + std::to_string(number), "ran beyond the grace time"});
            node.process->kill();
        }
        later(Step, [poll, end]() {
            (*poll)(end);
        });
    };
    (*poll)(Clock::now() + Grace);
}

void SoakRun::beginAtServer(const Fault &fault, Server &server)
{
    const auto spoilWay = [&](LinkFault link) {
        disturb(Disturbance::All, fault.duration, false, true);
        FaultProxy *way = server.way.get();
        way->setFault(link);
        later(fault.duration, [way]() {
            way->setFault(LinkFault::None);
        });
    };
    switch (fault.kind) {
    case FaultKind::DelayServer:
        spoilWay(LinkFault::Delay);
        break;
    case FaultKind::ResetServer:
        spoilWay(LinkFault::Reset);
        break;
    case FaultKind::SilenceServer:
        spoilWay(LinkFault::Silent);
        break;
    case FaultKind::CrashServer:
        disturb(Disturbance::All, fault.duration, false, true);
        m_platform.crashServer(server.id);
        later(fault.duration, [this, id = server.id]() {
            m_platform.restartServer(id);
        });
        break;
    case FaultKind::DrainServer: {
        constexpr std::size_t MostServers = 200;
        if (m_servers.size() >= MostServers || m_records.drained.contains(server.id)) {
            return;
        }
        m_records.drained[server.id] = Clock::now();
        m_platform.drainServer(server.id);
        addServer(std::string(server.service));
        break;
    }
    case FaultKind::LateGrants:
        m_platform.setLateOrders(true);
        later(fault.duration, [this]() {
            m_platform.setLateOrders(false);
        });
        break;
    default: {
        using standins::ServerFault;
        constexpr std::array<ServerFault, 4> Kinds = {ServerFault::OtherId, ServerFault::NoStamp, ServerFault::CutShort,
                                                      ServerFault::Encoded};
        disturb(Disturbance::All, fault.duration, false, true);
        m_platform.setFault(server.service, Kinds[fault.target % Kinds.size()]);
        later(fault.duration, [this, service = server.service]() {
            m_platform.setFault(service, ServerFault::None);
        });
    }
    }
}

void SoakRun::beginAtStore(const Fault &fault)
{
    using standins::StoreFault;
    disturb(Disturbance::All, fault.duration, false);
    if (fault.kind == FaultKind::StoreForgets) {
        m_platform.forgetHistory();
        return;
    }
    StoreFault store = StoreFault::Away;
    store = fault.kind == FaultKind::StoreSlow ? StoreFault::Slow : store;
    store = fault.kind == FaultKind::StoreLosesAnswers ? StoreFault::LosesAnswers : store;
    m_platform.setStoreFault(store);
    later(fault.duration, [this]() {
        m_platform.setStoreFault(StoreFault::None);
    });
}

/// A process that ends by itself is a finding, and is started again as the platform would.
void SoakRun::restartEnded()
{
    for (std::size_t number = 0; number < m_nodes.size(); ++number) {
        Node &node = m_nodes[number];
        if (node.process && !node.isStopping && !node.process->isRunning()) {
            m_ends.push_back({"no process ends by itself", "node-" + std::to_string(number),
                              "life " + std::to_string(node.lives - 1)});
            disturb(number, StartTime, false);
            startNode(number);
        }
    }
}

void SoakRun::play(const std::vector<Fault> &schedule)
{
    const TimePoint start = Clock::now();
    for (const Fault &fault : schedule) {
        later(fault.at, [this, fault]() {
            begin(fault);
        });
    }
    while (Clock::now() - start < m_options.traffic || !m_tasks.empty()) {
        runTasks();
        restartEnded();
        std::this_thread::sleep_for(Step);
    }
}

bool SoakRun::waitUntilServed()
{
    const TimePoint end = Clock::now() + StartTimeout;
    constexpr std::size_t Enough = 40;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(500));
        const auto [asked, served] = m_callers->servedSince(Clock::now() - Milliseconds(1'000));
        if (asked > Enough && served == asked) {
            return true;
        }
    }
    return false;
}

Milliseconds SoakRun::waitUntilRegained(SoakCallers &callers)
{
    constexpr double Enough = 0.9;
    constexpr Milliseconds Window(1'000);
    const SoakBounds bounds;
    const TimePoint end = m_records.healedAt + bounds.recovery + 2 * Window;
    while (Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(100));
        restartEnded();
        const TimePoint since = std::max(m_records.healedAt, Clock::now() - Window);
        const auto [asked, served] = callers.servedSince(since);
        const bool isLongEnough = Clock::now() - m_records.healedAt >= Window;
        if (isLongEnough && asked > 0 && static_cast<double>(served) >= Enough * static_cast<double>(asked)) {
            break;
        }
    }
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_records.healedAt);
}

void SoakRun::collect(SoakCallers &callers)
{
    m_records.requests = callers.stop();
    m_records.endedAt = Clock::now();
    for (const standins::PlatformRun &arrival : m_platform.arrivals()) {
        m_records.arrivals.push_back({arrival.server, arrival.requestId, arrival.service, arrival.at, arrival.ran});
    }
    m_records.doubleOwners = m_platform.ownershipBreaches();
}

SoakResult SoakRun::run()
{
    std::vector<Endpoint> callersOf;
    for (const Node &node : m_nodes) {
        callersOf.push_back({node.address, standins::NodeCallersPort});
    }
    m_callers = std::make_unique<SoakCallers>(callersOf, ConnectionsPerNode, m_options.seed);
    disturb(Disturbance::All, StartTimeout, false);
    m_callers->start();
    SoakResult result;
    if (!waitUntilServed()) {
        result.breaches.push_back({"starts", "", "not all requests are served 20 s after the start"});
    }
    m_records.disturbances.back().to = Clock::now();
    result.schedule = makeSchedule(m_options.seed, m_options.traffic);
    play(result.schedule);
    m_records.healedAt = Clock::now();
    result.regained = waitUntilRegained(*m_callers);
    collect(*m_callers);
    const std::vector<Breach> found = findBreaches(m_records, SoakBounds());
    result.breaches.insert(result.breaches.end(), found.begin(), found.end());
    result.breaches.insert(result.breaches.end(), m_ends.begin(), m_ends.end());
    constexpr unsigned Ok = 200;
    result.requests = m_records.requests.size();
    result.served = static_cast<std::size_t>(
        std::count_if(m_records.requests.begin(), m_records.requests.end(), [](const CallerRecord &request) {
            return request.status == Ok;
        }));
    return result;
}

} // namespace snipevalve::soak
