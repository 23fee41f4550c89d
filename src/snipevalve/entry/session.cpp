#include "snipevalve/entry/session.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/net/lingering_close.hpp"
#include "snipevalve/net/message_head.hpp"
#include "snipevalve/net/tcp_options.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t BodyBufferBytes = 64 << 10;
constexpr Milliseconds MinAttemptTime(50);
constexpr int IdempotentAttempts = 3; ///< the time left of an idempotent request is split among these

std::string_view describe(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NoServer:
        return "no server holds the key or is fit";
    case AttemptEnd::QueueFull:
        return "the server's queue is too long for the deadline";
    case AttemptEnd::NotConnected:
        return "no connection to the server";
    case AttemptEnd::NotOwner:
        return "the server does not hold the key";
    case AttemptEnd::Refused:
        return "the server refused it as not run";
    case AttemptEnd::Lost:
        return "no whole answer came";
    }
    return "";
}

/// A request that can be retried after a loss reserves time for further attempts; any other spends all of its time on
/// one.
TimePoint attemptDeadline(const RequestLife &life)
{
    const TimePoint now = Clock::now();
    if (!life.traits().idempotent || !life.traits().replayable) {
        return life.traits().deadline;
    }
    const Duration share = std::max<Duration>((life.traits().deadline - now) / IdempotentAttempts, MinAttemptTime);
    return std::min(life.traits().deadline, now + share);
}

} // namespace

/// Reads the rest of the caller's body while it is forwarded to the server.
class Session::CallerBody : public BodySource
{
public:
    explicit CallerBody(Session &session)
        : m_session(session)
    {
    }

    Awaitable<bool> next(std::string &part) override
    {
        ErrorCode ignored;
        co_return co_await next(part, ignored);
    }

