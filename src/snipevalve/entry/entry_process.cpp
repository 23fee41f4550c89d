#include "snipevalve/entry/entry_process.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "snipevalve/net/accept.hpp"
#include "snipevalve/routing/slot_load.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds LoadReportInterval(1000);

LinkHubOptions linkOptions(const Settings &settings)
{
    LinkHubOptions options;
    options.node = settings.hostName + "/entry";
    options.role = "entry";
    return options;
}

Endpoint callerEndpoint(const Settings &settings)
{
    return {settings.hostAddress, static_cast<std::uint16_t>(settings.entryPort)};
}

Awaitable<void> runSession(std::unique_ptr<Session> session)
{
    co_await session->run();
}

} // namespace

TrafficThread::TrafficThread(const Settings &settings, std::uint64_t seed)
    : m_threadState(m_context.get_executor(), settings, seed)
    , m_acceptor(listenOn(m_context.get_executor(), callerEndpoint(settings), true))
{
}

TrafficThread::~TrafficThread()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    m_context.destroyPending(); // sessions refer to m_threadState
}

void TrafficThread::start()
{
    const auto onConnection = [this](Tcp::socket socket) {
        startSession(std::move(socket));
    };
    const auto mayAccept = [this]() {
        return m_threadState.memory.mayConnect(Clock::now());
    };
    asio::co_spawn(m_context, acceptConnections(m_acceptor, onConnection, mayAccept), asio::detached);
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

void TrafficThread::startSession(Tcp::socket socket)
{
    asio::co_spawn(m_context, runSession(std::make_unique<Session>(m_threadState, std::move(socket))), asio::detached);
}

void TrafficThread::setRouting(std::shared_ptr<const RoutingState> routing)
{
    asio::post(m_context, [this, routing = std::move(routing)]() {
        m_threadState.routing = routing;
    });
}

void TrafficThread::beginStop()
{
    asio::post(m_context, [this]() {
        m_threadState.stopping = true;
    });
}

void TrafficThread::closeListener()
{
    asio::post(m_context, [this]() {
        closeAfterBacklog(m_acceptor, [this](Tcp::socket socket) {
            startSession(std::move(socket));
        });
        m_isListening = false;
    });
}

void TrafficThread::closeIdle(Duration idle)
{
    asio::post(m_context, [this, idle]() {
        for (Session *session : m_threadState.sessions) {
            session->closeIfIdle(Clock::now(), idle);
        }
    });
}

bool TrafficThread::isListening() const
{
    return m_isListening;
}

std::size_t TrafficThread::sessions() const
{
    return m_threadState.sessionCount;
}

const EntryMetrics &TrafficThread::metrics() const
{
    return m_threadState.metrics;
}

std::size_t TrafficThread::heldBytes(HeldBytes kind) const
{
    return m_threadState.memory.held(kind);
}

EntryProcess::EntryProcess(asio::io_context &context, const Settings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_client(context.get_executor(), settings.hostAddress)
    , m_hub(context.get_executor(), linkOptions(settings))
    , m_hostListPoller(context.get_executor(), m_client, settings.hostListEndpoint, settings.hostListInterval,
                       [this](const HostList &hosts) {
                           onHosts(hosts);
                       })
    , m_reporter(context.get_executor(), m_hub, settings.hostName + "/entry")
    , m_opsAcceptor(
          listenOn(context.get_executor(), {settings.hostAddress, static_cast<std::uint16_t>(settings.entryOpsPort)}))
    , m_supervisor(context.get_executor(), "entry", {}, [this]() {
        m_exitCode = ExitCode::Failure;
        m_context.stop();
    })
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    m_startTime = static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
    m_hub.setListener([this](const Item &item) {
        onItem(item);
    });
    for (std::uint64_t thread = 0; thread < settings.entryTrafficThreads; ++thread) {
        m_threads.emplace_back(settings, m_startTime + thread);
    }
    onHosts({});
}

ExitCode EntryProcess::run()
{
    Supervisor &control = m_supervisor.addSupervisor("control");
    control.add("links", [this]() {
        return m_hub.run();
    });
    control.add("hosts", [this]() {
        return m_hostListPoller.run();
    });
    control.add("reports", [this]() {
        return m_reporter.run();
    });
    control.add("loads", [this]() {
        return reportLoads();
    });
    m_supervisor.add("status", [this]() {
        return serveHttp(
            m_opsAcceptor,
            [this](const HttpRequest &request) {
                return handleOpsRequest(request);
            },
            HttpServerLimits{.bodyBytes = 0});
    });
    m_supervisor.start();
    for (TrafficThread &thread : m_threads) {
        thread.start();
    }
    const StopSignals signals(m_context.get_executor(), [this]() {
        asio::co_spawn(m_context, stop(), asio::detached);
    });
    m_context.run();
    return m_exitCode;
}

/// Tries the placement process of this host first, then those of the other hosts in ranked order.
void EntryProcess::onHosts(const HostList &hosts)
{
    const auto port = static_cast<std::uint16_t>(m_settings.linkPort);
    std::vector<Endpoint> candidates = {{m_settings.hostAddress, port}};
    for (const Host &host : rankHosts(hosts, m_settings.hostName)) {
        if (host.address != m_settings.hostAddress) {
            candidates.push_back({host.address, port});
        }
    }
    m_hub.setCandidates(std::move(candidates), 1);
}

void EntryProcess::onItem(const Item &item)
{
    if (!m_builder.apply(item) || m_rebuildQueued) {
        return;
    }
    // A frame carries many items; posting the rebuild coalesces them into one.
    m_rebuildQueued = true;
    asio::post(m_context, [this]() {
        rebuildRouting();
    });
}

void EntryProcess::rebuildRouting()
{
    m_rebuildQueued = false;
    const auto state = m_builder.build();
    for (TrafficThread &thread : m_threads) {
        thread.setRouting(state);
    }
    m_ready = !m_stopping && !state->routes.empty();
    m_reporter.update();
}

Awaitable<void> EntryProcess::reportLoads()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(LoadReportInterval);
        co_await timer.async_wait(asio::use_awaitable);
        ++m_loadReports;
        std::vector<Item> items;
        for (const auto &[group, counter] : m_builder.counters()) {
            const std::vector<std::uint32_t> counts = counter->takeAndReset();
            Item item;
            item.key = {ItemKind::Load, m_settings.hostName + "/entry#" + group};
            item.version = {m_startTime, m_loadReports};
            item.payload = encodeSlotCounts(counts);
            items.push_back(std::move(item));
        }
        m_hub.publish(items);
    }
}

