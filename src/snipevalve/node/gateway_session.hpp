#ifndef SNIPEVALVE_NODE_GATEWAY_SESSION_HPP
#define SNIPEVALVE_NODE_GATEWAY_SESSION_HPP

#include <memory>
#include <string>

#include "snipevalve/net/message_parser.hpp"
#include "snipevalve/node/gateway_traffic.hpp"
#include "snipevalve/node/request_runner.hpp"

namespace snipevalve {

/// @brief Serves the requests on one caller's connection, one after the other.
class GatewaySession : public std::enable_shared_from_this<GatewaySession>
{
public:
    GatewaySession(GatewayTraffic &traffic, Tcp::socket socket);
    ~GatewaySession();

    /// @brief Serves until the caller disconnects, an error makes the connection unusable, or the node stops.
    Awaitable<void> run();

    /// @brief Makes the current request end with an answer now, because the process is about to end. One that is still
    /// being read is refused, and a connection without one is closed.
    void endRequest();

private:
    using Parser = MessageParser<true, BlockBody>;

    /// @brief Reads and serves one request.
    /// @return false when the connection must be closed
    Awaitable<bool> serveOne();
    Awaitable<bool> readHead(ErrorCode &error);
    Awaitable<bool> readBody(ErrorCode &error);
    bool mayReadBody();
    bool turnAway();
    Awaitable<bool> serve(GatewayRequest request);
    Awaitable<void> watchCaller(std::shared_ptr<RequestRunner> runner);
    Awaitable<bool> refuse(http::status status, const std::string &reason, const std::string &id = {});
    Awaitable<bool> send(http::response<http::string_body> response);
    Awaitable<bool> stream(RequestRunner &runner, UpstreamAnswer answer);
    bool mayKeepConnection() const;
    const CallerLimits &limits() const;
    void setPhase(HolderPhase phase);

    GatewayTraffic &m_traffic;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    MemoryHolder m_holder;
    std::size_t m_headBytes = 0; ///< of all copies of the head of the current request
    HolderPhase m_phase = HolderPhase::Idle;
    std::unique_ptr<Parser> m_parser;
    std::weak_ptr<RequestRunner> m_runner; ///< of the current request
    bool m_isIdle = false; ///< waiting for a request
    bool m_isReading = false; ///< a request has begun to arrive and is not whole yet
    bool m_isEnding = false; ///< the process is about to end
    bool m_hasAnswered = false; ///< the current request
    std::shared_ptr<const GatewayConfig> m_config; ///< of the current request; null before the first configuration
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_GATEWAY_SESSION_HPP
