#include "snipevalve/entry/forwarder.hpp"

#include <charconv>

#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t BodyBufferBytes = 64 << 10;
constexpr Milliseconds ConnectTimeout(1000);
constexpr std::chrono::seconds IdempotentMaxIdle(10); ///< idle time up to which a connection is reused
constexpr std::chrono::seconds NonIdempotentMaxIdle(1); ///< shorter: these can't be retried after a loss

std::string remainingMs(TimePoint deadline)
{
    const auto remaining = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    return std::to_string(std::max<std::int64_t>(0, remaining.count()));
}

AttemptEnd classifyResponse(const ResponseParser &parser)
{
    const auto refused = parser.get()[headers::Refused];
    if (refused == "not-owner") {
        return AttemptEnd::NotOwner;
    }
    return refused == "not-run" ? AttemptEnd::Refused : AttemptEnd::Answered;
}

} // namespace

Forwarder::Forwarder(TrafficThreadState &threadState, CallerRequest &request, BodySource &bodySource,
                     MemoryHolder *holder)
    : m_threadState(threadState)
    , m_request(request)
    , m_bodySource(bodySource)
    , m_holder(holder)
{
}

/// Looks up the owner in the latest routing state, which may be newer than the one at the arrival of the request.
Destination Forwarder::findDestination() const
{
    Destination destination;
    const ServiceRouting *service = m_threadState.routing->service(m_request.route->service);
    if (service == nullptr) {
        return destination;
    }
    if (service->service.mode == ServiceMode::Pool) {
        destination.server = m_threadState.chooseServer(*service);
        return destination;
    }
    const KeyPlace place = placeOf(m_request.key, service->service.groups, service->service.slots);
    const auto &group = service->groups[place.group];
    if (!group || place.slot >= group->owners.size()) {
        return destination;
    }
    destination.group = group.get();
    destination.slot = place.slot;
    const ServerIndex owner = group->owners[place.slot];
    if (owner < group->servers.size()) {
        destination.server = group->servers[owner];
    }
    return destination;
}

Awaitable<Attempt> Forwarder::runAttempt(TimePoint until)
{
    // Keeps the routing state alive for the whole attempt, because the destination points into it.
    const std::shared_ptr<const RoutingState> routing = m_threadState.routing;
    Attempt attempt;
    attempt.destination = findDestination();
    if (!attempt.destination.server) {
        co_return attempt;
    }
    if (attempt.destination.group != nullptr) {
        attempt.destination.group->counter->increment(attempt.destination.slot);
    }
    UpstreamState &state = m_threadState.upstreamState(*attempt.destination.server);
    if (!co_await m_threadState.acquirePermit(state, until)) {
        attempt.end = AttemptEnd::QueueFull;
        co_return attempt;
    }
    const TimePoint permitAcquiredAt = Clock::now();
    co_await exchange(attempt, until);
    const TimePoint now = Clock::now();
    m_threadState.releasePermit(state, now - permitAcquiredAt);
    const bool isFailure = attempt.end == AttemptEnd::Lost || attempt.end == AttemptEnd::NotConnected;
    if (isFailure) {
        state.outlier.onFailure(now);
    } else {
        state.outlier.onSuccess();
        const auto load = attempt.parser->get()[headers::Load];
        std::from_chars(load.data(), load.data() + load.size(), state.reportedLoad);
        state.reportedAt = now;
    }
    // If the server refused the request before its body was sent, it may still expect the body on this connection.
    const bool isReusable = attempt.bodyComplete && (m_request.bodyComplete || attempt.bodySendStarted);
    if (attempt.connection && isReusable && attempt.parser->get().keep_alive() && !isFailure) {
        m_threadState.pool.putBack(attempt.destination.server->endpoint, std::move(attempt.connection), now);
    }
    attempt.destination.group = nullptr;
    co_return attempt;
}

Awaitable<void> Forwarder::exchange(Attempt &attempt, TimePoint until)
{
    const Endpoint &endpoint = attempt.destination.server->endpoint;
    const Duration maxIdle = m_request.idempotent ? Duration(IdempotentMaxIdle) : Duration(NonIdempotentMaxIdle);
    attempt.connection = m_threadState.pool.takeIdle(endpoint, maxIdle, Clock::now());
    if (!attempt.connection) {
        const auto remaining = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        attempt.connection = co_await m_threadState.pool.connect(endpoint, std::min(remaining, ConnectTimeout));
    }
    if (!attempt.connection) {
        attempt.end = AttemptEnd::NotConnected;
        co_return;
    }
    attempt.connection->stream.expires_at(until);
    ErrorCode error;
    attempt.end = AttemptEnd::Lost;
    bool expectsResponse = false;
    if (m_request.bodyComplete) {
        expectsResponse = co_await sendBuffered(attempt, error);
    } else {
        expectsResponse = co_await sendStreamed(attempt, error);
    }
    if (expectsResponse && !error) {
        co_await readResponse(attempt, error);
    }
    if (error) {
        attempt.end = AttemptEnd::Lost;
        attempt.connection.reset();
    }
}

