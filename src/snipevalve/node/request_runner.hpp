#ifndef SNIPEVALVE_NODE_REQUEST_RUNNER_HPP
#define SNIPEVALVE_NODE_REQUEST_RUNNER_HPP

#include <memory>
#include <optional>
#include <string>

#include "snipevalve/node/gateway_traffic.hpp"
#include "snipevalve/node/upstream_exchange.hpp"
#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

/// @brief Runs one request: sends it to servers, with retries, until there is an answer or no retry is possible.
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
    /// @param traffic must outlive this object
    /// @param request the request, with its route resolved and its body read
    /// @param holder counts what is held for the caller; must outlive run() and the streaming
    RequestRunner(GatewayTraffic &traffic, GatewayRequest request, MemoryHolder &holder);

    /// @brief Runs the request until its final answer.
    /// @return the answer for the caller; must not be sent when the caller has disconnected
    Awaitable<UpstreamAnswer> run();

    /// @brief Reads the next part of the body of a streamed answer.
    /// @param error set when the server's answer ended early; the caller's must then not look complete
    /// @return the part; empty after the last one
    Awaitable<std::string> readMore(ErrorCode &error);

    /// @return whether the server has to send more of a streamed answer
    bool hasMore() const;

    /// @brief Stops reading a streamed answer.
    void abandonAnswer();

    /// @brief Handles the caller's disconnect: stops waiting for a server, and cancels the send of an idempotent
    /// request.
    void onCallerGone();

    /// @brief Gives up the server that has not answered yet, so that the caller gets an answer before the process ends.
    void onShutdown();

    const GatewayRequest &request() const;

private:
    WorkItem toWorkItem() const;
    Awaitable<ExchangeResult> sendTo(const Placement &placement);
    bool mayRepeat() const;
    bool canEndBeforeStop(const Placement &placement) const;
    bool isWaitingForAnswer(int send) const;
    Awaitable<void> repeatWhenLate(std::shared_ptr<asio::steady_timer> timer, int send);
    void returnRepeat();
    AttemptEnd toAttemptEnd(WorkEnd end) const;
    std::size_t bufferLimit() const;
    void countBytes(const UpstreamServer &server, std::size_t bytes) const;
    UpstreamAnswer toCallerAnswer(UpstreamAnswer answer) const;
    UpstreamAnswer failure(Duration retryAfter, const std::string &reason) const;
    void logRejection(const Rejection &rejection) const;
    void logSend(const Placement &placement, const ExchangeResult &result) const;
    void countLoadReport(const ParsedServerNotice &notice) const;
    void logInvalidHeaders(const UpstreamServer &server, const ParsedServerNotice &notice) const;
    void logEnd(unsigned status, const std::string &reason) const;

    GatewayTraffic &m_traffic;
    GatewayRequest m_request;
    MemoryHolder &m_holder;
    RequestLife m_life;
    RetryBudget m_attemptBudget; ///< of this request alone, from the route's `maxAttempts`
    std::shared_ptr<UpstreamExchange> m_exchange; ///< set during a send and while its answer is streamed
    UpstreamServer m_server; ///< of the last send
    bool m_isAnswered = false; ///< the last send has ended, or its answer is passed on in parts
    Ticket m_repeatTicket = 0; ///< while a repeat is asked for during a send, else 0
    std::optional<Placement> m_repeat; ///< for which the last send was given up
    unsigned m_streamedStatus = 0; ///< status of the streamed answer
    std::uint64_t m_streamedBytes = 0;
    Ticket m_waitingTicket = 0; ///< while waiting for a placement, else 0
    std::vector<std::string> m_failedServers; ///< ids
    std::vector<std::uint64_t> m_usedConnections; ///< numbers of the connections of earlier sends
    int m_sendCount = 0;
    bool m_isShuttingDown = false; ///< the process is about to end; no further sends
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_REQUEST_RUNNER_HPP
