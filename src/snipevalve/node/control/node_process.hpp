#ifndef SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP
#define SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP

#include <string>

#include "snipevalve/app/program.hpp"
#include "snipevalve/net/http_server.hpp"
#include "snipevalve/node/control/node_control.hpp"
#include "snipevalve/node/gateway_thread.hpp"

namespace snipevalve {

/// @brief The whole node: serves callers, follows the platform, leads services, stops gracefully.
template <PlatformApi Platform>
class NodeProcess
{
public:
    /// @param reload reads the settings anew and reports what changed; called at SIGHUP
    NodeProcess(const NodeSettings &settings, const HeaderNames &names, std::uint64_t seed,
                std::function<void()> reload)
        : m_settings(settings)
        , m_traffic(settings, names, seed)
        , m_control(m_context.get_executor(), settings, outputs(), seed + 1)
        , m_readiness(listenOn(m_context.get_executor(), settings.readiness))
        , m_supervisor(m_context.get_executor(), "node", {},
                       [this]() {
                           spdlog::critical("node: event=failed reason=\"its parts failed too often\"");
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
            return serveHttp(m_readiness, [this](const HttpRequest &request) {
                return answerReadiness(request);
            });
        });
        m_traffic.onStoreUpdate([this](StoreUpdate news) {
            asio::post(m_context, [this, news = std::move(news)]() {
                m_control.onStoreUpdate(news);
            });
        });
        waitForReload();
    }

    /// @brief Runs until a planned stop. @return the exit code
    ///
    /// Afterwards the process has to end without destroying this object: coroutines that wait for callers refer to each
    /// other, and there is no order in which they could go.
    ExitCode run()
    {
        m_traffic.start();
        m_supervisor.start();
        m_context.run();
        m_traffic.stop();
        return m_exitCode;
    }

private:
    /// The balancer asks each second and takes a node out after two misses; callers that it sent in between are served.
    static constexpr Milliseconds ListenAfterStop{2'500};
    /// Kept at the end of the grace time for the last answers and log lines; a host of 0.1 core takes 0.5 s for these.
    /// The users' pages do not count what a server still works on in the last sixth of 6 s.
    static constexpr Milliseconds GraceReserve{1'000};
    /// Before that, what has not been sent to a server is refused, so that its caller can go elsewhere.
    static constexpr Milliseconds RefuseBeforeEnd{500};
    /// What the answers to requests get whose servers have not answered by the end.
    static constexpr Milliseconds LastAnswersTime{400};
    static constexpr Milliseconds StopPollInterval{50};
    /// A caller that has been idle for this long while the node stops is not about to send.
    static constexpr Milliseconds IdleWhileStopping{300};

    typename NodeControl<Platform>::Outputs outputs()
    {
        typename NodeControl<Platform>::Outputs outputs;
        outputs.config = [this](std::shared_ptr<const GatewayConfig> config) {
            m_traffic.setConfig(std::move(config));
        };
        outputs.leaders = [this](std::map<std::string, Endpoint> leaders) {
            m_traffic.setLeaders(std::move(leaders));
        };
        outputs.view = [this](ServiceView view) {
            m_traffic.setStoreView(std::move(view));
        };
        outputs.requestConfig = [this](std::uint64_t base) {
            m_traffic.requestConfig(base);
        };
        outputs.needsViews = [this]() {
            return m_traffic.needsStoreViews();
        };
        return outputs;
    }

    Awaitable<HttpResponse> answerReadiness(const HttpRequest &request)
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
        m_traffic.beginStop();
        asio::co_spawn(m_context, m_control.resign(), asio::detached);
        asio::steady_timer timer(m_context);
        ErrorCode ignored;
        timer.expires_after(ListenAfterStop);
        co_await timer.async_wait(awaitInto(ignored));
        m_traffic.closeListener();
        timer.expires_after(StopPollInterval); // until what the listener had taken has become sessions
        co_await timer.async_wait(awaitInto(ignored));
        const TimePoint end = startedAt + m_settings.stopGrace - GraceReserve;
        while (m_traffic.sessions() > 0 && Clock::now() < end) {
            m_traffic.closeIdle(IdleWhileStopping);
            if (Clock::now() >= end - RefuseBeforeEnd) {
                m_traffic.refuseWaiting();
            }
            timer.expires_after(StopPollInterval);
            co_await timer.async_wait(awaitInto(ignored));
        }
        // A server that hangs would leave its caller without an answer.
        m_traffic.endRequests();
        const TimePoint lastAnswersBy = Clock::now() + LastAnswersTime;
        while (m_traffic.sessions() > 0 && Clock::now() < lastAnswersBy) {
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
    Tcp::acceptor m_readiness;
    Supervisor m_supervisor;
    StopSignals m_stopSignals;
    asio::signal_set m_reloadSignal;
    std::function<void()> m_reload;
    bool m_stopping = false;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_NODE_PROCESS_HPP