template <typename Message>
void Forwarder::fillHeader(Message &message, const Destination &destination) const
{
    const auto &header = *m_request.header;
    message.method_string(header.method_string());
    message.target(header.target());
    message.version(11);
    for (const auto &field : header) {
        if (isForwardedHeader(field.name(), field.name_string())) {
            message.insert(field.name(), field.name_string(), field.value());
        }
    }
    message.set(headers::RequestId, m_request.id);
    message.set(headers::DeadlineMs, remainingMs(m_request.deadline));
    if (destination.group != nullptr) {
        message.set(headers::Group, destination.group->name);
        message.set(headers::Slot, std::to_string(destination.slot));
        message.set(headers::Token, toString(destination.group->version));
    }
}

Awaitable<bool> Forwarder::sendBuffered(Attempt &attempt, ErrorCode &error)
{
    http::request<http::string_body> message;
    fillHeader(message, attempt.destination);
    message.body() = m_request.body;
    if (!m_request.body.empty() || m_request.contentLength) {
        message.content_length(m_request.body.size());
    }
    co_await http::async_write(attempt.connection->stream, message, awaitInto(error));
    co_return true;
}

/// Sends the header, waits for 100 Continue, then streams the body. A server that refuses the request does so before
/// any of the body is consumed, so the request can still be retried.
Awaitable<bool> Forwarder::sendStreamed(Attempt &attempt, ErrorCode &error)
{
    UpstreamConnection &connection = *attempt.connection;
    http::request<http::buffer_body> message;
    fillHeader(message, attempt.destination);
    message.set(http::field::expect, "100-continue");
    if (m_request.contentLength) {
        message.content_length(*m_request.contentLength);
    } else {
        message.chunked(true);
    }
    message.body().data = nullptr;
    message.body().more = true;
    http::request_serializer<http::buffer_body> serializer(message);
    co_await http::async_write_header(connection.stream, serializer, awaitInto(error));
    if (error) {
        co_return false;
    }
    attempt.parser = std::make_unique<ResponseParser>();
    attempt.parser->body_limit(UINT64_MAX);
    co_await http::async_read_header(connection.stream, connection.buffer, *attempt.parser, awaitInto(error));
    if (error || attempt.parser->get().result() != http::status::continue_) {
        co_return true;
    }
    attempt.parser.reset();
    attempt.bodySendStarted = true;
    UpstreamState &server = m_threadState.upstreamState(*attempt.destination.server);
    if (m_holder != nullptr) {
        server.uploads.insert(m_holder);
    }
    co_await sendParts(attempt, message, serializer, error);
    server.uploads.erase(m_holder);
    co_return true;
}

Awaitable<void> Forwarder::sendParts(Attempt &attempt, http::request<http::buffer_body> &message,
                                     http::request_serializer<http::buffer_body> &serializer, ErrorCode &error)
{
    UpstreamConnection &connection = *attempt.connection;
    std::string part = m_request.body;
    if (part.empty() && !co_await m_bodySource.next(part)) {
        error = http::error::partial_message;
    }
    while (!error) {
        message.body().data = part.data();
        message.body().size = part.size();
        message.body().more = !part.empty();
        co_await http::async_write(connection.stream, serializer, awaitInto(error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (part.empty()) {
            break;
        }
        if (!co_await m_bodySource.next(part)) {
            error = http::error::partial_message;
        }
    }
}

Awaitable<void> Forwarder::readResponse(Attempt &attempt, ErrorCode &error)
{
    UpstreamConnection &connection = *attempt.connection;
    if (!attempt.parser) {
        attempt.parser = std::make_unique<ResponseParser>();
        attempt.parser->body_limit(UINT64_MAX);
        attempt.parser->skip(m_request.header->method() == http::verb::head);
        co_await http::async_read_header(connection.stream, connection.buffer, *attempt.parser, awaitInto(error));
        if (error) {
            co_return;
        }
    }
    if (!isValidStatus(attempt.parser->get().result_int())) {
        error = http::error::bad_status;
        co_return;
    }
    if (attempt.parser->need_eof() && !attempt.parser->is_done()) {
        // A body delimited by the end of the connection can't be told from a truncated one.
        error = http::error::partial_message;
        co_return;
    }
    std::string part;
    while (!attempt.parser->is_done() && attempt.body.size() < m_threadState.settings.entryReplayBytes) {
        if (!co_await readBodyPart(attempt, part, m_request.deadline)) {
            error = http::error::partial_message;
            co_return;
        }
        attempt.body += part;
    }
    attempt.bodyComplete = attempt.parser->is_done();
    attempt.end = classifyResponse(*attempt.parser);
}

Awaitable<bool> Forwarder::readBodyPart(Attempt &attempt, std::string &part, TimePoint until)
{
    UpstreamConnection &connection = *attempt.connection;
    connection.stream.expires_at(until);
    part.resize(
        std::min<std::uint64_t>(BodyBufferBytes, attempt.parser->content_length_remaining().value_or(BodyBufferBytes)));
    const std::size_t capacity = part.size();
    auto &body = attempt.parser->get().body();
    body.data = part.data();
    body.size = part.size();
    ErrorCode error;
    co_await http::async_read_some(connection.stream, connection.buffer, *attempt.parser, awaitInto(error));
    if (error == http::error::need_buffer) {
        error = {};
    }
    part.resize(capacity - body.size);
    co_return !error;
}

} // namespace snipevalve
