#include "soak/soak_callers.hpp"

#include <optional>

namespace snipevalve::soak {

namespace {

constexpr Milliseconds Pause(60); ///< between two requests of one caller, at most
constexpr Milliseconds ConnectTimeout(1'000);
constexpr Milliseconds Deadline(2'000);
/// A caller waits a little longer than the deadline that it names.
constexpr Milliseconds DeadlineExtra(1'000);
constexpr unsigned KeyDistance = 64 * 8; ///< 128 keys, all among those that the servers' stand-in counts
constexpr unsigned Keys = 65'536;
constexpr std::size_t UploadBytes = 20'000;

} // namespace

SoakCallers::SoakCallers(std::vector<Endpoint> nodes, unsigned connectionsPerNode, std::uint64_t seed)
    : m_nodes(std::move(nodes))
    , m_connectionsPerNode(connectionsPerNode)
    , m_random(seed)
    , m_run("soak" + std::to_string(seed) + "-")
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
            asio::co_spawn(m_context, call(node), asio::detached);
        }
    }
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

void SoakCallers::setVersion(std::uint64_t version)
{
    m_version = version;
}

std::pair<std::size_t, std::size_t> SoakCallers::servedSince(TimePoint since) const
{
    constexpr unsigned Ok = 200;
    const std::lock_guard lock(m_mutex);
    std::size_t asked = 0;
    std::size_t served = 0;
    for (auto record = m_records.rbegin(); record != m_records.rend() && record->endedAt >= since; ++record) {
        asked += record->sentAt >= since && !record->probesConfig ? 1 : 0;
        served += record->sentAt >= since && !record->probesConfig && record->status == Ok ? 1 : 0;
    }
    return {asked, served};
}

std::vector<CallerRecord> SoakCallers::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    return m_records;
}

void SoakCallers::keep(CallerRecord record)
{
    const std::lock_guard lock(m_mutex);
    m_records.push_back(std::move(record));
}

/// Half keyed lookups, the rest paid actions, uploads and questions for the newest routes.
SoakCallers::Wish SoakCallers::nextWish(std::size_t node)
{
    constexpr unsigned Lookups = 5;
    constexpr unsigned Debits = 8;
    constexpr unsigned Uploads = 9;
    constexpr unsigned All = 10;
    Wish wish;
    wish.record.node = node;
    wish.record.id = m_run + std::to_string(++m_lastId);
    const unsigned kind = static_cast<unsigned>(m_random() % All);
    std::string line = "GET /k/x";
    std::string extra;
    std::string body;
    const std::uint64_t version = m_version;
    if (kind < Lookups) {
        extra = "X-Snipevalve-Shard-Key: " + std::to_string(m_random() % (Keys / KeyDistance) * KeyDistance) + "\r\n";
    } else if (kind < Debits || (kind >= Uploads && version == 0)) {
        line = "POST /p/x";
        wish.record.idempotent = false;
    } else if (kind < Uploads) {
        line = "POST /p/photo";
        wish.record.idempotent = false;
        body.assign(UploadBytes, 'u');
    } else {
        wish.record.probesConfig = true;
        wish.record.needsVersion = version;
        line = "GET /v" + std::to_string(version) + "/x";
    }
    if (!wish.record.idempotent) {
        extra += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    wish.bytes = line + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + wish.record.id
        + "\r\nX-Snipevalve-Request-Deadline: " + std::to_string(Deadline.count()) + "\r\n" + extra + "\r\n" + body;
    return wish;
}

Awaitable<void> SoakCallers::sendOne(beast::tcp_stream &stream, CallerRecord &record, const std::string &bytes)
{
    ErrorCode error;
    stream.expires_after(Deadline + DeadlineExtra);
    co_await asio::async_write(stream, asio::buffer(bytes), awaitInto(error));
    record.wasSent = !error;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    if (!error) {
        co_await http::async_read(stream, buffer, parser, awaitInto(error));
    }
    if (error || buffer.size() > 0) {
        stream.close();
        record.wasSent = record.wasSent && error != beast::error::timeout;
        co_return;
    }
    record.status = parser.get().result_int();
    record.bodyIsOwn = parser.get().body() == "answer to " + record.id;
    if (!parser.get().keep_alive()) {
        stream.close();
    }
}

Awaitable<void> SoakCallers::call(std::size_t node)
{
    std::optional<beast::tcp_stream> stream;
    asio::steady_timer timer(m_context);
    while (!m_stopping) {
        ErrorCode error;
        timer.expires_after(Milliseconds(m_random() % static_cast<std::uint64_t>(Pause.count())));
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
        Wish wish = nextWish(node);
        wish.record.sentAt = Clock::now();
        co_await sendOne(*stream, wish.record, wish.bytes);
        wish.record.endedAt = Clock::now();
        keep(std::move(wish.record));
    }
}

} // namespace snipevalve::soak
