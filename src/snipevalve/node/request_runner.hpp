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

    /// @brief Runs to the end. @return the answer for the caller; not to be sent when the caller has gone
    Awaitable<http::response<http::string_body>> run();

    /// @brief The caller has closed its connection: stops waiting, and stops servers that work on a repeatable request.
    void onCallerGone();

    const GatewayRequest &request() const;

private:
    WorkItem toWorkItem() const;
    Awaitable<ExchangeResult> sendTo(const Placement &placement);
    bool mayRepeat() const;
    Awaitable<void> watchServer(std::shared_ptr<asio::steady_timer> patience, int send);
    AttemptEnd toAttemptEnd(WorkEnd end) const;
    http::response<http::string_body> answerOf(UpstreamAnswer answer) const;
    http::response<http::string_body> failure(Duration retryAfter, const std::string &reason) const;
    void logRejection(const Rejection &rejection) const;
    void logSend(const Placement &placement, const ExchangeResult &result) const;
    void logEnd(unsigned status, const std::string &reason) const;

    GatewayTraffic &m_traffic;
    GatewayRequest m_request;
    RequestLife m_life;
    RetryBudget m_sends; ///< of this request alone: the route's largest number of servers
    UpstreamExchange *m_exchange = nullptr; ///< while a send is under way
    Ticket m_waitingTicket = 0;
    std::vector<std::string> m_failedServers;
    int m_sendCount = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_REQUEST_RUNNER_HPP
