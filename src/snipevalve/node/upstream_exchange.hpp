#ifndef SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP
#define SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/dispatch/work.hpp"
#include "snipevalve/gateway/server_notice.hpp"
#include "snipevalve/net/memory_account.hpp"
#include "snipevalve/net/message_parser.hpp"
#include "snipevalve/net/upstream_pool.hpp"
#include "snipevalve/node/gateway_request.hpp"

namespace snipevalve {

/// @brief Parses what a server says of itself in an answer's header; the platform's adapter provides it.
using ServerNoticeParser = ParsedServerNotice (*)(const http::response_header<> &header);

/// @brief A server's answer: either complete, or the header and the first part of a long body.
struct UpstreamAnswer
{
    http::response_header<> header;
    std::string body;
    bool isWhole = true; ///< false when UpstreamExchange::readMore() returns the rest of the body
    std::optional<std::uint64_t> length; ///< Content-Length of the body, if the server sent one
};

/// @brief Outcome of one send to one server.
struct ExchangeResult
{
    WorkEnd end = WorkEnd::Unreachable;
    std::optional<UpstreamAnswer> answer; ///< set only when `end` is Done
    std::string detail; ///< why the send failed; logged, and sent to the caller when there is no retry
    bool reusedConnection = false;
    std::uint64_t connection = 0; ///< number of the connection; 0 if there was none
    Duration took{}; ///< until the exchange ended or streaming began
    ParsedServerNotice notice; ///< of the server that the request was meant for
};

/// @brief Whether callers read this status as a promise that the request was not executed.
bool promisesNotExecuted(http::status status);

/// @brief Sends one request to one server and reads its answer.
///
/// An answer is valid only if the server echoes the request's id, sends the body without a content encoding and ends it
/// cleanly, and stamps it if it is a success. A refusal without an id counts only if the connection has carried no
/// other request. The connection returns to the pool only after an answer or a refusal with the id, and when nothing is
/// left to send or to read on it. Bodies up to `bufferLimit` are read whole, so that the request can be retried if the
/// answer breaks off. Longer ones are streamed, with the caller's speed as back pressure.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    UpstreamExchange(asio::any_io_executor executor, UpstreamPool &pool, const HeaderNames &names,
                     ServerNoticeParser parseServerNotice, const GatewayRequest &request,
                     MemoryHolder *holder = nullptr);

    /// @brief Sends the request and reads the answer, or the beginning of a long one.
    /// @param server where to send the request
    /// @param until time limit for the exchange, including a streamed body
    /// @param bufferLimit longest body in bytes that is read whole; longer ones are streamed
    /// @param usedConnections numbers of the connections on which the request was sent before. It is not sent there
    /// again: answers are told apart by the request's id, so a late copy of the earlier one would pass as the answer.
    Awaitable<ExchangeResult> run(UpstreamServer server, TimePoint until, std::size_t bufferLimit,
                                  std::vector<std::uint64_t> usedConnections);

    /// @brief Reads the next part of a streamed body.
    /// @param error set when the server's answer ended early; the caller's must then not look complete
    /// @return the part; empty after the last one
    Awaitable<std::string> readMore(ErrorCode &error);

    /// @return whether the server has to send more of a streamed body
    bool hasMore() const;

    /// @brief Closes the connection, which makes the server stop working; run() then ends as Abandoned.
    void cancel();

    /// @brief Closes the connection because the server takes too long; run() then ends as Lost, or as Unreachable
    /// without having sent anything if there was no connection yet.
    void giveUp();

private:
    Awaitable<void> connect(TimePoint until, const std::vector<std::uint64_t> &usedConnections, ExchangeResult &result);
    Awaitable<void> send();
    Awaitable<void> waitForSend();
    Awaitable<void> receive(ExchangeResult &result, std::size_t bufferLimit);
    bool mayBufferMore(std::size_t limit) const;
    Awaitable<void> receiveHead(ErrorCode &error);
    Awaitable<void> discardAnswer(ErrorCode &error);
    bool answersOtherRequest() const;
    bool isFromOtherServer(const http::response_header<> &header) const;
    bool namesRequest(const http::response_header<> &header) const;
    bool belongsToRequest(const http::response_header<> &header) const;
    bool isRefusal(const http::response_header<> &header) const;
    std::string checkAnswer(const http::response_header<> &header) const;
    bool mayBePartial() const;
    void setOutcome(const ErrorCode &error, ExchangeResult &result);
    void returnConnection();

    asio::any_io_executor m_executor;
    UpstreamPool &m_pool;
    const HeaderNames &m_names;
    ServerNoticeParser m_parseServerNotice;
    const GatewayRequest &m_request;
    MemoryHolder *m_holder; ///< of the caller's connection; null: answers are not counted
    std::string m_serverId;
    Endpoint m_endpoint;
    TimePoint m_until; ///< time limit for the exchange
    std::unique_ptr<UpstreamConnection> m_connection;
    http::request<SharedBlockBody> m_message; ///< may still be read when the request has ended
    std::unique_ptr<MessageParser<false, ReceivedBody>> m_parser;
    asio::steady_timer m_sendEnded;
    ErrorCode m_sendError;
    bool m_sendDone = false;
    bool m_reusesConnection = false; ///< the connection has carried other requests
    bool m_sawOtherAnswer = false; ///< the connection delivered an answer to another request
    bool m_cancelled = false;
    bool m_gaveUp = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_UPSTREAM_EXCHANGE_HPP
