#ifndef SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP
#define SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP

#include <memory>
#include <optional>
#include <string>

#include "snipevalve/dispatch/work.hpp"
#include "snipevalve/net/upstream_pool.hpp"
#include "snipevalve/node/gateway_request.hpp"

namespace snipevalve {

/// @brief A server's answer: the whole of it, or its head and the first part of a long body.
struct UpstreamAnswer
{
    http::response_header<> header;
    std::string body;
    bool isWhole = true; ///< false: UpstreamExchange::readMore() gives the rest
    std::optional<std::uint64_t> length; ///< of the whole body, where the server tells it
};

/// @brief What became of one send to one server.
struct ExchangeResult
{
    WorkEnd end = WorkEnd::Unreachable;
    std::optional<UpstreamAnswer> answer; ///< set when `end` is Done
    std::string detail; ///< for the log: why it did not end well
    bool reusedConnection = false;
    Duration took{};
};

/// @brief Whether this status promises the caller that nothing ran.
bool promisesNotExecuted(http::status status);

/// @brief Sends one request to one server and reads its answer.
///
/// An answer counts only when the server echoes the request's id, sends its own body unencoded, and ends it cleanly.
/// The connection goes back to the pool only after such an answer and when nothing is left to send or to read on it.
/// Answers up to `bufferLimit` are read whole, so that a broken one can still be asked for elsewhere. Longer ones are
/// handed on in parts; the server is read only as fast as the caller takes them.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    UpstreamExchange(asio::any_io_executor executor, UpstreamPool &pool, const HeaderNames &names,
                     const GatewayRequest &request);

    /// @param until when no answer is waited for any longer
    /// @param bufferLimit bytes of a body that are kept; a longer one comes in parts
    Awaitable<ExchangeResult> run(UpstreamServer server, TimePoint until, std::size_t bufferLimit);

    /// @brief The next part of a body that run() has not read whole; empty after the last one.
    /// @param error set when the server broke off: the answer must not look complete
    Awaitable<std::string> readMore(ErrorCode &error);

    /// @brief Closes the connection, which has the server stop working; run() then ends as Abandoned.
    void cancel();

    /// @brief The server takes too long: closes the connection; run() then ends as Lost.
    void giveUp();

private:
    Awaitable<void> connect(const Endpoint &endpoint, TimePoint until, ExchangeResult &result);
    Awaitable<void> send();
    Awaitable<void> waitForSend();
    Awaitable<void> receive(ExchangeResult &result, std::size_t bufferLimit);
    Awaitable<void> receiveHead(ErrorCode &error);
    Awaitable<void> discardAnswer(ErrorCode &error);
    bool answersOtherRequest() const;
    bool isRefusal(const http::response_header<> &header) const;
    std::string checkAnswer(const http::response_header<> &header) const;
    void setOutcome(const ErrorCode &error, ExchangeResult &result);
    void returnConnection();

    asio::any_io_executor m_executor;
    UpstreamPool &m_pool;
    const HeaderNames &m_names;
    const GatewayRequest &m_request;
    Endpoint m_endpoint;
    std::unique_ptr<UpstreamConnection> m_connection;
    http::request<http::string_body> m_message;
    std::unique_ptr<http::response_parser<http::string_body>> m_parser;
    asio::steady_timer m_sendEnded;
    ErrorCode m_sendError;
    bool m_sendDone = false;
    bool m_sawOtherAnswer = false; ///< an answer to another request came on this connection
    bool m_cancelled = false;
    bool m_gaveUp = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP
