#include "soak/soak_callers.hpp"

#include <optional>

#include "standins/thread_time.hpp"
#include "standins/upstream_standin.hpp"

namespace snipevalve::soak {

namespace {

/// Upper limits of the pause between two requests of one caller. The long one leaves connections idle through a stop.
constexpr Milliseconds MaxPause(60);
constexpr Milliseconds LongMaxPause(900);
constexpr Milliseconds ConnectTimeout(1'000);
constexpr Milliseconds Deadline(2'000);
/// A caller waits this much longer than the deadline that it sends.
constexpr Milliseconds DeadlineMargin(1'000);
constexpr unsigned KeyStride =
    64 * 8; ///< gives 128 keys, all among those whose owners the stand-in for the servers counts
constexpr unsigned KeySpaceSize = 65'536;
constexpr std::size_t UploadBytes = 20'000;
constexpr std::size_t MaxDownloadBytes = 540'000;
constexpr Milliseconds MaxUploadPause(400); ///< between the two parts of a slow upload
constexpr Milliseconds LongWork(700); ///< of one request in a hundred

bool oneIn(std::mt19937_64 &random, std::uint64_t number)
{
    return random() % number == 0;
}

} // namespace

SoakCallers::SoakCallers(std::vector<Endpoint> nodes, unsigned connectionsPerNode, std::uint64_t seed)
    : m_nodes(std::move(nodes))
    , m_connectionsPerNode(connectionsPerNode)
    , m_random(seed)
    , m_idPrefix("soak" + std::to_string(seed) + "-")
{
}

SoakCallers::~SoakCallers()
{
    stop();
}

void SoakCallers::start()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        for (unsigned caller = 0; caller < m_connectionsPerNode; ++caller) {
            asio::co_spawn(m_context, call(node, MaxPause), asio::detached);
            asio::co_spawn(m_context, call(node, LongMaxPause), asio::detached);
        }
    }
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

void SoakCallers::setVersion(std::uint64_t version)
{
    m_configVersion = version;
}

std::pair<std::size_t, std::size_t> SoakCallers::servedSince(TimePoint since) const
{
    constexpr unsigned Ok = 200;
    const std::lock_guard lock(m_mutex);
    std::size_t sent = 0;
    std::size_t served = 0;
    for (auto record = m_records.rbegin(); record != m_records.rend() && record->endedAt >= since; ++record) {
        sent += record->sentAt >= since && !record->probesConfig ? 1 : 0;
        served += record->sentAt >= since && !record->probesConfig && record->status == Ok ? 1 : 0;
    }
    return {sent, served};
}

Milliseconds SoakCallers::processorTime()
{
    return standins::processorTimeOf(m_thread);
}

std::vector<CallerRecord> SoakCallers::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_records;
}

void SoakCallers::addRecord(CallerRecord record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
}

/// Half of the requests are keyed lookups; the rest are debits, uploads and requests for the newest route.
SoakCallers::PreparedRequest SoakCallers::prepareRequest(std::size_t node)
{
    constexpr unsigned Lookups = 5;
    constexpr unsigned Debits = 8;
    constexpr unsigned Uploads = 9;
    constexpr unsigned All = 10;
    PreparedRequest prepared;
    prepared.record.node = node;
    prepared.record.id = m_idPrefix + std::to_string(++m_lastId);
    const unsigned kind = static_cast<unsigned>(m_random() % All);
    std::string line = "GET /k/x";
    std::string extra;
    std::string body;
    const std::uint64_t version = m_configVersion;
    if (kind < Lookups) {
        extra =
            "X-Snipevalve-Shard-Key: " + std::to_string(m_random() % (KeySpaceSize / KeyStride) * KeyStride) + "\r\n";
    } else if (kind < Debits || (kind >= Uploads && version == 0)) {
        line = "POST /p/x";
        prepared.record.idempotent = false;
    } else if (kind < Uploads) {
        line = "POST /p/photo";
        prepared.record.idempotent = false;
        body.assign(UploadBytes, 'u');
        prepared.firstPart = oneIn(m_random, 2) ? UploadBytes / 2 : 0;
    } else {
        prepared.record.probesConfig = true;
        prepared.record.needsVersion = version;
        line = "GET /v" + std::to_string(version) + "/x";
    }
    if (prepared.record.idempotent && oneIn(m_random, 20)) {
        prepared.answerBytes = m_random() % MaxDownloadBytes;
        extra += standins::UpstreamStandin::AnswerBytesHeader + (": " + std::to_string(prepared.answerBytes)) + "\r\n";
    }
    if (oneIn(m_random, 100)) {
        extra += standins::UpstreamStandin::WorkHeader + (": " + std::to_string(LongWork.count())) + "\r\n";
    }
    if (!prepared.record.idempotent) {
        extra += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    prepared.bytes = line + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + prepared.record.id
        + "\r\nX-Snipevalve-Request-Deadline: " + std::to_string(Deadline.count()) + "\r\n" + extra + "\r\n" + body;
    return prepared;
}

Awaitable<void> SoakCallers::write(beast::tcp_stream &stream, const PreparedRequest &prepared, ErrorCode &error)
{
    const asio::const_buffer all = asio::buffer(prepared.bytes);
    if (prepared.firstPart > 0) {
        co_await asio::async_write(stream, asio::buffer(all, prepared.firstPart), awaitInto(error));
        asio::steady_timer timer(m_context,
                                 Milliseconds(m_random() % static_cast<std::uint64_t>(MaxUploadPause.count())));
        ErrorCode ignored;
        co_await timer.async_wait(awaitInto(ignored));
    }
    if (!error) {
        co_await asio::async_write(stream, all + prepared.firstPart, awaitInto(error));
    }
}

Awaitable<void> SoakCallers::sendOne(beast::tcp_stream &stream, PreparedRequest &prepared)
{
    CallerRecord &record = prepared.record;
    ErrorCode error;
    stream.expires_after(Deadline + DeadlineMargin);
    co_await write(stream, prepared, error);
    record.wasSent = !error;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(2 * MaxDownloadBytes);
    if (!error) {
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
    }
    if (error || buffer.size() > 0) {
        stream.close();
        record.wasSent = record.wasSent && error != beast::error::timeout;
        co_return;
    }
    record.status = parser.get().result_int();
    const std::string text = "answer to " + record.id;
    const std::string &body = parser.get().body();
    record.bodyMatches = body.starts_with(text) && body.size() == text.size() + prepared.answerBytes;
    if (!parser.get().keep_alive()) {
        stream.close();
    }
}

Awaitable<void> SoakCallers::call(std::size_t node, Milliseconds maxPause)
{
    std::optional<beast::tcp_stream> stream;
    asio::steady_timer timer(m_context);
    while (!m_stopping) {
        ErrorCode error;
        timer.expires_after(Milliseconds(m_random() % static_cast<std::uint64_t>(maxPause.count())));
        co_await timer.async_wait(awaitInto(error));
        if (!stream || !stream->socket().is_open()) {
            stream.emplace(m_context);
            stream->expires_after(ConnectTimeout);
            co_await stream->async_connect(toTcp(m_nodes[node]), awaitInto(error));
            if (error) {
                stream.reset();
                continue;
            }
        }
        PreparedRequest prepared = prepareRequest(node);
        prepared.record.sentAt = Clock::now();
        co_await sendOne(*stream, prepared);
        prepared.record.endedAt = Clock::now();
        addRecord(std::move(prepared.record));
    }
}

} // namespace snipevalve::soak
