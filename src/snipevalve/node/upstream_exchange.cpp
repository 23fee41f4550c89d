#include "snipevalve/node/upstream_exchange.hpp"

#include <algorithm>

#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

namespace {

/// A server in the region answers a connection within some ms; a silent one is given up after this.
constexpr Milliseconds ConnectTimeout(300);
/// An idle connection that answered this long ago may still serve idempotent requests. Servers close theirs after 10 s.
constexpr Milliseconds IdempotentReuse(9'000);
/// And others, which can't be sent again when the server has just closed the connection.
constexpr Milliseconds NonIdempotentReuse(2'500);
/// A longer answer is not passed on. The users' answers have some ten KB.
constexpr std::uint64_t LongestAnswer = 16 << 20;
constexpr std::uint32_t LongestAnswerHead = 32 << 10;

std::string remainingMs(TimePoint until)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    return std::to_string(std::max<std::int64_t>(1, remaining.count()));
}

} // namespace

UpstreamExchange::UpstreamExchange(asio::any_io_executor executor, UpstreamPool &pool, const HeaderNames &names,
                                   const GatewayRequest &request)
    : m_executor(executor)
    , m_pool(pool)
    , m_names(names)
    , m_request(request)
    , m_sendEnded(std::move(executor))
{
}

Awaitable<ExchangeResult> UpstreamExchange::run(UpstreamServer server, TimePoint until)
{
    ExchangeResult result;
    const TimePoint startedAt = Clock::now();
    co_await connect(server.endpoint, until, result);
    if (m_cancelled || !m_connection) {
        result.end = m_cancelled ? WorkEnd::Abandoned : WorkEnd::Unreachable;
        result.took = Clock::now() - startedAt;
        co_return result;
    }
    m_message.base() = m_request.header;
    for (auto field = m_message.begin(); field != m_message.end();) {
        field = isHopByHop(field->name()) ? m_message.erase(field) : std::next(field);
    }
    m_message.version(11);
    m_message.keep_alive(true);
    m_message.set(m_names.deadline, remainingMs(m_request.finalBy));
    m_message.set(m_names.expectedServer, server.id);
    m_message.body() = m_request.body;
    if (!m_request.body.empty() || m_request.header.method() != http::verb::get) {
        m_message.content_length(m_request.body.size());
    }
    m_connection->stream.expires_at(until);
    m_sendEnded.expires_at(TimePoint::max());
    asio::co_spawn(m_executor, send(), asio::detached);
    const ErrorCode error = co_await receive(result);
    judge(error, result);
    if (!m_sendDone) {
        // The server answered before it had read the whole body; it would take a next request for the rest of it.
        m_connection->stream.close();
        co_await waitForSend();
    } else if (result.end == WorkEnd::Done || result.end == WorkEnd::Refused) {
        recycle(server.endpoint);
    }
    result.took = Clock::now() - startedAt;
    co_return result;
}

void UpstreamExchange::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        m_connection->stream.close();
    }
}

void UpstreamExchange::giveUp()
{
    m_gaveUp = true;
    if (m_connection) {
        m_connection->stream.close();
    }
}

Awaitable<void> UpstreamExchange::connect(const Endpoint &endpoint, TimePoint until, ExchangeResult &result)
{
    const Milliseconds provenWithin = m_request.isIdempotent() ? IdempotentReuse : NonIdempotentReuse;
    m_connection = m_pool.takeIdle(endpoint, provenWithin, Clock::now());
    result.reusedConnection = m_connection != nullptr;
    if (!m_connection) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        m_connection = co_await m_pool.connect(endpoint, std::clamp(remaining, Milliseconds(1), ConnectTimeout));
        result.detail = m_connection ? "" : "no connection";
    }
}

Awaitable<void> UpstreamExchange::send()
{
    // The object outlives this: run() waits for the end of the send.
    co_await http::async_write(m_connection->stream, m_message, awaitInto(m_sendError));
    m_sendDone = true;
    m_sendEnded.cancel();
}

Awaitable<void> UpstreamExchange::waitForSend()
{
    ErrorCode ignored;
    while (!m_sendDone) {
        co_await m_sendEnded.async_wait(awaitInto(ignored));
    }
}

Awaitable<ErrorCode> UpstreamExchange::receive(ExchangeResult &result)
{
    ErrorCode error;
    UpstreamConnection &connection = *m_connection;
    bool isOurs = false;
    while (!error && !isOurs) {
        m_parser = std::make_unique<http::response_parser<http::string_body>>();
        m_parser->body_limit(LongestAnswer);
        m_parser->header_limit(LongestAnswerHead);
        m_parser->skip(m_request.header.method() == http::verb::head);
        co_await http::async_read(connection.stream, connection.buffer, *m_parser, awaitInto(error));
        const bool isInterim = http::to_status_class(m_parser->get().result()) == http::status_class::informational;
        // A late second answer to an earlier request may stand before ours.
        m_sawForeign = m_sawForeign || (!error && isForeign());
        isOurs = !error && !isInterim && !isForeign();
    }
    if (error) {
        result.detail = error.message();
    }
    co_return error;
}

bool UpstreamExchange::isForeign() const
{
    const auto id = m_parser->get()[m_names.requestId];
    return !id.empty() && id != m_request.id;
}

/// @return why the answer can't be taken as the server's answer to this request; empty when it can
std::string UpstreamExchange::checkAnswer(const http::response_header<> &header) const
{
    if (header[m_names.requestId].empty()) {
        return "the answer names no request";
    }
    if (header.find(http::field::content_encoding) != header.end()) {
        return "the body is encoded";
    }
    const bool isSuccess = http::to_status_class(header.result()) == http::status_class::successful;
    if (isSuccess && header.find(m_names.stamp) == header.end()) {
        return "a success without the server's stamp";
    }
    return {};
}

void UpstreamExchange::judge(const ErrorCode &error, ExchangeResult &result)
{
    if (m_cancelled) {
        result.end = WorkEnd::Abandoned;
        result.detail = "cancelled";
        return;
    }
    if (m_gaveUp) {
        result.end = WorkEnd::Lost;
        result.detail = "the server took too long";
        return;
    }
    const bool isComplete = !error && m_parser->is_done();
    if (!isComplete) {
        result.end = WorkEnd::Lost;
        return;
    }
    auto &message = m_parser->get();
    const bool isRefusal =
        message.find(m_names.notExecuted) != message.end() || message.result() == http::status::misdirected_request;
    if (isRefusal) {
        result.end = WorkEnd::Refused;
        result.detail = "refused with " + std::to_string(message.result_int());
        return;
    }
    result.detail = checkAnswer(message);
    if (!result.detail.empty()) {
        result.end = WorkEnd::Lost;
        return;
    }
    result.end = WorkEnd::Done;
    result.answer = UpstreamAnswer{message.base(), std::move(message.body())};
}

void UpstreamExchange::recycle(const Endpoint &endpoint)
{
    const bool isReusable = !m_sendError && !m_sawForeign && m_parser->keep_alive() && !m_parser->need_eof()
        && m_connection->buffer.size() == 0;
    if (isReusable) {
        m_pool.putBack(endpoint, std::move(m_connection), Clock::now());
    }
}

} // namespace snipevalve
