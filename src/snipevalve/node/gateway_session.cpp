#include "snipevalve/node/gateway_session.hpp"

#include <algorithm>
#include <array>

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/net/lingering_close.hpp"
#include "snipevalve/net/message_head.hpp"
#include "snipevalve/net/spawn.hpp"
#include "snipevalve/net/tcp_options.hpp"

namespace snipevalve {

namespace {

/// How long writing an answer, or one part of it, may take.
constexpr Milliseconds WriteTimeout(10'000);
/// How long reading a request body may take. The caller's deadline is no bound here, as it may be longer.
constexpr Milliseconds BodyTimeout(30'000);

const CallerLimits DefaultLimits;

} // namespace

GatewaySession::GatewaySession(GatewayTraffic &traffic, Tcp::socket socket)
    : m_traffic(traffic)
    , m_stream(std::move(socket))
    , m_holder(traffic.memory, Clock::now(), [this]() {
        return turnAway();
    })
{
    m_traffic.sessions.insert(this);
    m_traffic.sessionCount = m_traffic.sessions.size();
}

GatewaySession::~GatewaySession()
{
    m_traffic.sessions.erase(this);
    m_traffic.sessionCount = m_traffic.sessions.size();
}

Awaitable<void> GatewaySession::run()
{
    ErrorCode error;
    m_stream.socket().set_option(Tcp::no_delay(true), error);
    while (co_await serveOne()) {
    }
    if (m_hasAnswered) {
        co_await closeLingering(m_stream);
    }
}

void GatewaySession::endRequest()
{
    if (const auto runner = m_runner.lock()) {
        runner->onShutdown();
    }
    m_isEnding = true;
    ErrorCode error;
    const bool hasArrived = m_stream.socket().available(error) > 0; // to be read, and answered, as usual
    if (m_isReading || (m_isIdle && !hasArrived)) {
        m_stream.cancel();
    }
}

void GatewaySession::setPhase(HolderPhase phase)
{
    m_phase = phase;
    m_holder.setPhase(phase, Clock::now());
}

/// Ends the read or write that the session waits for, to give back its memory. A request that is being read is refused
/// then, and an answer that is being written is cut.
bool GatewaySession::turnAway()
{
    ErrorCode error;
    const bool hasArrived = m_stream.socket().available(error) > 0;
    if (m_phase == HolderPhase::Running || (m_phase == HolderPhase::Idle && hasArrived)) {
        return false;
    }
    constexpr std::array<std::string_view, 4> PhaseNames{"idle", "receiving", "running", "sending"};
    const std::string_view phase = PhaseNames[static_cast<std::size_t>(m_phase)];
    spdlog::warn("session: event=turned_away phase={} held_bytes={} all_held_bytes={} connections={}", phase,
                 m_holder.total(), m_traffic.memory.totalHeld(), m_traffic.sessions.size());
    m_traffic.metrics.count("turned_away_" + std::string(phase));
    if (m_phase == HolderPhase::Receiving) {
        m_stream.cancel();
    } else {
        if (m_phase == HolderPhase::Sending && !m_hasAnswered) {
            resetOnClose(m_stream.socket()); // what has been written of an answer must not look complete
        }
        m_stream.close();
    }
    return true;
}

bool GatewaySession::mayKeepConnection() const
{
    return !m_traffic.stopping && m_parser && m_parser->is_done() && m_parser->get().keep_alive();
}

const CallerLimits &GatewaySession::limits() const
{
    return m_config ? m_config->limits : DefaultLimits;
}

Awaitable<bool> GatewaySession::readHead(ErrorCode &error)
{
    m_config = m_traffic.config;
    m_parser.reset();
    m_hasAnswered = false;
    m_holder.set(HeldBytes::Body, 0);
    m_holder.set(HeldBytes::Answer, 0);
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    m_holder.set(HeldBytes::Head, m_buffer.capacity());
    setPhase(HolderPhase::Idle);
    if (m_buffer.size() == 0) {
        constexpr std::size_t InitialReadBytes = 4 << 10;
        m_isIdle = true;
        m_stream.expires_after(limits().idleTimeout);
        const std::size_t count =
            co_await m_stream.async_read_some(m_buffer.prepare(InitialReadBytes), awaitInto(error));
        m_isIdle = false;
        if (error) {
            co_return false;
        }
        m_buffer.commit(count);
    }
    m_config = m_traffic.config;
    setPhase(HolderPhase::Receiving);
    m_buffer.max_size(m_buffer.size() + limits().maxHeaderBytes + MaxUnparsedBytes);
    const auto data = m_buffer.cdata();
    const bool isHeadWhole = findHeadEnd({static_cast<const char *>(data.data()), data.size()}).has_value();
    if (!isHeadWhole
        && !m_holder.ask(HeldBytes::Head, m_buffer.capacity() + 2 * limits().maxHeaderBytes, Clock::now())) {
        error = make_error_code(boost::system::errc::no_buffer_space);
        co_return false;
    }
    m_stream.expires_after(limits().headerTimeout);
    m_isReading = true;
    co_await readUntilHeadEnd(m_stream, m_buffer, limits().maxHeaderBytes, error);
    m_isReading = false;
    if (m_holder.isTurnedAway()) {
        error = make_error_code(boost::system::errc::no_buffer_space);
    }
    co_return !error;
}

/// Whether there is memory for what the next read can bring.
bool GatewaySession::mayReadBody()
{
    const TimePoint now = Clock::now();
    const std::size_t readBytes = m_buffer.max_size();
    const bool mayHoldBody = m_holder.ask(HeldBytes::Body, m_parser->get().body().capacityWith(readBytes), now);
    return mayHoldBody
        && m_holder.ask(HeldBytes::Head, std::max(m_buffer.capacity(), m_buffer.max_size()) + m_headBytes, now);
}

/// @param error no_buffer_space if there is no memory for the rest
Awaitable<bool> GatewaySession::readBody(ErrorCode &error)
{
    if (m_parser->is_done()) {
        co_return true;
    }
    if (!mayReadBody()) {
        error = make_error_code(boost::system::errc::no_buffer_space);
        co_return false;
    }
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(interim), awaitInto(error));
    }
    m_stream.expires_after(BodyTimeout);
    m_isReading = true;
    while (!error && !m_parser->is_done()) {
        const std::size_t before = m_parser->get().body().size();
        co_await http::async_read_some(m_stream, m_buffer, *m_parser, awaitInto(error));
        m_holder.onProgress(m_parser->get().body().size() - before, Clock::now());
        const bool isRefused = m_holder.isTurnedAway() || (!error && !m_parser->is_done() && !mayReadBody());
        if (isRefused) {
            error = make_error_code(boost::system::errc::no_buffer_space);
        }
    }
    m_isReading = false;
    m_holder.set(HeldBytes::Body, m_parser->get().body().capacity());
    co_return !error;
}

Awaitable<bool> GatewaySession::serveOne()
{
    ErrorCode error;
    if (!co_await readHead(error)) {
        if (error == http::error::header_limit) {
            co_return co_await refuse(http::status::request_header_fields_too_large, "the header is too long");
        }
        if (error == boost::system::errc::no_buffer_space) {
            co_return co_await refuse(http::status::service_unavailable, "too much is held for other callers");
        }
        if (m_isEnding && m_buffer.size() > 0) {
            co_return co_await refuse(http::status::service_unavailable, "the host is stopping");
        }
        co_return false;
    }
    const TimePoint arrivedAt = Clock::now();
    const auto data = m_buffer.cdata();
    const std::string_view text(static_cast<const char *>(data.data()), data.size());
    if (const auto fault = findHeadFault(text.substr(0, findHeadEnd(text).value_or(0)))) {
        co_return co_await refuse(http::status::bad_request, *fault);
    }
    const std::size_t headBytes = findHeadEnd(text).value_or(0);
    constexpr std::size_t CopiesOfHead = 3; // the parser's, the request's, and that for the server
    m_headBytes = headBytes * CopiesOfHead;
    m_holder.set(HeldBytes::Head, m_buffer.capacity() + m_headBytes);
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(limits().maxHeaderBytes);
    m_parser->body_limit(limits().maxBodyBytes);
    m_parser->eager(false);
    co_await http::async_read_header(m_stream, m_buffer, *m_parser, awaitInto(error));
    if (error) {
        const bool isTooLong = error == http::error::body_limit;
        const auto status = isTooLong ? http::status::payload_too_large : http::status::bad_request;
        co_return co_await refuse(status, "the request can't be read: " + error.message());
    }
    // A chunk's header and the trailers have to fit into what the head leaves of its limit.
    constexpr std::size_t MinUnparsedBytes = 4 << 10;
    m_buffer.max_size(std::max({m_buffer.size(), limits().maxHeaderBytes - headBytes, MinUnparsedBytes}));
    GatewayRequest request;
    request.header = m_parser->get().base();
    request.arrivedAt = arrivedAt;
    if (!m_config) {
        const auto id = request.header[m_traffic.names.requestId];
        co_return co_await refuse(http::status::service_unavailable, "no configuration is known yet", std::string(id));
    }
    request.config = m_config;
    const auto fault = resolveRequest(request, m_traffic.names, m_traffic.random());
    if (fault) {
        co_return co_await refuse(fault->status, fault->reason, request.id);
    }
    request.targetBy -= m_traffic.retryAges.observe(request.route->name, request.callerTimeout);
    if (!co_await readBody(error)) {
        if (error == boost::system::errc::no_buffer_space) {
            co_return co_await refuse(http::status::service_unavailable, "too much is held for other callers",
                                      request.id);
        }
        if (m_isEnding) {
            co_return co_await refuse(http::status::service_unavailable, "the host is stopping", request.id);
        }
        if (isParseError(error)) {
            const bool isTooLong = error == http::error::body_limit;
            const auto status = isTooLong ? http::status::payload_too_large : http::status::bad_request;
            co_return co_await refuse(status, "the body can't be read: " + error.message(), request.id);
        }
        co_return false;
    }
    request.body = std::make_shared<const ByteBlocks>(std::move(m_parser->get().body()));
    co_return co_await serve(std::move(request));
}

Awaitable<bool> GatewaySession::serve(GatewayRequest request)
{
    setPhase(HolderPhase::Running);
    const auto runner = std::make_shared<RequestRunner>(m_traffic, std::move(request), m_holder);
    m_runner = runner;
    m_stream.expires_never();
    spawnMember(m_traffic.executor, shared_from_this(), &GatewaySession::watchCaller, runner);
    UpstreamAnswer answer = co_await runner->run();
    ErrorCode ignored;
    if (!answer.isWhole && !runner->request().isCallerGone) {
        const bool isKept = co_await stream(*runner, std::move(answer));
        m_stream.socket().cancel(ignored); // ends watchCaller()
        co_return isKept;
    }
    m_stream.socket().cancel(ignored); // ends watchCaller()
    if (runner->request().isCallerGone) {
        co_return false;
    }
    http::response<http::string_body> response;
    response.base() = std::move(answer.header);
    response.body() = std::move(answer.body);
    const bool isHead = runner->request().header.method() == http::verb::head;
    if (isHead) {
        response.body().clear();
    }
    co_return co_await send(std::move(response));
}

/// Streams a long answer; each part is read from the server only after the caller has taken the previous one. Until the
/// last one is written, any end of the connection resets it, so that the caller can't take a truncated answer, even one
/// without a length, for a whole one.
Awaitable<bool> GatewaySession::stream(RequestRunner &runner, UpstreamAnswer answer)
{
    http::response<http::buffer_body> response;
    response.base() = std::move(answer.header);
    const bool supportsChunked = runner.request().header.version() >= 11;
    if (answer.length) {
        response.content_length(*answer.length);
    } else if (supportsChunked) {
        response.chunked(true);
    }
    response.keep_alive(mayKeepConnection() && (answer.length || supportsChunked));
    http::response_serializer<http::buffer_body> serializer(response);
    std::string part = std::move(answer.body);
    ErrorCode error;
    bool isLast = false;
    resetOnClose(m_stream.socket());
    while (!error && !serializer.is_done()) {
        response.body().data = part.empty() ? nullptr : part.data();
        response.body().size = part.size();
        response.body().more = !isLast;
        const TimePoint longestWrite = Clock::now() + WriteTimeout;
        m_stream.expires_at(runner.hasMore() ? std::min(longestWrite, runner.request().deadline) : longestWrite);
        setPhase(HolderPhase::Sending);
        co_await http::async_write(m_stream, serializer, awaitInto(error));
        setPhase(HolderPhase::Running); // waits for the server, not for the caller
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (!error && !isLast) {
            part = co_await runner.readMore(error);
            isLast = part.empty();
            m_holder.set(HeldBytes::Answer, part.capacity() + MaxUnparsedBytes);
        }
    }
    if (error) {
        runner.abandonAnswer();
        m_stream.close();
        co_return false;
    }
    sendRestOnClose(m_stream.socket());
    m_hasAnswered = true;
    co_return response.keep_alive();
}

/// Waits until the connection becomes readable, and tells the runner if the caller has closed it. Data that arrives
/// instead belongs to the next request and stays in the socket.
Awaitable<void> GatewaySession::watchCaller(std::shared_ptr<RequestRunner> runner)
{
    ErrorCode error;
    co_await m_stream.socket().async_wait(Tcp::socket::wait_read, awaitInto(error));
    if (error) {
        co_return;
    }
    char byte = 0;
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    const bool isClosed = error && error != asio::error::would_block;
    if (isClosed) {
        runner->onCallerGone();
    }
}

Awaitable<bool> GatewaySession::refuse(http::status status, const std::string &reason, const std::string &id)
{
    spdlog::warn("request: event=refuse id={} status={} config={} reason=\"{}\"", escapeLogValue(id),
                 static_cast<unsigned>(status), m_config ? m_config->version : 0, escapeQuotedText(reason));
    if (m_parser) {
        m_parser->get().body().clear();
        m_holder.set(HeldBytes::Body, 0);
    }
    if (!mayKeepConnection()) { // nothing more is read, but the connection may stay for WriteTimeout
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_holder.set(HeldBytes::Head, m_parser ? m_headBytes : 0);
    }
    m_traffic.metrics.count("refused_" + std::to_string(static_cast<unsigned>(status)));
    http::response<http::string_body> response(status, 11);
    if (!id.empty()) {
        response.set(m_traffic.names.requestId, id);
    }
    if (status == http::status::service_unavailable) {
        response.set(http::field::retry_after, "0.3"); // seconds; a node receives its configuration within a few 100 ms
    }
    response.set(http::field::content_type, "text/plain");
    response.body() = reason + "\n";
    co_return co_await send(std::move(response));
}

Awaitable<bool> GatewaySession::send(http::response<http::string_body> response)
{
    setPhase(HolderPhase::Sending);
    m_holder.set(HeldBytes::Answer, response.body().capacity());
    response.prepare_payload();
    response.keep_alive(mayKeepConnection());
    m_stream.expires_after(WriteTimeout);
    ErrorCode error;
    http::response_serializer<http::string_body> serializer(response);
    while (!error && !serializer.is_done()) {
        const std::size_t count = co_await http::async_write_some(m_stream, serializer, awaitInto(error));
        m_holder.onProgress(count, Clock::now());
    }
    m_hasAnswered = !error;
    co_return !error && response.keep_alive();
}

} // namespace snipevalve
