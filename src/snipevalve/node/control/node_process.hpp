#ifndef SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP
#define SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP

#include <string>

#include "snipevalve/app/program.hpp"
#include "snipevalve/net/http_server.hpp"
#include "snipevalve/node/control/node_control.hpp"
#include "snipevalve/node/descriptor_shares.hpp"
#include "snipevalve/node/gateway_thread.hpp"

namespace snipevalve {

/// @brief The node's process: a traffic thread for callers, the control state, readiness, reload and graceful stop.
template <PlatformApi Platform>
class NodeProcess
{
public:
    /// @param reload reads the settings again and reports the differences; called on SIGHUP
    NodeProcess(const NodeSettings &settings, const HeaderNames &names, std::uint64_t seed,
                std::function<void()> reload)
        : m_settings(settings)
        , m_traffic(settings, names, &Platform::parseServerNotice, seed)
        , m_control(m_context.get_executor(), settings, outputs(), seed + 1)
        , m_readinessAcceptor(listenOn(m_context.get_executor(), settings.readiness))
        , m_supervisor(m_context.get_executor(), "node", {},
                       [this]() {
                           spdlog::critical("node: event=failed reason=\"a supervised task failed too often\"");
                           m_exitCode = ExitCode::Failure;
                           m_context.stop();
                       })
        , m_stopSignals(m_context.get_executor(),
                        [this]() {
                            asio::co_spawn(m_context, stop(), asio::detached);
                        })
        , m_reloadSignal(m_context.get_executor(), SIGHUP)
        , m_reload(std::move(reload))
    {
        m_control.addTo(m_supervisor);
        m_supervisor.add("readiness", [this]() {
            return serveHttp(
                m_readinessAcceptor,
                [this](const HttpRequest &request) {
                    return handleReadinessRequest(request);
                },
                HttpServerLimits{
                    .bodyBytes = 0,
                    .maxConnections = DescriptorShares(m_settings.maxDescriptors).readiness(),
                });
        });
        m_traffic.onStoreUpdate([this](StoreUpdate news) {
            asio::post(m_context, [this, news = std::move(news)]() {
                m_control.onLeaderUpdate(news);
            });
        });
        m_traffic.onDeputyAsk([this](DeputyAsk ask) {
            asio::post(m_context, [this, ask = std::move(ask)]() {
                m_control.onDeputyAsk(ask);
            });
        });
        m_traffic.onDeputyOf([this](std::vector<std::string> services) {
            asio::post(m_context, [this, services = std::move(services)]() {
                m_control.onDeputyOf(services);
            });
        });
        m_traffic.onViewsMissing([this](std::vector<std::string> services) {
            asio::post(m_context, [this, services = std::move(services)]() {
                m_control.requestViews(services);
            });
        });
        waitForReload();
    }

