#include "standins/upstream_standin.hpp"

namespace snipevalve::standins {

namespace {

constexpr Milliseconds PollInterval(5);
constexpr Milliseconds IdleTimeout(60'000);
constexpr std::uint64_t MaxBodyBytes = 2 << 20;
constexpr unsigned Slots = 2;
constexpr unsigned QueueLength = 8;
constexpr Milliseconds PauseWhenFull(1'000);

Awaitable<void> sleepFor(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t unixMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(now).count();
}

HttpResponse noAnswer()
{
    return HttpResponse(http::status::unknown, 11);
}

/// A number that a test sends to the server in a header of its own.
std::uint64_t numberIn(const HttpRequest &request, const char *header, std::uint64_t fallback)
{
    const std::string text(request[header]);
    return text.empty() ? fallback : std::stoull(text);
}

} // namespace

UpstreamStandin::UpstreamStandin(asio::io_context &context, std::mutex &mutex, UpstreamOptions options,
                                 Handlers handlers)
    : m_context(context)
    , m_mutex(mutex)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_acceptor(listenOn(context.get_executor(), m_options.listen))
    , m_startedAtMs(unixMs() + m_options.clockStep.count())
{
}

void UpstreamStandin::start()
{
    report(StartEvent{Clock::now(), m_startedAtMs});
    asio::co_spawn(
        m_context,
        [self = shared_from_this()]() {
            return self->accept();
        },
        asio::detached);
}

std::string UpstreamStandin::zoneOf(const std::string &id)
{
    const auto at = id.find('.');
    return at == std::string::npos ? "z" : id.substr(at + 1);
}

const UpstreamOptions &UpstreamStandin::options() const
{
    return m_options;
}

nlohmann::json UpstreamStandin::nextEntry()
{
    return {{"service", m_options.service},
            {"address", toString(m_options.registeredAs)},
            {"zone", zoneOf(m_options.id)},
            {"version", "v1"},
            {"slots", Slots},
            {"state", m_draining ? "draining" : "ready"},
            {"warmup_left_ms", 0},
            {"seq", ++m_renewals},
            {"born", m_startedAtMs}};
}

bool UpstreamStandin::isRegistered() const
{
    return !m_crashed && !m_left;
}

std::int64_t UpstreamStandin::startedAtMs() const
{
    return m_startedAtMs;
}

void UpstreamStandin::crash()
{
    m_crashed = true;
    m_grants.clear();
}

bool UpstreamStandin::restart()
{
    if (!m_crashed) {
        return false;
    }
    m_crashed = false;
    m_draining = false;
    m_announcesLeaving = false;
    m_keysInProgress.clear();
    m_startedAtMs = unixMs() + m_options.clockStep.count();
    m_renewals = 0;
    report(StartEvent{Clock::now(), m_startedAtMs});
    return true;
}

bool UpstreamStandin::hasCrashed() const
{
    return m_crashed;
}

void UpstreamStandin::drain()
{
    m_draining = true;
    m_announcesLeaving = true;
}

void UpstreamStandin::announceLeaving()
{
    m_announcesLeaving = true;
}

void UpstreamStandin::leave()
{
    m_left = true;
}

void UpstreamStandin::pauseUntil(TimePoint end)
{
    m_pausedUntil = end;
}

void UpstreamStandin::setFault(ServerFault fault)
{
    m_fault = fault;
}

void UpstreamStandin::setLateOrders(bool late)
{
    m_lateOrders = late;
}

bool UpstreamStandin::isUsing(std::uint16_t key, TimePoint now) const
{
    const auto keyGrant = m_grants.find(key);
    const bool isHeld = keyGrant != m_grants.end() && now < keyGrant->second.acceptsUntil;
    const bool isInProgress =
        m_keysInProgress.contains(key) && keyGrant != m_grants.end() && now < keyGrant->second.expiry;
    return !m_crashed && (isHeld || isInProgress);
}

void UpstreamStandin::report(const ServerEvent &event) const
{
    if (m_handlers.onEvent) {
        m_handlers.onEvent(event);
    }
}

Awaitable<void> UpstreamStandin::accept()
{
    while (true) {
        ErrorCode error;
        Tcp::socket socket = co_await m_acceptor.async_accept(awaitInto(error));
        if (!error) {
            asio::co_spawn(
                m_context,
                [self = shared_from_this(), socket = std::move(socket)]() mutable {
                    return self->serve(std::move(socket));
                },
                asio::detached);
        }
    }
}

Awaitable<void> UpstreamStandin::serve(Tcp::socket socket)
{
    ErrorCode error;
    const std::string peer = socket.remote_endpoint(error).address().to_string();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    stream.socket().set_option(Tcp::no_delay(true), error);
    while (true) {
        MessageParser<true, ReceivedBody> parser;
        parser.body_limit(MaxBodyBytes);
        stream.expires_after(IdleTimeout);
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
        if (error) {
            co_return;
        }
        const HttpRequest request = parser.release();
        HttpResponse response = co_await answer(request, peer);
        if (response.result() == http::status::unknown) {
            co_return;
        }
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(stream, response, awaitInto(error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

/// The granted time counts from the arrival of the order, even if the order is carried out later.
HttpResponse UpstreamStandin::grant(const Json &body, TimePoint arrival, const std::string &peer)
{
    const KeyRange keys{body.at("from").get<std::uint16_t>(), body.at("to").get<std::uint16_t>()};
    const auto fence = body.at("fence").get<std::uint64_t>();
    const Milliseconds hold(body.at("hold_ms").get<std::int64_t>());
    const TimePoint end = arrival
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(hold) / m_options.clockRate);
    const auto first = m_grants.lower_bound(keys.from);
    for (auto keyGrant = first; keyGrant != m_grants.end() && keyGrant->first <= keys.to; ++keyGrant) {
        if (keyGrant->second.fence > fence) {
            return jsonResponse(http::status::conflict, "{}");
        }
    }
    if (m_handlers.onGrant) {
        m_handlers.onGrant(*this, keys, end);
    }
    for (std::uint32_t key = (keys.from + SampleStep - 1U) / SampleStep * SampleStep; key <= keys.to;
         key += SampleStep) {
        KeyGrant &keyGrant = m_grants[static_cast<std::uint16_t>(key)];
        keyGrant = {fence, std::max(keyGrant.acceptsUntil, end), std::max(keyGrant.expiry, end)};
    }
    report(GrantEvent{arrival, Clock::now(), end, keys, fence, peer});
    return jsonResponse(http::status::ok, "{}");
}

/// Answers once no request for the released keys runs any more.
Awaitable<HttpResponse> UpstreamStandin::release(Json body, std::string peer)
{
    const KeyRange keys{body.at("from").get<std::uint16_t>(), body.at("to").get<std::uint16_t>()};
    {
        const std::lock_guard lock(m_mutex);
        for (auto &[key, keyGrant] : m_grants) {
            if (keys.contains(key)) {
                keyGrant.acceptsUntil = {};
            }
        }
        report(ReleaseEvent{Clock::now(), keys, peer});
    }
    bool isInProgress = true;
    while (isInProgress) {
        co_await sleepFor(PollInterval);
        const std::lock_guard lock(m_mutex);
        const auto first = m_keysInProgress.lower_bound(keys.from);
        isInProgress = !m_crashed && first != m_keysInProgress.end() && *first <= keys.to;
    }
    HttpResponse response = jsonResponse(http::status::ok, "{}");
    response.set("X-Snipevalve-Handover", "handover-" + m_options.id);
    co_return response;
}

Awaitable<HttpResponse> UpstreamStandin::answerOrder(const HttpRequest &request, const std::string &peer)
{
    const TimePoint arrival = Clock::now();
    const Json body = Json::parse(request.body());
    const bool isGrant = request.target() == "/grant";
    bool isLate = false;
    {
        const std::lock_guard lock(m_mutex);
        constexpr std::uint64_t LateOfTen = 3;
        isLate = m_lateOrders && ++m_orders % 10 < LateOfTen;
    }
    if (isLate) {
        constexpr std::int64_t ShortestMs = 2'000;
        constexpr std::uint64_t SpreadMs = 2'000;
        co_await sleepFor(Milliseconds(ShortestMs + static_cast<std::int64_t>(m_orders * 397 % SpreadMs)));
    }
    if (!isGrant) {
        HttpResponse response = co_await release(body, peer);
        co_return isLate ? noAnswer() : response;
    }
    const std::lock_guard lock(m_mutex);
    if (m_crashed) {
        co_return noAnswer();
    }
    HttpResponse response = grant(body, arrival, peer);
    co_return isLate ? noAnswer() : response;
}

/// Takes a slot of the server, after waiting in its queue if none is free.
/// @return false when the queue is full
Awaitable<bool> UpstreamStandin::waitForSlot()
{
    bool isQueued = false;
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_running < Slots) {
                ++m_running;
                m_queued -= isQueued ? 1 : 0;
                co_return true;
            }
            if (!isQueued && m_queued >= QueueLength) {
                co_return false;
            }
            m_queued += isQueued ? 0 : 1;
            isQueued = true;
        }
        co_await sleepFor(PollInterval);
    }
}

HttpResponse UpstreamStandin::refusal(const std::string &requestId, http::status status, Milliseconds pause)
{
    report(RequestArrival{m_options.id, requestId, m_options.service, Clock::now(), false, m_startedAtMs,
                          m_announcesLeaving, pause});
    HttpResponse response(status, 11);
    response.set("X-Snipevalve-Request-Id", requestId);
    response.set("X-Snipevalve-Not-Executed", "1");
    if (pause > Milliseconds::zero()) {
        response.set(http::field::retry_after, std::to_string(std::chrono::duration<double>(pause).count()));
    }
    return response;
}

/// Adds what the server says of itself to its answer.
Awaitable<HttpResponse> UpstreamStandin::answer(const HttpRequest &request, const std::string &peer)
{
    HttpResponse response = co_await answerRequest(request, peer);
    const std::lock_guard lock(m_mutex);
    if (m_announcesLeaving) {
        response.set("Server-Leaving", "1");
    }
    co_return response;
}

Awaitable<HttpResponse> UpstreamStandin::answerRequest(const HttpRequest &request, const std::string &peer)
{
    const std::string id(request["X-Snipevalve-Request-Id"]);
    const std::string keyText(request["X-Snipevalve-Shard-Key"]);
    const auto key = static_cast<std::uint16_t>(keyText.empty() ? 0 : std::stoul(keyText));
    const bool isOrder = request.target() == "/grant" || request.target() == "/release";
    std::int64_t incarnation = 0;
    ServerFault fault = ServerFault::None;
    {
        const std::lock_guard lock(m_mutex);
        incarnation = m_startedAtMs;
        if (m_crashed) {
            co_return noAnswer();
        }
        const bool isAddressee = request["X-Snipevalve-Expect-Instance"] == m_options.id;
        if (!isAddressee && isOrder) {
            co_return HttpResponse(http::status::misdirected_request, 11);
        }
        fault = m_fault;
        if (!isAddressee) {
            co_return refusal(id, http::status::misdirected_request);
        }
        if (!isOrder && Clock::now() < m_pausedUntil) {
            const auto pause = std::chrono::ceil<Milliseconds>(m_pausedUntil - Clock::now());
            co_return refusal(id, http::status::service_unavailable, pause);
        }
        if (!isOrder && fault == ServerFault::Refuses) {
            co_return refusal(id, http::status::service_unavailable);
        }
    }
    if (isOrder) {
        co_return co_await answerOrder(request, peer);
    }
    const bool hasSlot = co_await waitForSlot();
    {
        const std::lock_guard lock(m_mutex);
        const auto keyGrant = m_grants.find(key);
        const bool ownsKey = keyGrant != m_grants.end() && Clock::now() < keyGrant->second.acceptsUntil;
        const bool isGone = m_crashed || m_startedAtMs != incarnation;
        if (!hasSlot || isGone || (m_options.keyed && !ownsKey)) {
            m_running -= hasSlot ? 1 : 0;
            if (isGone) {
                co_return noAnswer();
            }
            if (!hasSlot) {
                co_return refusal(id, http::status::service_unavailable, PauseWhenFull);
            }
            co_return refusal(id, http::status::misdirected_request);
        }
        report(RequestArrival{m_options.id, id, m_options.service, Clock::now(), true, m_startedAtMs,
                              m_announcesLeaving, Milliseconds(0), key});
        m_keysInProgress.insert(key);
    }
    const auto usual = static_cast<std::uint64_t>(m_options.serviceTime.count());
    co_await sleepFor(Milliseconds(numberIn(request, WorkHeader, usual)));
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        const auto position = m_keysInProgress.find(key);
        if (position != m_keysInProgress.end()) {
            m_keysInProgress.erase(position);
        }
        report(WorkEndEvent{Clock::now(), id});
        if (m_crashed || m_startedAtMs != incarnation) {
            co_return noAnswer();
        }
    }
    HttpResponse response(http::status::ok, 11);
    response.set("X-Snipevalve-Request-Id", fault == ServerFault::OtherId ? "0000" : id);
    if (fault != ServerFault::NoStamp) {
        response.set("X-Snipevalve-Response-Stamp", "stamp-" + id);
    }
    if (fault == ServerFault::Encoded) {
        response.set(http::field::content_encoding, "br");
    }
    if (fault == ServerFault::UnavailableAfterRun) {
        response.result(http::status::service_unavailable);
    }
    response.body() = "answer to " + id;
    response.body().append(numberIn(request, AnswerBytesHeader, 0), '.');
    if (fault == ServerFault::CutShort) {
        co_return noAnswer(); // closes the connection
    }
    co_return response;
}

} // namespace snipevalve::standins