    Awaitable<bool> next(std::string &part, ErrorCode &error)
    {
        RequestParser &parser = *m_session.m_parser;
        part.clear();
        if (parser.is_done()) {
            co_return true;
        }
        m_session.setPhase(HolderPhase::Receiving);
        m_session.m_stream.expires_after(m_session.m_threadState.settings.entryIdleTimeout);
        part.resize(BodyBufferBytes);
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        while (!error && !parser.is_done() && parser.get().body().size > 0) {
            const std::size_t before = parser.get().body().size;
            co_await http::async_read_some(m_session.m_stream, m_session.m_buffer, parser, awaitInto(error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            m_session.m_holder.onProgress(before - parser.get().body().size, Clock::now());
        }
        part.resize(BodyBufferBytes - parser.get().body().size);
        if (m_session.m_holder.isTurnedAway()) {
            error = make_error_code(boost::system::errc::no_buffer_space);
        } else {
            m_session.setPhase(HolderPhase::Running);
        }
        co_return !error;
    }

private:
    Session &m_session;
};

Session::Session(TrafficThreadState &threadState, Tcp::socket socket)
    : m_threadState(threadState)
    , m_stream(std::move(socket))
    , m_holder(threadState.memory, Clock::now(), [this]() {
        return turnAway();
    })
{
    m_threadState.sessions.insert(this);
    ++m_threadState.sessionCount;
}

Session::~Session()
{
    m_threadState.sessions.erase(this);
    --m_threadState.sessionCount;
}

Awaitable<void> Session::run()
{
    ErrorCode error;
    m_stream.socket().set_option(Tcp::no_delay(true), error);
    while (co_await serveRequest()) {
    }
    if (m_hasAnswered) {
        co_await closeLingering(m_stream);
    }
}

void Session::closeIfIdle(TimePoint now, Duration idle)
{
    if (m_idleSince && now - *m_idleSince >= idle && m_buffer.size() == 0) {
        m_stream.close();
    }
}

void Session::setPhase(HolderPhase phase)
{
    m_phase = phase;
    m_holder.setPhase(phase, Clock::now());
}

/// Ends the read or write that the session waits for, to give back its memory. A request whose body is not passed on
/// yet is refused then, and an answer that is being written is cut.
bool Session::turnAway()
{
    ErrorCode error;
    const bool hasArrived = m_stream.socket().available(error) > 0;
    if (m_phase == HolderPhase::Running || (m_phase == HolderPhase::Idle && hasArrived)) {
        return false;
    }
    spdlog::warn("entry: a connection that holds {} of {} bytes is turned away", m_holder.total(),
                 m_threadState.memory.totalHeld());
    m_threadState.metrics.onTurnedAway();
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

Awaitable<bool> Session::refuseForMemory(const std::string &id)
{
    m_holder.set(HeldBytes::Body, 0);
    if (!m_parser->is_header_done() || !mayKeepConnection()) { // the rest of the request is not read
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_holder.set(HeldBytes::Head, 0);
    }
    m_threadState.metrics.onRefusedForMemory();
    spdlog::warn("entry: request {}: refused, too much is held for other callers", escapeLogValue(id));
    co_return co_await reject(http::status::service_unavailable, "too much is held for other callers");
}

bool Session::mayKeepConnection() const
{
    return !m_threadState.stopping && m_parser->get().keep_alive() && m_parser->is_done();
}

Awaitable<bool> Session::readHead(ErrorCode &error)
{
    m_hasAnswered = false;
    m_parser = std::make_unique<RequestParser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_threadState.settings.entryMaxHeaderBytes));
    m_parser->body_limit(UINT64_MAX);
    m_buffer.max_size(m_buffer.size() + m_threadState.settings.entryMaxHeaderBytes + MaxUnparsedBytes);
    m_holder.set(HeldBytes::Body, 0);
    m_holder.set(HeldBytes::Answer, 0);
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    m_holder.set(HeldBytes::Head, m_buffer.capacity());
    setPhase(HolderPhase::Idle);
    m_stream.expires_after(m_threadState.settings.entryIdleTimeout);
    m_idleSince = Clock::now();
    if (m_buffer.size() == 0) {
        constexpr std::size_t InitialReadBytes = 4 << 10;
        const std::size_t count =
            co_await m_stream.async_read_some(m_buffer.prepare(InitialReadBytes), awaitInto(error));
        m_buffer.commit(count);
        if (error) {
            m_idleSince.reset();
            co_return false;
        }
    }
    setPhase(HolderPhase::Receiving);
    const auto received = m_buffer.cdata();
    const bool isHeadWhole = findHeadEnd({static_cast<const char *>(received.data()), received.size()}).has_value();
    if (!isHeadWhole
        && !m_holder.ask(HeldBytes::Head, m_buffer.capacity() + 2 * m_threadState.settings.entryMaxHeaderBytes,
                         Clock::now())) {
        m_idleSince.reset();
        error = make_error_code(boost::system::errc::no_buffer_space);
        co_return false;
    }
    co_await readUntilHeadEnd(m_stream, m_buffer, m_threadState.settings.entryMaxHeaderBytes, error);
    m_idleSince.reset();
    if (m_holder.isTurnedAway()) {
        error = make_error_code(boost::system::errc::no_buffer_space);
    }
    if (error) {
        co_return false;
    }
    const auto data = m_buffer.cdata();
    const std::string_view text(static_cast<const char *>(data.data()), data.size());
    const std::size_t headBytes = findHeadEnd(text).value_or(0);
    m_headFault = findHeadFault(text.substr(0, headBytes));
    if (m_headFault) {
        error = http::error::bad_field;
        co_return false;
    }
    co_await http::async_read_header(m_stream, m_buffer, *m_parser, awaitInto(error));
    // A chunk's header and the trailers have to fit into what the head leaves of its limit.
    constexpr std::size_t MinUnparsedBytes = 4 << 10;
    constexpr std::size_t CopiesOfHead = 2; // the parser's, and that for the server
    m_buffer.max_size(std::max<std::size_t>(
        {m_buffer.size(), m_threadState.settings.entryMaxHeaderBytes - headBytes, MinUnparsedBytes}));
    m_holder.set(HeldBytes::Head, m_buffer.capacity() + CopiesOfHead * headBytes);
    co_return !error;
}

Awaitable<bool> Session::serveRequest()
{
    ErrorCode error;
    if (!co_await readHead(error)) {
        if (error == boost::system::errc::no_buffer_space) {
            co_return co_await refuseForMemory({});
        }
        const bool closeSilently = error == http::error::end_of_stream || error == beast::error::timeout
            || error.category() != http::make_error_code(http::error::bad_version).category();
        if (closeSilently) {
            co_return false;
        }
        m_threadState.metrics.onBadRequest();
        const bool isHeaderTooLong = error == http::error::header_limit || error == http::error::buffer_overflow;
        const auto status = isHeaderTooLong ? http::status::request_header_fields_too_large : http::status::bad_request;
        co_return co_await reject(status, "the request can't be read: " + m_headFault.value_or(error.message()));
    }
    CallerRequest request;
    request.header = &m_parser->get().base();
    request.arrivedAt = Clock::now();
    request.routing = m_threadState.routing;
    if (const auto length = m_parser->content_length()) {
        request.contentLength = *length;
    }
    const auto rejection = resolveRequest(request);
    if (rejection) {
        m_threadState.metrics.onBadRequest();
        co_return co_await reject(rejection->status, rejection->reason);
    }
    const auto id = m_parser->get()[headers::RequestId];
    request.id = id.empty() ? m_threadState.nextRequestId() : std::string(id);
    if (!co_await readBodyStart(request, error)) {
        if (error == boost::system::errc::no_buffer_space) {
            co_return co_await refuseForMemory(request.id);
        }
        if (isParseError(error)) {
            m_threadState.metrics.onBadRequest();
            co_return co_await reject(http::status::bad_request, "the body can't be read: " + error.message());
        }
        co_return false;
    }
    setPhase(HolderPhase::Running);
    RequestTraits traits;
    traits.idempotent = request.idempotent;
    traits.deadline = request.deadline;
    RequestLife life(traits);
    Outcome outcome = Outcome::NotRun;
    Attempt attempt = co_await runRequest(request, life, outcome);
    bool keep = false;
    if (outcome == Outcome::Answered) {
        keep = co_await sendResponse(request, attempt);
    } else {
        keep = co_await sendFailure(request, outcome, attempt.end);
    }
    logRequest(request, attempt, outcome, life);
    co_return keep;
}

Awaitable<bool> Session::readBodyStart(CallerRequest &request, ErrorCode &error)
{
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(m_stream, asio::buffer(interim), awaitInto(error));
    }
    const std::size_t replayBytes = m_threadState.settings.entryReplayBytes;
    if (!m_parser->is_done()) {
        // The body held for a replay, its copy that is sent, and the part that is being read; then trailers.
        const std::size_t bodyBytes = std::min<std::uint64_t>(request.contentLength.value_or(replayBytes), replayBytes);
        const std::size_t needed = 2 * bodyBytes + BodyBufferBytes;
        const std::size_t headBytes = m_holder.held(HeldBytes::Head) + m_buffer.max_size();
        const TimePoint now = Clock::now();
        if (!m_holder.ask(HeldBytes::Body, needed, now) || !m_holder.ask(HeldBytes::Head, headBytes, now)) {
            error = make_error_code(boost::system::errc::no_buffer_space);
            co_return false;
        }
    }
    CallerBody body(*this);
    std::string part;
    while (!error && !m_parser->is_done() && request.body.size() < m_threadState.settings.entryReplayBytes) {
        const std::uint64_t length = request.contentLength.value_or(UINT64_MAX);
        if (length > m_threadState.settings.entryReplayBytes && request.contentLength) {
            break;
        }
        if (!co_await body.next(part, error)) {
            co_return false;
        }
        request.body += part;
    }
    request.bodyComplete = m_parser->is_done();
    co_return !error;
}