    /// @brief Runs until a stop signal or a failure. @return the exit code
    ///
    /// The process must then exit without destroying this object: suspended coroutines of connections refer to each
    /// other, so no order of destruction is safe.
    ExitCode run()
    {
        m_traffic.start();
        m_supervisor.start();
        m_context.run();
        m_traffic.stop();
        return m_exitCode;
    }

private:
    /// The load balancer probes readiness each second and removes a node after two failures. Until then the node
    /// accepts connections.
    static constexpr Milliseconds ListenWhileStopping{2'500};
    /// The end of the grace time, reserved for the last answers and log lines; a host with 0.1 core needs 0.5 s for
    /// these. By the users' requirements, requests still running on a server in the last sixth of the 6 s do not count.
    static constexpr Milliseconds ShutdownReserve{1'000};
    /// Requests that are still queued this long before the reserve are refused, so that callers can retry elsewhere.
    static constexpr Milliseconds RefusalTime{500};
    /// Time to send the answers to requests that were given up at the end.
    static constexpr Milliseconds FinalAnswersTime{400};
    static constexpr Milliseconds StopPollInterval{50};

    typename NodeControl<Platform>::Outputs outputs()
    {
        typename NodeControl<Platform>::Outputs outputs;
        outputs.config = [this](std::shared_ptr<const GatewayConfig> config) {
            m_traffic.setConfig(std::move(config));
        };
        outputs.leaders = [this](std::map<std::string, Endpoint> leaders) {
            m_traffic.setLeaders(std::move(leaders));
        };
        outputs.evacuations = [this](Evacuations evacuations) {
            m_traffic.setEvacuations(std::move(evacuations));
        };
        outputs.view = [this](ServiceView view) {
            m_traffic.setStoreView(std::move(view));
        };
        outputs.requestConfig = [this](std::uint64_t base) {
            m_traffic.requestConfig(base);
        };
        outputs.deputyConsent = [this](DeputyAsk ask) {
            m_traffic.consentAsDeputy(std::move(ask));
        };
        outputs.knownView = [this](KnownView known) {
            m_traffic.adoptView(std::move(known));
        };
        outputs.readKnownViews = [this](std::vector<std::string> services, LeaderDispatcher::KnownViewsReply reply) {
            m_traffic.readKnownViews(std::move(services), [this, reply](std::vector<KnownView> known) {
                asio::post(m_context, [reply, known = std::move(known)]() {
                    reply(known);
                });
            });
        };
        outputs.hostCount = [this](std::size_t hosts) {
            m_traffic.setHostCount(hosts);
        };
        outputs.needsViews = [this]() {
            return m_traffic.needsStoreViews();
        };
        return outputs;
    }

    Awaitable<HttpResponse> handleReadinessRequest(const HttpRequest &request)
    {
        if (request.target() == "/metrics") {
            HttpResponse response(http::status::ok, 11);
            response.set(http::field::content_type, "text/plain; version=0.0.4");
            response.body() = m_traffic.metrics().toText();
            co_return response;
        }
        const bool isReady = m_control.hasConfig() && !m_stopping;
        HttpResponse response(isReady ? http::status::ok : http::status::service_unavailable, 11);
        response.body() = isReady ? "ready\n" : "not ready\n";
        co_return response;
    }

    Awaitable<void> stop()
    {
        const TimePoint startedAt = Clock::now();
        m_stopping = true;
        spdlog::info("node: event=stop_begins sessions={}", m_traffic.sessions());
        const TimePoint end = startedAt + m_settings.stopGrace - ShutdownReserve;
        m_traffic.beginStop({.lastAnswerAt = end, .lastUnboundedAt = startedAt + m_settings.stopGrace / 2});
        asio::co_spawn(m_context, m_control.resign(), asio::detached);
        asio::steady_timer timer(m_context);
        ErrorCode ignored;
        timer.expires_after(ListenWhileStopping);
        co_await timer.async_wait(awaitInto(ignored));
        m_traffic.closeListener();
        bool hasRefusedWaiting = false;
        while (m_traffic.hasCallers() && Clock::now() < end) {
            if (!hasRefusedWaiting && Clock::now() >= end - RefusalTime) {
                hasRefusedWaiting = true; // requests that came later are placed or refused by the time that is left
                m_traffic.refuseWaiting();
            }
            timer.expires_after(StopPollInterval);
            co_await timer.async_wait(awaitInto(ignored));
        }
        // Otherwise the caller of a hanging server would get no answer.
        m_traffic.endRequests();
        const TimePoint finalAnswersEnd = Clock::now() + FinalAnswersTime;
        while (m_traffic.hasCallers() && Clock::now() < finalAnswersEnd) {
            timer.expires_after(StopPollInterval);
            co_await timer.async_wait(awaitInto(ignored));
        }
        spdlog::info("node: event=stopped sessions={}", m_traffic.sessions());
        m_context.stop();
    }

    void waitForReload()
    {
        m_reloadSignal.async_wait([this](const ErrorCode &error, int) {
            if (!error) {
                m_reload();
                waitForReload();
            }
        });
    }

    asio::io_context m_context{1};
    const NodeSettings &m_settings;
    GatewayThread m_traffic;
    NodeControl<Platform> m_control;
    Tcp::acceptor m_readinessAcceptor;
    Supervisor m_supervisor;
    StopSignals m_stopSignals;
    asio::signal_set m_reloadSignal;
    std::function<void()> m_reload;
    bool m_stopping = false;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP
