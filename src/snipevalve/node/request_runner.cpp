#include "snipevalve/node/request_runner.hpp"

#include <algorithm>
#include <cstdio>

#include <spdlog/spdlog.h>

#include "snipevalve/core/hash.hpp"
#include "snipevalve/core/log_text.hpp"
#include "snipevalve/gateway/server_notice_log.hpp"
#include "snipevalve/net/message_head.hpp"
#include "snipevalve/net/spawn.hpp"
#include "snipevalve/node/attempt_timeout.hpp"

namespace snipevalve {

namespace {

/// Reserved for the transfer of the final answer: a caller is up to 8 ms away, and timers fire slightly late.
constexpr Milliseconds AnswerMargin(20);
/// Answers up to this size are buffered whole, so that the request can be retried if the server breaks off.
constexpr std::size_t MaxBufferedAnswerBytes = 256 << 10;
/// The same while the memory for buffered answers is nearly used up.
constexpr std::size_t ReducedBufferedAnswerBytes = 16 << 10;
/// Buffered answers may take the process's memory limit divided by this.
constexpr std::size_t AnswerMemoryDivisor = 8;
/// Nearly all requests take less than the expected time multiplied by this; one in a hundred takes as long.
constexpr int LongWorkFactor = 3;
/// Retry-After of a request that is refused because the node stops: another host can take it at once.
constexpr Milliseconds StoppingRetryAfter(100);
/// Minimum Retry-After for rejected callers; a caller that returned sooner would meet the same queue.
constexpr Milliseconds MinRetryAfter(50);

RequestTraits traitsOf(const GatewayRequest &request)
{
    RequestTraits traits;
    traits.idempotent = request.isIdempotent();
    traits.deadline = request.deadline;
    return traits;
}

RetryBudgetOptions attemptBudgetOf(const GatewayRequest &request)
{
    RetryBudgetOptions options;
    options.retriesPerRequest = 0;
    options.reserve = request.route->maxAttempts - 1;
    return options;
}

std::string toSecondsText(Duration duration)
{
    constexpr std::size_t Length = 32;
    char text[Length];
    std::snprintf(text, Length, "%.3f", std::chrono::duration<double>(duration).count());
    return text;
}

/// The load in the order of the header, e.g. `3,0,4,300`; `-` when the server has told none.
std::string toText(const std::optional<ServerLoad> &load)
{
    if (!load) {
        return "-";
    }
    constexpr double PercentOfUsual = 100.0;
    constexpr std::size_t Length = 64;
    char text[Length];
    std::snprintf(text, Length, "%u,%u,%u,%.0f", load->running, load->waiting, load->slots,
                  load->slowdown * PercentOfUsual);
    return text;
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace

RequestRunner::RequestRunner(GatewayTraffic &traffic, GatewayRequest request, MemoryHolder &holder)
    : m_traffic(traffic)
    , m_request(std::move(request))
    , m_holder(holder)
    , m_life(traitsOf(m_request))
    , m_attemptBudget(attemptBudgetOf(m_request))
{
}

const GatewayRequest &RequestRunner::request() const
{
    return m_request;
}

WorkItem RequestRunner::toWorkItem() const
{
    WorkItem item;
    item.workClass = hashOf(m_request.route->name);
    item.priority = m_request.route->priority;
    item.repeat = m_sendCount > 0;
    item.key = m_request.key;
    item.bodyBytes = static_cast<std::uint32_t>(m_request.body->size());
    item.zone = m_traffic.settings.zone;
    item.deadline = std::min(m_request.deadline, m_traffic.stopTimes.lastAnswerAt) - AnswerMargin;
    item.targetBy = std::min(m_request.targetBy - AnswerMargin, item.deadline);
    item.avoid = m_failedServers;
    return item;
}

std::size_t RequestRunner::bufferLimit() const
{
    const std::size_t limit = m_traffic.settings.memoryBytes / AnswerMemoryDivisor;
    return (m_traffic.bufferedAnswers + 1) * MaxBufferedAnswerBytes <= limit ? MaxBufferedAnswerBytes
                                                                             : ReducedBufferedAnswerBytes;
}

Awaitable<UpstreamAnswer> RequestRunner::run()
{
    while (true) {
        DispatchDecision decision;
        if (m_repeat) {
            decision = *std::exchange(m_repeat, std::nullopt);
        } else {
            decision = co_await m_traffic.placements.acquire(m_request.service, toWorkItem(), m_waitingTicket);
            m_waitingTicket = 0;
        }
        if (const auto *rejection = std::get_if<Rejection>(&decision)) {
            const std::string reason(describe(rejection->reason));
            auto response = failure(rejection->retryAfter, reason);
            logRejection(*rejection);
            logEnd(response.header.result_int(), reason);
            co_return response;
        }
        const Placement &placement = std::get<Placement>(decision);
        const bool mayHaveRun = m_life.failure() != Outcome::NotRun;
        if (!mayHaveRun && !canEndBeforeStop(placement)) {
            m_traffic.placements.finish(placement.ticket, WorkEnd::Abandoned, Duration::zero());
            const std::string reason(describe(RejectReason::Stopping));
            auto response = failure(StoppingRetryAfter, reason);
            logEnd(response.header.result_int(), reason);
            co_return response;
        }
        ExchangeResult result = co_await sendTo(placement);
        if (result.answer) {
            auto response = toCallerAnswer(std::move(*result.answer));
            if (response.isWhole) {
                logEnd(response.header.result_int(), "answered by " + placement.server.id);
            }
            m_streamedStatus = response.header.result_int();
            co_return response;
        }
        m_failedServers.push_back(placement.server.id);
        const NextStep step = m_life.onAttemptEnd(toAttemptEnd(result.end), Clock::now(), m_attemptBudget);
        if (std::holds_alternative<Finish>(step) || m_request.isCallerGone || m_isShuttingDown) {
            returnRepeat();
            auto response = failure(placement.expected, result.detail);
            logEnd(response.header.result_int(), result.detail);
            co_return response;
        }
        const Duration delay = std::get<RetryAfter>(step).delay;
        if (delay > Duration::zero()) {
            asio::steady_timer timer(m_traffic.executor, delay);
            ErrorCode ignored;
            co_await timer.async_wait(awaitInto(ignored));
        }
    }
}

/// Whether the request ends before the node gives up all servers: by its own time limit or, early in the stop, by its
/// expected time.
bool RequestRunner::canEndBeforeStop(const Placement &placement) const
{
    const StopTimes &stop = m_traffic.stopTimes;
    const TimePoint now = Clock::now();
    const bool isExpectedToEnd = now + placement.expected * LongWorkFactor + AnswerMargin <= stop.lastAnswerAt;
    return m_request.deadline <= stop.lastAnswerAt || (now <= stop.lastUnboundedAt && isExpectedToEnd);
}

bool RequestRunner::mayRepeat() const
{
    return m_request.isIdempotent() && m_sendCount < m_request.route->maxAttempts;
}

bool RequestRunner::isWaitingForAnswer(int send) const
{
    return m_exchange != nullptr && m_sendCount == send && !m_isAnswered;
}

/// Asks for a repeat once the server takes longer than usual, and gives it up only when the repeat is permitted: until
/// then its answer is the only one that can come. Does nothing while the node is stopping, as there may be no time for
/// another attempt.
Awaitable<void> RequestRunner::repeatWhenLate(std::shared_ptr<asio::steady_timer> timer, int send)
{
    ErrorCode error;
    co_await timer->async_wait(awaitInto(error));
    if (error || !isWaitingForAnswer(send) || m_traffic.stopping) {
        co_return;
    }
    WorkItem item = toWorkItem();
    item.avoid.push_back(m_server.id);
    const DispatchDecision decision =
        co_await m_traffic.placements.acquire(m_request.service, std::move(item), m_repeatTicket);
    m_repeatTicket = 0;
    const auto *placement = std::get_if<Placement>(&decision);
    if (placement == nullptr) {
        spdlog::info("request: event=not_repeated id={} server={} send={} reason=\"{}\"", escapeLogValue(m_request.id),
                     m_server.id, send, describe(std::get<Rejection>(decision).reason));
        co_return;
    }
    if (!isWaitingForAnswer(send) || m_traffic.stopping) {
        m_traffic.placements.finish(placement->ticket, WorkEnd::Abandoned, Duration::zero());
        co_return;
    }
    m_repeat = *placement;
    m_exchange->giveUp();
}

/// Gives back the permit of a repeat that is not sent.
void RequestRunner::returnRepeat()
{
    if (m_repeat) {
        m_traffic.placements.finish(m_repeat->ticket, WorkEnd::Abandoned, Duration::zero());
        m_repeat.reset();
    }
}

Awaitable<ExchangeResult> RequestRunner::sendTo(const Placement &placement)
{
    ++m_sendCount;
    m_server = placement.server;
    m_isAnswered = false;
    const auto exchange = std::make_shared<UpstreamExchange>(m_traffic.executor, m_traffic.pool, m_traffic.names,
                                                             m_traffic.parseServerNotice, m_request, &m_holder);
    m_exchange = exchange;
    const auto timer = std::make_shared<asio::steady_timer>(
        m_traffic.executor,
        attemptTimeout(placement.expected, m_request.deadline - Clock::now(), m_request.key.has_value()));
    if (mayRepeat()) {
        spawnMember(m_traffic.executor, shared_from_this(), &RequestRunner::repeatWhenLate, timer, m_sendCount);
    }
    const ScopedAddition buffered(m_traffic.bufferedAnswers, 1);
    ExchangeResult result =
        co_await exchange->run(placement.server, m_request.deadline - AnswerMargin, bufferLimit(), m_usedConnections);
    m_usedConnections.push_back(result.connection);
    timer->cancel();
    m_isAnswered = true;
    if (m_repeatTicket != 0) {
        m_traffic.placements.abandon(m_repeatTicket);
    }
    if (result.answer) {
        returnRepeat();
    }
    const bool isStreamed = result.answer && !result.answer->isWhole;
    m_exchange = isStreamed ? exchange : nullptr;
    countBytes(placement.server, m_request.body->size() + (result.answer ? result.answer->body.size() : 0));
    m_traffic.placements.onServerNotice(m_request.service, placement.server, result.notice.notice);
    m_traffic.placements.finish(placement.ticket, result.end, result.took, result.notice.notice.load);
    m_traffic.metrics.count(std::string("send_") + std::string(describe(result.end)));
    if (!result.reusedConnection) {
        m_traffic.metrics.count("connection_opened");
    }
    logSend(placement, result);
    countLoadReport(result.notice);
    logInvalidHeaders(placement.server, result.notice);
    co_return result;
}

AttemptEnd RequestRunner::toAttemptEnd(WorkEnd end) const
{
    switch (end) {
    case WorkEnd::Done:
        return AttemptEnd::Answered;
    case WorkEnd::Refused:
        return AttemptEnd::Refused;
    case WorkEnd::Unreachable:
        return AttemptEnd::NotConnected;
    case WorkEnd::Lost:
    case WorkEnd::Abandoned:
        return AttemptEnd::Lost;
    }
    return AttemptEnd::Lost;
}

void RequestRunner::onShutdown()
{
    m_isShuttingDown = true;
    if (m_exchange != nullptr) {
        m_exchange->giveUp();
    }
}

void RequestRunner::onCallerGone()
{
    m_request.isCallerGone = true;
    if (m_waitingTicket != 0) {
        m_traffic.placements.abandon(m_waitingTicket);
    }
    // A non-idempotent action, such as a payment, runs to its end: if it were cancelled, nobody would learn whether it
    // took effect.
    if (m_exchange != nullptr && m_request.isIdempotent()) {
        m_exchange->cancel();
    }
}

/// Counts body bytes within and across availability zones.
void RequestRunner::countBytes(const UpstreamServer &server, std::size_t bytes) const
{
    const bool isSameZone = server.zone == m_traffic.settings.zone;
    m_traffic.metrics.count(isSameZone ? "body_bytes_in_zone" : "body_bytes_across_zones", bytes);
}

Awaitable<std::string> RequestRunner::readMore(ErrorCode &error)
{
    std::string part = co_await m_exchange->readMore(error);
    countBytes(m_server, part.size());
    m_streamedBytes += part.size();
    if (error) {
        m_traffic.metrics.count("answer_cut");
        spdlog::warn("request: event=cut id={} server={} streamed_bytes={} reason=\"{}\"", escapeLogValue(m_request.id),
                     m_server.id, m_streamedBytes, escapeQuotedText(error.message()));
    }
    if (error || part.empty()) {
        m_exchange = nullptr;
        logEnd(error ? 0 : m_streamedStatus, "passed on in parts from " + m_server.id);
    }
    co_return part;
}

bool RequestRunner::hasMore() const
{
    return m_exchange != nullptr && m_exchange->hasMore();
}

void RequestRunner::abandonAnswer()
{
    if (m_exchange != nullptr) {
        m_exchange->cancel();
        m_exchange = nullptr;
        logEnd(0, "the caller did not take the whole answer of " + m_server.id);
    }
}

UpstreamAnswer RequestRunner::toCallerAnswer(UpstreamAnswer answer) const
{
    // The server may have run the request, but callers read this status as a promise that it was not executed.
    if (promisesNotExecuted(answer.header.result())) {
        UpstreamAnswer response;
        response.header.result(http::status::bad_gateway);
        response.header.set(m_traffic.names.requestId, m_request.id);
        response.body = "the server answered " + std::to_string(answer.header.result_int())
            + " without saying that it ran nothing\n";
        return response;
    }
    for (auto field = answer.header.begin(); field != answer.header.end();) {
        field = isHopByHop(field->name()) ? answer.header.erase(field) : std::next(field);
    }
    answer.header.version(11);
    return answer;
}

UpstreamAnswer RequestRunner::failure(Duration retryAfter, const std::string &reason) const
{
    const bool hasRun = m_life.failure() != Outcome::NotRun;
    const bool isLate = Clock::now() + 2 * AnswerMargin >= m_request.deadline;
    UpstreamAnswer response;
    response.header.result(http::status::service_unavailable);
    if (hasRun) {
        response.header.result(isLate ? http::status::gateway_timeout : http::status::bad_gateway);
    } else {
        response.header.set(http::field::retry_after, toSecondsText(std::max<Duration>(retryAfter, MinRetryAfter)));
    }
    response.header.set(m_traffic.names.requestId, m_request.id);
    response.header.set(http::field::content_type, "text/plain");
    response.body = reason + "\n";
    return response;
}

void RequestRunner::logRejection(const Rejection &rejection) const
{
    spdlog::warn("request: event=reject id={} service={} key={} decided_by={} waiting={} retry_after_ms={} sends={} "
                 "reason=\"{}\"",
                 escapeLogValue(m_request.id), m_request.service, m_request.key ? static_cast<int>(*m_request.key) : -1,
                 rejection.byLeader ? "leader" : "host", rejection.waiting, toMs(rejection.retryAfter), m_sendCount,
                 describe(rejection.reason));
}

void RequestRunner::logSend(const Placement &placement, const ExchangeResult &result) const
{
    const bool isSuccess = result.end == WorkEnd::Done;
    spdlog::log(isSuccess ? spdlog::level::info : spdlog::level::warn,
                "request: event=send id={} service={} key={} server={} decided_by={} send={} expected_ms={} took_ms={} "
                "reused={} "
                "end={} "
                "load={} detail=\"{}\"",
                escapeLogValue(m_request.id), m_request.service, m_request.key ? static_cast<int>(*m_request.key) : -1,
                placement.server.id, placement.byLeader ? "leader" : "host", m_sendCount, toMs(placement.expected),
                toMs(result.took), result.reusedConnection, describe(result.end), toText(result.notice.notice.load),
                escapeQuotedText(result.detail));
}

void RequestRunner::logInvalidHeaders(const UpstreamServer &server, const ParsedServerNotice &notice) const
{
    for (const InvalidHeader &header : notice.invalid) {
        if (m_traffic.loggedHeaders.add(incarnationOf(server), header.name)) {
            spdlog::warn("{}", invalidHeaderLogText(server.id, header));
        }
    }
}

void RequestRunner::countLoadReport(const ParsedServerNotice &notice) const
{
    if (notice.notice.load) {
        m_traffic.metrics.count("load_reports");
    } else if (notice.isLoadInvalid) {
        m_traffic.metrics.count("load_reports_invalid");
    }
}

void RequestRunner::logEnd(unsigned status, const std::string &reason) const
{
    constexpr unsigned FirstFailure = 500;
    const Duration took = Clock::now() - m_request.arrivedAt;
    m_traffic.metrics.onRequest(m_request.isCallerGone ? 0 : status, took);
    spdlog::log(
        status < FirstFailure ? spdlog::level::info : spdlog::level::warn,
        "request: event=end id={} route={} config={} service={} key={} status={} sends={} took_ms={} limit_ms={} "
        "gone={} reason=\"{}\"",
        escapeLogValue(m_request.id), escapeLogValue(m_request.route->name), m_request.config->version,
        m_request.service, m_request.key ? static_cast<int>(*m_request.key) : -1, status, m_sendCount, toMs(took),
        toMs(m_request.deadline - m_request.arrivedAt), m_request.isCallerGone, escapeQuotedText(reason));
}

} // namespace snipevalve