Awaitable<Attempt> Session::runRequest(CallerRequest &request, RequestLife &life, Outcome &outcome)
{
    CallerBody body(*this);
    Forwarder forwarder(m_threadState, request, body, &m_holder);
    RetryBudget &budget = m_threadState.retryBudget(request.route->service);
    budget.earn();
    asio::steady_timer timer(m_threadState.executor);
    while (true) {
        Attempt attempt = co_await forwarder.runAttempt(attemptDeadline(life));
        if (attempt.bodySendStarted) {
            life.markBodyNotReplayable();
        }
        const NextStep step = life.onAttemptEnd(attempt.end, Clock::now(), budget);
        if (const auto *finish = std::get_if<Finish>(&step)) {
            outcome = finish->outcome;
            co_return attempt;
        }
        const Duration delay = std::get<RetryAfter>(step).delay;
        if (delay > Duration::zero()) {
            timer.expires_after(delay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

Awaitable<bool> Session::sendResponse(const CallerRequest &request, Attempt &attempt)
{
    m_holder.set(HeldBytes::Answer, attempt.body.capacity() + BodyBufferBytes + MaxUnparsedBytes);
    setPhase(HolderPhase::Sending);
    http::response<http::buffer_body> message;
    const auto &header = attempt.parser->get();
    message.result(header.result_int());
    message.version(11);
    for (const auto &field : header) {
        if (isForwardedHeader(field.name(), field.name_string())) {
            message.insert(field.name(), field.name_string(), field.value());
        }
    }
    message.set(headers::Outcome, "answered");
    message.set(headers::Server, attempt.destination.server->name);
    message.set(headers::RequestId, request.id);
    if (!attempt.bodyComplete) {
        co_return co_await streamResponse(request, attempt, message);
    }
    const bool isHead = request.header->method() == http::verb::head;
    message.keep_alive(mayKeepConnection());
    const auto length = header[http::field::content_length];
    if (isHead && !length.empty()) {
        message.set(http::field::content_length, length);
    } else {
        message.content_length(attempt.body.size());
    }
    message.body().data = attempt.body.data();
    message.body().size = attempt.body.size();
    message.body().more = false;
    m_stream.expires_after(m_threadState.settings.entryIdleTimeout);
    ErrorCode error;
    http::response_serializer<http::buffer_body> serializer(message);
    serializer.split(false);
    if (isHead) {
        co_await http::async_write_header(m_stream, serializer, awaitInto(error));
    } else {
        co_await http::async_write(m_stream, serializer, awaitInto(error));
    }
    m_hasAnswered = !error;
    co_return !error && message.keep_alive();
}

/// Streams a long response. Each part is read only after the previous one was written, so a slow caller slows down the
/// server instead of filling memory.
Awaitable<bool> Session::streamResponse(const CallerRequest &request, Attempt &attempt,
                                        http::response<http::buffer_body> &message)
{
    const auto length = attempt.parser->content_length();
    if (length) {
        message.content_length(*length);
    } else {
        message.chunked(true);
    }
    message.keep_alive(mayKeepConnection());
    http::response_serializer<http::buffer_body> serializer(message);
    std::string part = std::move(attempt.body);
    ErrorCode error;
    while (!error) {
        message.body().data = part.data();
        message.body().size = part.size();
        message.body().more = !part.empty();
        m_stream.expires_after(m_threadState.settings.entryIdleTimeout);
        setPhase(HolderPhase::Sending);
        co_await http::async_write(m_stream, serializer, awaitInto(error));
        setPhase(HolderPhase::Running); // waits for the server, not for the caller
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (part.empty()) {
            break;
        }
        const TimePoint until = std::max(request.deadline, Clock::now() + m_threadState.settings.entryIdleTimeout);
        const bool isDone = attempt.parser->is_done();
        part.clear();
        if (!isDone && !co_await Forwarder::readBodyPart(attempt, part, until)) {
            // Closing the connection shows the caller that the response is truncated.
            spdlog::warn("entry: request {}: the response of server {} was cut off", request.id,
                         attempt.destination.server->name);
            m_stream.close();
            co_return false;
        }
    }
    m_hasAnswered = !error;
    co_return !error && message.keep_alive();
}

Awaitable<bool> Session::sendFailure(const CallerRequest &request, Outcome outcome, AttemptEnd last)
{
    const bool isNotRun = outcome == Outcome::NotRun;
    const auto status = isNotRun ? http::status::service_unavailable : http::status::gateway_timeout;
    http::response<http::string_body> response(status, 11);
    response.set(headers::Outcome, std::string(toString(outcome)));
    response.set(headers::Reason, std::string(describe(last)));
    response.set(headers::RequestId, request.id);
    response.keep_alive(mayKeepConnection());
    co_return co_await send(std::move(response));
}

Awaitable<bool> Session::reject(http::status status, const std::string &reason)
{
    http::response<http::string_body> response(status, 11);
    response.set(headers::Outcome, std::string(toString(Outcome::NotRun)));
    response.set(http::field::content_type, "text/plain");
    response.body() = reason + "\n";
    response.keep_alive(m_parser->is_header_done() && mayKeepConnection());
    co_return co_await send(std::move(response));
}

Awaitable<bool> Session::send(http::response<http::string_body> response)
{
    setPhase(HolderPhase::Sending);
    response.prepare_payload();
    m_stream.expires_after(m_threadState.settings.entryIdleTimeout);
    ErrorCode error;
    co_await http::async_write(m_stream, response, awaitInto(error));
    m_hasAnswered = !error;
    co_return !error && response.keep_alive();
}

void Session::logRequest(const CallerRequest &request, const Attempt &attempt, Outcome outcome, const RequestLife &life)
{
    const Duration latency = Clock::now() - request.arrivedAt;
    m_threadState.metrics.onRequest(outcome, latency, life.attempts() > 1 ? life.attempts() - 1 : 0);
    const std::string_view server =
        attempt.destination.server ? std::string_view(attempt.destination.server->name) : std::string_view("no server");
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(latency).count();
    spdlog::info("entry: request {}: service {}, key '{}', slot {}, routed to {}, outcome {} after {} us", request.id,
                 request.route->service, request.key, attempt.destination.slot, server, toString(outcome), micros);
}

} // namespace snipevalve
