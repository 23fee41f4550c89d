#include "standins/load_generator.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include <nlohmann/json.hpp>

#include "snipevalve/core/hash.hpp"
#include "snipevalve/net/http_client.hpp"

namespace snipevalve::standins {

namespace {

using Json = nlohmann::json;

/// A body that repeats the request's id, so that the bodies of two requests differ.
std::string makeBody(const std::string &id, std::uint64_t bytes)
{
    std::string body;
    body.reserve(bytes + id.size());
    while (body.size() < bytes) {
        body += id;
    }
    body.resize(bytes);
    return body;
}

/// Compares an answer that the entry reported as complete with its request.
/// @return what is wrong with it; empty when it is valid
std::string findAnswerError(const Json &answer, const std::string &id, const std::string &body, const MixPart &part)
{
    if (!answer.is_object()) {
        return "the answer is not a complete JSON object";
    }
    if (answer.value("id", "") != id) {
        return "the answer belongs to request " + answer.value("id", "?");
    }
    if (answer.value("bytes", std::uint64_t(0)) != body.size()) {
        return "the server received another number of bytes";
    }
    if (answer.value("hash", std::uint64_t(0)) != hashOf(body)) {
        return "the server received other bytes";
    }
    if (part.method == "GET" && answer.value("filling", "").size() != part.answerBytes) {
        return "the filling of the answer has the wrong size";
    }
    return {};
}

} // namespace

/// @brief The connection of one worker to an entry host, kept alive between requests.
struct LoadGenerator::Connection
{
    std::optional<beast::tcp_stream> stream;
    beast::flat_buffer buffer;
};

LoadGenerator::LoadGenerator(LoadGeneratorOptions options)
    : m_options(std::move(options))
    , m_ready(m_options.entries.size(), true)
{
    std::uint32_t maxKeys = 1;
    for (const MixPart &part : m_options.mix) {
        maxKeys = std::max(maxKeys, part.keys);
    }
    double sum = 0;
    for (std::uint32_t key = 1; key <= maxKeys && m_options.zipf > 0; ++key) {
        sum += 1.0 / std::pow(key, m_options.zipf);
        m_zipfCumulativeWeights.push_back(sum);
    }
}

LoadGenerator::~LoadGenerator()
{
    stop();
}

void LoadGenerator::start()
{
    for (unsigned worker = 0; worker < m_options.workers; ++worker) {
        ++m_activeWorkers;
        asio::co_spawn(m_context, runWorker(worker), asio::detached);
    }
    asio::co_spawn(m_context, pollReadiness(), asio::detached);
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

void LoadGenerator::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

std::vector<CallRecord> LoadGenerator::records() const
{
    const std::lock_guard lock(m_mutex);
    return m_records;
}

/// Polls the readiness of the entry hosts so that new connections go only to ready ones, as with the platform's
/// load balancer.
Awaitable<void> LoadGenerator::pollReadiness()
{
    constexpr Milliseconds Interval(100);
    constexpr unsigned Ok = 200;
    HttpClient client(m_context.get_executor());
    asio::steady_timer timer(m_context);
    while (m_activeWorkers > 0) {
        for (std::size_t host = 0; host < m_options.readiness.size(); ++host) {
            HttpCall call;
            call.endpoint = m_options.readiness[host];
            call.target = "/ready";
            call.timeout = Milliseconds(200);
            const auto reply = co_await client.call(std::move(call));
            m_ready[host] = reply.ok() && reply->status == Ok;
        }
        timer.expires_after(Interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

/// Sends requests one after another until `stop` is called: at the worker's share of the rate, or back to back. After a
/// failure it waits for a short pause instead.
Awaitable<void> LoadGenerator::runWorker(unsigned worker)
{
    std::mt19937_64 random(m_options.seed * 1000 + worker);
    Connection connection;
    asio::steady_timer timer(m_context);
    TimePoint next = Clock::now();
    const double interval = m_options.rate > 0 ? m_options.workers / m_options.rate : 0;
    for (std::uint64_t number = 0; !m_stopping; ++number) {
        const std::string id =
            "c" + std::to_string(m_options.seed) + "-" + std::to_string(worker) + "-" + std::to_string(number);
        CallRecord record = co_await sendRequest(connection, random, id);
        const bool isFailure = record.end != CallEnd::Answered;
        {
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
        constexpr Milliseconds FailurePause(5);
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interval));
        timer.expires_at(isFailure ? Clock::now() + FailurePause : next);
        co_await timer.async_wait(asio::use_awaitable);
    }
    --m_activeWorkers;
}

/// Picks a kind of request at random by its weight.
const MixPart &LoadGenerator::pickMixPart(std::mt19937_64 &random) const
{
    std::uint32_t total = 0;
    for (const MixPart &part : m_options.mix) {
        total += part.weight;
    }
    auto number = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(random);
    for (const MixPart &part : m_options.mix) {
        if (number < part.weight) {
            return part;
        }
        number -= part.weight;
    }
    return m_options.mix.back();
}

/// Picks a key uniformly, or by a Zipf distribution in which lower numbers are more frequent.
std::string LoadGenerator::pickKey(const MixPart &part, std::mt19937_64 &random)
{
    std::size_t key = 0;
    if (m_zipfCumulativeWeights.empty()) {
        key = std::uniform_int_distribution<std::size_t>(0, part.keys - 1)(random);
    } else {
        const double point = std::uniform_real_distribution<double>(0, m_zipfCumulativeWeights[part.keys - 1])(random);
        const auto position =
            std::lower_bound(m_zipfCumulativeWeights.begin(), m_zipfCumulativeWeights.begin() + part.keys, point);
        key = static_cast<std::size_t>(position - m_zipfCumulativeWeights.begin());
    }
    return "key-" + std::to_string(key);
}

/// Connects to a random ready entry host.
/// @return false when no host is ready or the connection fails
Awaitable<bool> LoadGenerator::connect(Connection &connection, std::mt19937_64 &random)
{
    std::vector<std::size_t> ready;
    for (std::size_t host = 0; host < m_ready.size(); ++host) {
        if (m_ready[host]) {
            ready.push_back(host);
        }
    }
    if (ready.empty()) {
        co_return false;
    }
    const std::size_t host = ready[std::uniform_int_distribution<std::size_t>(0, ready.size() - 1)(random)];
    connection.stream.emplace(m_context.get_executor());
    connection.buffer.clear();
    connection.stream->expires_after(Milliseconds(1000));
    ErrorCode error;
    co_await connection.stream->async_connect(toTcp(m_options.entries[host]), awaitInto(error));
    if (error) {
        connection.stream.reset();
        co_return false;
    }
    connection.stream->socket().set_option(Tcp::no_delay(true), error);
    co_return true;
}

Awaitable<CallRecord> LoadGenerator::sendRequest(Connection &connection, std::mt19937_64 &random, const std::string &id)
{
    const MixPart &part = pickMixPart(random);
    CallRecord record;
    record.id = id;
    record.service = part.service;
    record.method = part.method;
    record.key = pickKey(part, random);
    record.sentAt = Clock::now();
    record.endedAt = record.sentAt;
    if (!connection.stream && !co_await connect(connection, random)) {
        record.end = CallEnd::NotRun;
        record.detail = "no entry host is ready or accepts a connection";
        co_return record;
    }
    const std::string query = part.answerBytes > 0 ? "?bytes=" + std::to_string(part.answerBytes) : "";
    http::request<http::string_body> message(http::string_to_verb(part.method),
                                             "/" + part.service + "/" + record.key + query, 11);
    message.set(http::field::host, "callers.example");
    message.set("x-request-id", id);
    message.set("snipevalve-deadline-ms", std::to_string(m_options.deadline.count()));
    message.body() = makeBody(id, part.bodyBytes);
    message.prepare_payload();
    ErrorCode error;
    connection.stream->expires_after(m_options.deadline + Milliseconds(5000));
    co_await http::async_write(*connection.stream, message, awaitInto(error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(UINT64_MAX);
    if (!error) {
        co_await http::async_read(*connection.stream, connection.buffer, parser, awaitInto(error));
    }
    record.endedAt = Clock::now();
    if (error) {
        record.detail = error.message();
        connection.stream.reset();
        co_return record;
    }
    const auto &response = parser.get();
    const std::string outcome(response["snipevalve-outcome"]);
    record.server = std::string(response["snipevalve-server"]);
    record.detail = std::string(response["snipevalve-reason"]);
    if (outcome == "answered") {
        const Json answer = Json::parse(response.body(), nullptr, false);
        record.detail = findAnswerError(answer, id, message.body(), part);
        record.end = record.detail.empty() ? CallEnd::Answered : CallEnd::Wrong;
    } else {
        record.end = outcome == "not-run" ? CallEnd::NotRun : CallEnd::Unknown;
    }
    if (!response.keep_alive()) {
        connection.stream.reset();
    }
    co_return record;
}

} // namespace snipevalve::standins
