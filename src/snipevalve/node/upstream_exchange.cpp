#include "snipevalve/node/upstream_exchange.hpp"

#include <algorithm>
#include <limits>

#include "snipevalve/net/message_head.hpp"
#include "snipevalve/net/spawn.hpp"

namespace snipevalve {

namespace {

/// Servers of the region accept a connection within a few milliseconds.
constexpr Milliseconds ConnectTimeout(300);
/// Maximum time since the last answer on an idle connection that is reused for an idempotent request. Servers close
/// idle connections after 10 s.
constexpr Milliseconds IdempotentReuseAge(9'000);
/// The same for other requests, which can't be sent again if the server is just closing the connection.
constexpr Milliseconds NonIdempotentReuseAge(2'500);
constexpr std::uint32_t MaxAnswerHeaderBytes = 32 << 10;
/// Used instead of "no limit", which Beast of Boost 1.74 treats as a limit of zero.
constexpr std::uint64_t UnlimitedBodyBytes = std::numeric_limits<std::uint64_t>::max();
/// Number of interim answers and answers to other requests that may precede the answer. A server that sends more is
/// given up.
constexpr int MaxSkippedAnswers = 4;
/// Body limit of such an answer, of a refusal and of an answer that is not forwarded to the caller.
constexpr std::size_t MaxDiscardedBodyBytes = 64 << 10;
/// A load is ignored when the body takes longer than this to arrive: its age is counted from the end of the answer.
constexpr Milliseconds MaxLoadAge(100);

std::string remainingMs(TimePoint until)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
    return std::to_string(std::max<std::int64_t>(1, remaining.count()));
}

} // namespace

bool promisesNotExecuted(http::status status)
{
    return status == http::status::too_many_requests || status == http::status::service_unavailable
        || status == http::status::request_timeout;
}

UpstreamExchange::UpstreamExchange(asio::any_io_executor executor, UpstreamPool &pool, const HeaderNames &names,
                                   ServerNoticeParser parseServerNotice, const GatewayRequest &request,
                                   MemoryHolder *holder)
    : m_executor(executor)
    , m_pool(pool)
    , m_names(names)
    , m_parseServerNotice(parseServerNotice)
    , m_request(request)
    , m_holder(holder)
    , m_sendEnded(std::move(executor))
{
}

Awaitable<ExchangeResult> UpstreamExchange::run(UpstreamServer server, TimePoint until, std::size_t bufferLimit,
                                                std::vector<std::uint64_t> usedConnections)
{
    ExchangeResult result;
    const TimePoint startedAt = Clock::now();
    m_serverId = server.id;
    m_endpoint = server.endpoint;
    m_until = until;
    co_await connect(until, usedConnections, result);
    if (m_cancelled || m_gaveUp || !m_connection) { // nothing has been sent
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
    m_message.set(m_names.deadline, remainingMs(m_request.deadline));
    m_message.set(m_names.expectedServer, server.id);
    m_message.body() = m_request.body;
    if (m_request.body->size() > 0 || m_request.header.method() != http::verb::get) {
        m_message.content_length(m_request.body->size());
    }
    m_connection->stream.expires_at(until);
    m_sendEnded.expires_at(TimePoint::max());
    spawnMember(m_executor, shared_from_this(), &UpstreamExchange::send);
    co_await receive(result, bufferLimit);
    const bool isStreamed = result.answer && !result.answer->isWhole;
    if (isStreamed) {
        result.took = Clock::now() - startedAt;
        co_return result;
    }
    if (!m_sendDone) {
        // The server answered before it had read the whole body; it would take the next request for the rest of this
        // one.
        m_connection->stream.close();
        co_await waitForSend();
    } else if (result.end == WorkEnd::Done || result.end == WorkEnd::Refused) {
        returnConnection();
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

Awaitable<void> UpstreamExchange::connect(TimePoint until, const std::vector<std::uint64_t> &usedConnections,
                                          ExchangeResult &result)
{
    const Milliseconds maxIdleTime = m_request.isIdempotent() ? IdempotentReuseAge : NonIdempotentReuseAge;
    m_connection = m_pool.takeIdle(m_endpoint, maxIdleTime, Clock::now(), usedConnections);
    m_reusesConnection = m_connection != nullptr;
    result.reusedConnection = m_reusesConnection;
    if (!m_connection) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        m_connection = co_await m_pool.connect(m_endpoint, std::clamp(remaining, Milliseconds(1), ConnectTimeout));
        result.detail = m_connection && !m_gaveUp ? "" : "no connection";
    }
    result.connection = m_connection ? m_connection->number : 0;
}

Awaitable<void> UpstreamExchange::send()
{
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

/// Reads answer headers until the one that belongs to this request.
Awaitable<void> UpstreamExchange::receiveHead(ErrorCode &error)
{
    for (int skipped = 0; skipped <= MaxSkippedAnswers; ++skipped) {
        m_parser = std::make_unique<MessageParser<false, ReceivedBody>>();
        m_parser->body_limit(UnlimitedBodyBytes); // receive() and discardAnswer() limit what is read
        m_parser->header_limit(MaxAnswerHeaderBytes);
        m_parser->skip(m_request.header.method() == http::verb::head);
        co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, awaitInto(error));
        if (error) {
            co_return;
        }
        if (!isValidStatus(m_parser->get().result_int())) {
            error = http::error::bad_status;
            co_return;
        }
        const bool isInterim = http::to_status_class(m_parser->get().result()) == http::status_class::informational;
        if (!isInterim && !answersOtherRequest()) {
            co_return;
        }
        // A late duplicate answer to an earlier request may precede the one to this request.
        m_sawOtherAnswer = m_sawOtherAnswer || !isInterim;
        co_await discardAnswer(error);
        if (error) {
            co_return;
        }
    }
    error = http::error::unexpected_body;
}

Awaitable<void> UpstreamExchange::discardAnswer(ErrorCode &error)
{
    std::size_t discarded = 0;
    while (!m_parser->is_done() && !error) {
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, awaitInto(error));
        discarded += m_parser->get().body().size();
        m_parser->get().body().clear();
        if (discarded > MaxDiscardedBodyBytes) {
            error = http::error::body_limit;
        }
    }
}

/// Asks to hold the next bytes of the answer. Without room for them, the answer is buffered up to a small size only,
/// and passed on in parts if it is longer.
bool UpstreamExchange::mayBufferMore(std::size_t limit) const
{
    constexpr std::size_t AlwaysBuffered = 16 << 10;
    constexpr std::size_t ReadBytes = 16 << 10;
    const std::string &body = m_parser->get().body();
    const std::size_t needed = 2 * std::min(body.size() + ReadBytes, limit); // a string grows by doubling
    const bool mayHold = m_holder == nullptr || m_holder->ask(HeldBytes::Answer, needed, Clock::now());
    return mayHold || body.size() <= AlwaysBuffered;
}

Awaitable<void> UpstreamExchange::receive(ExchangeResult &result, std::size_t bufferLimit)
{
    ErrorCode error;
    co_await receiveHead(error);
    if (error) {
        setOutcome(error, result);
        co_return;
    }
    const http::response_header<> &header = m_parser->get();
    const TimePoint headAt = Clock::now();
    if (!isFromOtherServer(header)) {
        result.notice = m_parseServerNotice(header);
        if (!belongsToRequest(header)) {
            // The pause may have begun earlier, and the load may be an earlier one. A departure that was told earlier
            // still holds.
            result.notice.notice.pause = Milliseconds(0);
            result.notice.notice.load.reset();
        }
    }
    const std::string fault = checkAnswer(header);
    const bool isForwardable = !isRefusal(header) && fault.empty() && !promisesNotExecuted(header.result());
    const std::size_t limit = isForwardable ? bufferLimit : MaxDiscardedBodyBytes;
    const std::string &body = m_parser->get().body();
    while (!m_parser->is_done() && !error && body.size() <= limit && mayBufferMore(limit)) {
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, awaitInto(error));
    }
    const bool hasMore = !error && !m_parser->is_done();
    if (hasMore && isForwardable && !m_cancelled && !m_gaveUp) {
        result.end = WorkEnd::Done;
        const auto length = m_parser->content_length();
        result.answer = UpstreamAnswer{header, std::move(m_parser->get().body()), false,
                                       length ? std::optional<std::uint64_t>(*length) : std::nullopt};
        m_parser->get().body().clear();
        co_return;
    }
    if (hasMore) {
        error = http::error::body_limit;
    }
    if (Clock::now() - headAt > MaxLoadAge) {
        result.notice.notice.load.reset();
    }
    setOutcome(error, result);
}

bool UpstreamExchange::hasMore() const
{
    return !m_parser->is_done();
}

Awaitable<std::string> UpstreamExchange::readMore(ErrorCode &error)
{
    std::string part;
    while (part.empty() && !m_parser->is_done()) {
        if (Clock::now() >= m_until) {
            error = beast::error::timeout; // the stream's own limit only ends reads that wait for bytes
        } else {
            co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, awaitInto(error));
        }
        if (m_cancelled) {
            error = asio::error::operation_aborted;
        }
        if (error) {
            m_connection->stream.close();
            break;
        }
        part = std::move(m_parser->get().body());
        m_parser->get().body().clear();
    }
    if (!error && part.empty() && mayBePartial()) {
        error = http::error::partial_message;
        m_connection->stream.close();
    }
    const bool isOver = error || part.empty();
    if (isOver) {
        if (!m_sendDone) {
            m_connection->stream.close();
            co_await waitForSend();
        } else if (!error) {
            returnConnection();
        }
    }
    co_return part;
}

bool UpstreamExchange::answersOtherRequest() const
{
    const auto id = m_parser->get()[m_names.requestId];
    return !id.empty() && id != m_request.id;
}

/// Whether the answer may come from another server, which has taken over the address.
bool UpstreamExchange::isFromOtherServer(const http::response_header<> &header) const
{
    return header.result() == http::status::misdirected_request && header[m_names.serverId] != m_serverId;
}

/// Whether the answer names a request. One that receiveHead() returns then names this request.
bool UpstreamExchange::namesRequest(const http::response_header<> &header) const
{
    return !header[m_names.requestId].empty();
}

/// Whether the answer can only be one to this request. One that names no request may be a late one to an earlier
/// request, unless the connection has carried none.
bool UpstreamExchange::belongsToRequest(const http::response_header<> &header) const
{
    return namesRequest(header) || (!m_reusesConnection && !m_sawOtherAnswer);
}

/// Whether the server says that it did not run this request.
bool UpstreamExchange::isRefusal(const http::response_header<> &header) const
{
    const bool saysNotExecuted =
        header.find(m_names.notExecuted) != header.end() || header.result() == http::status::misdirected_request;
    return saysNotExecuted && belongsToRequest(header);
}

/// @return why the answer is not a valid answer of the server to this request; empty when it is
std::string UpstreamExchange::checkAnswer(const http::response_header<> &header) const
{
    if (!namesRequest(header)) {
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

/// Whether an answer that ended with its connection may lack its end: the connection may have failed. The kernel
/// reports a reset only once, to the write of the request if there is one; the read then ends as if the server had
/// closed.
bool UpstreamExchange::mayBePartial() const
{
    return m_parser->need_eof() && (!m_sendDone || m_sendError);
}

void UpstreamExchange::setOutcome(const ErrorCode &error, ExchangeResult &result)
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
        result.detail = error.message();
        return;
    }
    if (mayBePartial()) {
        result.end = WorkEnd::Lost;
        result.detail = "the connection ended before the request was sent whole";
        return;
    }
    auto &message = m_parser->get();
    if (isRefusal(message)) {
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
    result.answer = UpstreamAnswer{message.base(), std::move(message.body()), true, std::nullopt};
}

void UpstreamExchange::returnConnection()
{
    const bool isReusable = !m_sendError && !m_sawOtherAnswer && namesRequest(m_parser->get()) && m_parser->keep_alive()
        && !m_parser->need_eof() && m_connection->buffer.size() == 0;
    if (isReusable) {
        m_pool.putBack(m_endpoint, std::move(m_connection), Clock::now());
    }
}

} // namespace snipevalve
