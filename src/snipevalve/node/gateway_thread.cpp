#include "snipevalve/node/gateway_thread.hpp"

#include <vector>

#include <spdlog/spdlog.h>

#include "snipevalve/net/accept.hpp"
#include "snipevalve/net/log_failure.hpp"
#include "snipevalve/node/descriptor_shares.hpp"
#include "snipevalve/node/gateway_session.hpp"

namespace snipevalve {

namespace {

/// How often late requests are rejected and silent leaders detected.
constexpr Milliseconds AdvanceInterval(50);

std::vector<Endpoint> otherSeeds(const NodeSettings &settings)
{
    std::vector<Endpoint> seeds = settings.seeds;
    std::erase(seeds, settings.control);
    return seeds;
}

Awaitable<void> runSession(std::shared_ptr<GatewaySession> session)
{
    co_await session->run();
}

} // namespace

GatewayThread::GatewayThread(const NodeSettings &settings, const HeaderNames &names,
                             ServerNoticeParser parseServerNotice, std::uint64_t seed)
    : m_traffic(m_context.get_executor(), settings, names, parseServerNotice, seed)
    , m_acceptor(listenOn(m_context.get_executor(), settings.callers))
{
    m_traffic.placements.onEvent = [this](const std::string &event) {
        m_traffic.metrics.count(event);
    };
}

GatewayThread::~GatewayThread()
{
    stop();
    m_context.destroyPending(); // sessions refer to m_traffic
}

void GatewayThread::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void GatewayThread::refuseWaiting()
{
    asio::post(m_context, [this]() {
        m_traffic.placements.refuseWaiting();
    });
}

void GatewayThread::endRequests()
{
    asio::post(m_context, [this]() {
        const std::vector<GatewaySession *> sessions(m_traffic.sessions.begin(), m_traffic.sessions.end());
        for (GatewaySession *session : sessions) {
            session->endRequest();
        }
    });
}

void GatewayThread::start()
{
    asio::post(m_context, [this]() {
        m_traffic.placements.connectToSeeds(otherSeeds(m_traffic.settings));
    });
    const auto onConnection = [this](Tcp::socket socket) {
        startSession(std::move(socket));
    };
    const auto mayAccept = [this]() {
        return m_traffic.memory.mayConnect(Clock::now());
    };
    asio::co_spawn(m_context, acceptConnections(m_acceptor, onConnection, mayAccept), asio::detached);
    asio::co_spawn(m_context, advance(), asio::detached);
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

void GatewayThread::startSession(Tcp::socket socket)
{
    auto session = std::make_shared<GatewaySession>(m_traffic, std::move(socket));
    asio::co_spawn(m_context, runSession(std::move(session)), LogFailure("session"));
}

Awaitable<void> GatewayThread::advance()
{
    asio::steady_timer timer(m_context);
    ErrorCode ignored;
    while (true) {
        timer.expires_after(AdvanceInterval);
        co_await timer.async_wait(awaitInto(ignored));
        m_traffic.placements.advance();
        for (const HeldBytes kind : AllHeldBytes) {
            m_traffic.metrics.setLevel("held_bytes_" + std::string(describe(kind)), m_traffic.memory.held(kind));
        }
    }
}

void GatewayThread::setConfig(std::shared_ptr<const GatewayConfig> config)
{
    asio::post(m_context, [this, config = std::move(config)]() {
        m_traffic.config = config;
        m_traffic.placements.setConfig(config);
    });
}

void GatewayThread::setLeaders(std::map<std::string, Endpoint> leaders)
{
    asio::post(m_context, [this, leaders = std::move(leaders)]() {
        m_traffic.placements.setLeaders(leaders);
    });
}

void GatewayThread::setEvacuations(Evacuations evacuations)
{
    asio::post(m_context, [this, evacuations = std::move(evacuations)]() {
        m_traffic.placements.setEvacuations(evacuations);
    });
}

void GatewayThread::setStoreView(ServiceView view)
{
    asio::post(m_context, [this, view = std::move(view)]() {
        m_traffic.placements.setStoreView(view);
    });
}

void GatewayThread::setHostCount(std::size_t hosts)
{
    asio::post(m_context, [this, hosts]() {
        m_traffic.memory.setMaxConnections(DescriptorShares(m_traffic.settings.maxDescriptors).callers(hosts));
    });
}

void GatewayThread::onStoreUpdate(std::function<void(StoreUpdate)> handler)
{
    asio::post(m_context, [this, handler = std::move(handler)]() {
        m_traffic.placements.onStoreUpdate = handler;
    });
}

void GatewayThread::requestConfig(std::uint64_t base)
{
    asio::post(m_context, [this, base]() {
        m_traffic.placements.requestConfig(base);
    });
}

void GatewayThread::adoptView(KnownView known)
{
    asio::post(m_context, [this, known = std::move(known)]() {
        m_traffic.placements.adoptView(known);
    });
}

void GatewayThread::onDeputyAsk(std::function<void(DeputyAsk)> handler)
{
    asio::post(m_context, [this, handler = std::move(handler)]() {
        m_traffic.placements.onDeputyAsk = handler;
    });
}

void GatewayThread::onDeputyOf(std::function<void(std::vector<std::string>)> handler)
{
    asio::post(m_context, [this, handler = std::move(handler)]() {
        m_traffic.placements.onDeputyOf = handler;
    });
}

void GatewayThread::consentAsDeputy(DeputyAsk ask)
{
    asio::post(m_context, [this, ask = std::move(ask)]() {
        m_traffic.placements.consentAsDeputy(ask);
    });
}

void GatewayThread::onViewsMissing(std::function<void(std::vector<std::string>)> handler)
{
    asio::post(m_context, [this, handler = std::move(handler)]() {
        m_traffic.placements.onViewsMissing = handler;
    });
}

void GatewayThread::readKnownViews(std::vector<std::string> services, std::function<void(std::vector<KnownView>)> reply)
{
    asio::post(m_context, [this, services = std::move(services), reply = std::move(reply)]() {
        reply(m_traffic.placements.knownViews(services));
    });
}

bool GatewayThread::needsStoreViews() const
{
    return m_traffic.placements.needsStoreViews();
}

void GatewayThread::beginStop(StopTimes times)
{
    asio::post(m_context, [this, times]() {
        m_traffic.stopping = true;
        m_traffic.stopTimes = times;
    });
}

void GatewayThread::closeListener()
{
    asio::post(m_context, [this]() {
        closeAfterBacklog(m_acceptor, [this](Tcp::socket socket) {
            startSession(std::move(socket));
        });
        m_isListening = false;
    });
}

std::size_t GatewayThread::sessions() const
{
    return m_traffic.sessionCount;
}

bool GatewayThread::hasCallers() const
{
    return m_isListening || sessions() > 0;
}

const NodeMetrics &GatewayThread::metrics() const
{
    return m_traffic.metrics;
}

} // namespace snipevalve
