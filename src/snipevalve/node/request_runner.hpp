#ifndef SNIPEVALVE_NODE_REQUEST_RUNNER_HPP
#define SNIPEVALVE_NODE_REQUEST_RUNNER_HPP

#include <memory>
#include <string>

#include "snipevalve/node/gateway_traffic.hpp"
#include "snipevalve/node/upstream_exchange.hpp"
#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

/// @brief Takes one request through its sends to servers until it has an answer or can have none.
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
    /// @param traffic has to outlive the request
    RequestRunner(GatewayTraffic &traffic, GatewayRequest request);

    /// @brief Runs to the answer. @return the answer for the caller; not to be sent when the caller has gone
    Awaitable<UpstreamAnswer> run();

    /// @brief The next part of the body of an answer that is not whole; empty after the last one.
    /// @param error set when the server broke off: the answer must not look complete
    Awaitable<std::string> readMore(ErrorCode &error);

    /// @brief Reads no more of an answer that is not whole.
    void abandonAnswer();

    /// @brief The caller has closed its connection: stops waiting, and stops servers that work on a repeatable request.
    void onCallerGone();

    /// @brief The process ends in a moment: a server that has not answered is given up, and the caller gets its answer.
    void onShutdown();

    const GatewayRequest &request() const;

private:
    WorkItem toWorkItem() const;
    Awaitable<ExchangeResult> sendTo(const Placement &placement);
    bool mayRepeat() const;
    Awaitable<void> enforceAttemptTimeout(std::shared_ptr<asio::steady_timer> timer, int send);
    AttemptEnd toAttemptEnd(WorkEnd end) const;
    std::size_t bufferLimit() const;
    void countBytes(const UpstreamServer &server, std::size_t bytes) const;
    UpstreamAnswer toCallerAnswer(UpstreamAnswer answer) const;
    UpstreamAnswer failure(Duration retryAfter, const std::string &reason) const;
    void logRejection(const Rejection &rejection) const;
    void logSend(const Placement &placement, const ExchangeResult &result) const;
    void logEnd(unsigned status, const std::string &reason) const;

    GatewayTraffic &m_traffic;
    GatewayRequest m_request;
    RequestLife m_life;
    RetryBudget m_attemptBudget; ///< of this request alone: the route's largest number of servers
    std::shared_ptr<UpstreamExchange> m_exchange; ///< while a send is under way or its body is read
    UpstreamServer m_server; ///< the one that sends a body in parts
    unsigned m_streamedStatus = 0; ///< of the answer that is passed on in parts
    std::uint64_t m_streamedBytes = 0;
    Ticket m_waitingTicket = 0;
    std::vector<std::string> m_failedServers;
    int m_sendCount = 0;
    bool m_isShuttingDown = false; ///< no further send, the process ends
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_REQUEST_RUNNER_HPP