Awaitable<void> EntryProcess::stop()
{
    constexpr Milliseconds PollInterval(10);
    spdlog::info("entry: a planned stop begins");
    m_stopping = true;
    m_ready = false;
    for (TrafficThread &thread : m_threads) {
        thread.beginStop();
    }
    asio::steady_timer timer(m_context, m_settings.entryDrainDelay);
    co_await timer.async_wait(asio::use_awaitable);
    for (TrafficThread &thread : m_threads) {
        thread.closeListener();
    }
    const TimePoint deadline = Clock::now() + m_settings.entryStopTimeout;
    const auto isBusy = [](const TrafficThread &thread) {
        return thread.isListening() || thread.sessions() > 0;
    };
    while (std::any_of(m_threads.begin(), m_threads.end(), isBusy) && Clock::now() < deadline) {
        for (TrafficThread &thread : m_threads) {
            thread.closeIdle(m_settings.entryDrainDelay);
        }
        timer.expires_after(PollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    spdlog::info("entry: stopped");
    m_context.stop();
}

Awaitable<HttpResponse> EntryProcess::handleOpsRequest(const HttpRequest &request)
{
    const RequestTarget target(std::string(request.target()));
    if (target.path() == "/ready") {
        co_return jsonResponse(m_ready ? http::status::ok : http::status::service_unavailable, "{}");
    }
    if (target.path() == "/metrics") {
        nlohmann::json threads = nlohmann::json::array();
        for (const TrafficThread &thread : m_threads) {
            nlohmann::json metrics = nlohmann::json::parse(thread.metrics().toJson());
            metrics["connections"] = thread.sessions();
            for (const HeldBytes kind : AllHeldBytes) {
                metrics["heldBytes"][std::string(describe(kind))] = thread.heldBytes(kind);
            }
            threads.push_back(metrics);
        }
        const nlohmann::json body = {{"host", m_settings.hostName},
                                     {"revision", m_hub.items().resourceRevision()},
                                     {"links", m_hub.openLinks()},
                                     {"threads", threads}};
        co_return jsonResponse(http::status::ok, body.dump());
    }
    co_return jsonResponse(http::status::not_found, R"({"error":"no such page"})");
}

} // namespace snipevalve
