/// @file A stand-in for a server of the platform: accepts fenced grants, runs a limited number of requests at once and
/// logs what it ran.
#include <deque>
#include <fstream>
#include <iostream>

#include <docopt/docopt.h>
#define XXH_STATIC_LINKING_ONLY
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "snipevalve/net/http_server.hpp"
#include "standins/grant_book.hpp"

namespace {

using namespace snipevalve;
using Json = nlohmann::json;

const char Usage[] = R"(A stand-in for a server of the platform.

Usage:
  standin-server [options] --listen=ENDPOINT --name=NAME
  standin-server --help

Options:
  --listen=ENDPOINT    Address and port.
  --name=NAME          The server's name.
  --concurrency=N      Requests that run at once [default: 2].
  --connections=N      Connections that are open at once, besides 16 for control [default: 130].
  --service-us=N       Time that one request takes [default: 2000].
  --cold-start-ms=N    For this long after the start, requests take five times as long [default: 0].
  --log=FILE           Append each request that ran, as a line of JSON.
  --no-token-check     Accept grants and requests with any fencing token.
  --count-from-receipt  Count a grant's lifetime from its receipt, as a faulty server may.

POST /standin/faults sets {"truncate":n,"swap":n,"delayMs":n,"dropAnswers":n,"healthLies":bool,"refuse":n}.
GET /standin/counts returns counters.
)";

ServerClock serverClock()
{
    return std::chrono::duration_cast<ServerClock>(Clock::now().time_since_epoch());
}

std::uint64_t nowNs()
{
    const auto now = std::chrono::duration_cast<std::chrono::nanoseconds>(Clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(now.count());
}

struct Options
{
    std::string name;
    std::uint32_t concurrency = 2;
    std::uint32_t connections = 130;
    std::chrono::microseconds serviceTime{2000};
    Milliseconds coldStart{0};
    std::string logFile;
};

/// @brief Injected faults. A number counts the answers that are still to be affected.
struct Faults
{
    int truncate = 0; ///< ends the connection in the middle of the body
    int swap = 0; ///< answers with the id of the previous request
    int dropAnswers = 0; ///< runs the request, then closes the connection instead of answering
    int refuse = 0; ///< refuses the request as not run
    Milliseconds delay{0}; ///< added to the service time
    bool healthLies = false; ///< the health check fails although requests are served
};

/// @brief A request that this server runs, as logged once it has taken effect.
struct Execution
{
    std::string id;
    std::string method;
    std::string group;
    std::uint32_t slot = 0;
    std::uint64_t effectNs = 0; ///< when it took effect, by the steady clock that all processes of the host share
    std::uint64_t bytes = 0; ///< size of the request's body
    Token acquired; ///< token of the order that gave the slot to this server
};

/// @brief A response and how a fault affects its delivery.
struct Reply
{
    http::status status = http::status::ok;
    std::string body;
    std::string refusal; ///< the reason in the `snipevalve-refused` header; empty when not refused
    bool drop = false; ///< closes the connection without sending it
    bool truncate = false; ///< sends half of the body, then closes the connection
};

/// @brief Serves requests, grants, health checks and fault injection on one port and one thread.
class ServerStandin
{
public:
    ServerStandin(asio::io_context &context, Options options, standins::GrantBookOptions grants)
        : m_context(context)
        , m_options(std::move(options))
        , m_grants(grants)
        , m_startedAt(Clock::now())
        , m_logFile(m_options.logFile, std::ios::app)
    {
    }

    /// @brief Accepts connections for ever; drops those above the limit at once.
    Awaitable<void> accept(Tcp::acceptor &acceptor)
    {
        while (true) {
            ErrorCode error;
            Tcp::socket socket = co_await acceptor.async_accept(awaitInto(error));
            if (!error && m_connections < m_options.connections + ControlConnections) {
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
            }
        }
    }

private:
    static constexpr std::uint32_t ControlConnections = 16; ///< allowed on top of the limit, for grants and health
    static constexpr std::size_t ChunkBytes = 64 << 10;
    static constexpr std::size_t QueuePerWorker = 16; ///< waiting requests for each that may run at once

    using Parser = http::request_parser<http::buffer_body>;

    Awaitable<void> serve(Tcp::socket socket)
    {
        ++m_connections;
        m_peakConnections = std::max(m_peakConnections, m_connections);
        beast::tcp_stream stream(std::move(socket));
        ErrorCode error;
        stream.socket().set_option(Tcp::no_delay(true), error);
        beast::flat_buffer buffer;
        while (!error) {
            Parser parser;
            parser.body_limit(UINT64_MAX);
            co_await http::async_read_header(stream, buffer, parser, awaitInto(error));
            if (error) {
                break;
            }
            const Reply reply = co_await dispatch(stream, buffer, parser, error);
            if (error || reply.drop) {
                break;
            }
            const bool keepAlive = parser.get().keep_alive() && parser.is_done();
            co_await writeReply(stream, reply, keepAlive, error);
            if (!keepAlive || reply.truncate) {
                break;
            }
        }
        --m_connections;
    }

    Awaitable<void> writeReply(beast::tcp_stream &stream, const Reply &reply, bool keepAlive, ErrorCode &error)
    {
        HttpResponse response = jsonResponse(reply.status, reply.body);
        response.keep_alive(keepAlive);
        response.set("snipevalve-load", std::to_string(m_running + m_waiting.size()));
        if (!reply.refusal.empty()) {
            response.set("snipevalve-refused", reply.refusal);
        }
        response.prepare_payload();
        if (reply.truncate) {
            std::ostringstream text;
            text << response;
            const std::string whole = text.str();
            co_await asio::async_write(stream, asio::buffer(whole.data(), whole.size() - reply.body.size() / 2 - 1),
                                       awaitInto(error));
            co_return;
        }
        co_await http::async_write(stream, response, awaitInto(error));
    }

    Awaitable<Reply> dispatch(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser, ErrorCode &error)
    {
        const RequestTarget target(std::string(parser.get().target()));
        const bool isControl = target.path().starts_with("/standin/") || target.path() == "/grants"
            || target.path() == "/health" || target.path() == "/load";
        if (isControl) {
            std::string body;
            co_await readBody(stream, buffer, parser, &body, nullptr, error);
            co_return handleControl(target.path(), body);
        }
        co_return co_await handleRequest(stream, buffer, parser, error);
    }

    /// Reads the body in chunks.
    /// @param text takes the body, unless null
    /// @param hash is updated with the body, unless null
    /// @return the size of the body
    Awaitable<std::uint64_t> readBody(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser,
                                      std::string *text, XXH3_state_t *hash, ErrorCode &error)
    {
        std::vector<char> chunk(ChunkBytes);
        std::uint64_t bytes = 0;
        while (!parser.is_done() && !error) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            co_await http::async_read(stream, buffer, parser, awaitInto(error));
            if (error == http::error::need_buffer) {
                error = {};
            }
            const std::size_t received = chunk.size() - parser.get().body().size;
            bytes += received;
            if (text != nullptr) {
                text->append(chunk.data(), received);
            }
            if (hash != nullptr) {
                XXH3_64bits_update(hash, chunk.data(), received);
            }
        }
        co_return bytes;
    }

    Reply handleControl(const std::string &path, const std::string &body)
    {
        if (path == "/grants") {
            const auto order = parseGrantOrder(body);
            if (!order) {
                return {http::status::bad_request, "{}"};
            }
            return {http::status::ok, toJson(m_grants.apply(*order, serverClock()))};
        }
        if (path == "/standin/faults") {
            setFaults(Json::parse(body, nullptr, false));
        }
        if (path == "/health") {
            return {m_faults.healthLies ? http::status::service_unavailable : http::status::ok, "{}"};
        }
        const Json counts = {{"runs", m_executed},
                             {"mostRunning", m_peakRunning},
                             {"mostConnections", m_peakConnections},
                             {"refused", m_refused}};
        return {http::status::ok, counts.dump()};
    }

    void setFaults(const Json &json)
    {
        if (!json.is_object()) {
            return;
        }
        m_faults.truncate = json.value("truncate", m_faults.truncate);
        m_faults.swap = json.value("swap", m_faults.swap);
        m_faults.dropAnswers = json.value("dropAnswers", m_faults.dropAnswers);
        m_faults.refuse = json.value("refuse", m_faults.refuse);
        m_faults.delay = Milliseconds(json.value("delayMs", m_faults.delay.count()));
        m_faults.healthLies = json.value("healthLies", m_faults.healthLies);
    }

    /// Appends the execution to the log file and flushes it, so that the entry survives when this process is killed.
    void logExecution(const Execution &execution)
    {
        ++m_executed;
        const Json line = {{"server", m_options.name},   {"id", execution.id},
                           {"method", execution.method}, {"group", execution.group},
                           {"slot", execution.slot},     {"effectNs", execution.effectNs},
                           {"bytes", execution.bytes},   {"acquired", toString(execution.acquired)}};
        m_logFile << line.dump() + "\n" << std::flush;
    }

    Reply refuse(const std::string &reason)
    {
        ++m_refused;
        const auto status =
            reason == "not-owner" ? http::status::misdirected_request : http::status::service_unavailable;
        return {status, Json({{"refused", reason}}).dump(), reason};
    }

    /// Waits until fewer requests run than the concurrency allows, first in first out.
    /// @return false when the queue is full
    Awaitable<bool> acquireWorker()
    {
        if (m_running < m_options.concurrency && m_waiting.empty()) {
            ++m_running;
            m_peakRunning = std::max(m_peakRunning, m_running);
            co_return true;
        }
        if (m_waiting.size() >= m_options.concurrency * QueuePerWorker) {
            co_return false;
        }
        asio::steady_timer timer(m_context, TimePoint::max());
        m_waiting.push_back(&timer);
        ErrorCode error;
        co_await timer.async_wait(awaitInto(error));
        co_return true;
    }

    /// Hands the place of a request that has run to the first one in the queue.
    void releaseWorker()
    {
        if (m_waiting.empty()) {
            --m_running;
            return;
        }
        m_waiting.front()->cancel();
        m_waiting.pop_front();
    }

    Awaitable<Reply> handleRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser,
                                   ErrorCode &error)
    {
        const auto &header = parser.get();
        Execution execution;
        execution.id = std::string(header["x-request-id"]);
        execution.method = std::string(header.method_string());
        execution.group = std::string(header["snipevalve-group"]);
        const auto group = parseGroupId(execution.group);
        const std::string slotText(header["snipevalve-slot"]);
        execution.slot = slotText.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(slotText));
        const Token token = parseToken(std::string(header["snipevalve-token"])).value_or(Token());
        const auto contentLength = parser.content_length().value_or(0);
        const bool isGet = header.method() == http::verb::get;
        const std::size_t answerBytes = isGet ? RequestTarget(std::string(header.target())).number("bytes", 0) : 0;
        if (m_faults.refuse > 0) {
            --m_faults.refuse;
            co_return co_await refuseBeforeWork(stream, buffer, parser, "not-run", error);
        }
        if (group && !m_grants.owns(*group, execution.slot, token, serverClock())) {
            co_return co_await refuseBeforeWork(stream, buffer, parser, "not-owner", error);
        }
        if (group) {
            m_grants.beginWork(*group, execution.slot);
        }
        Reply reply;
        if (beast::iequals(header[http::field::expect], "100-continue")) {
            const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
            co_await asio::async_write(stream, asio::buffer(interim), awaitInto(error));
        }
        XXH3_state_t hash;
        XXH3_64bits_reset(&hash);
        execution.bytes = co_await readBody(stream, buffer, parser, nullptr, &hash, error);
        if (!error && contentLength != 0 && execution.bytes != contentLength) {
            error = http::error::partial_message;
        }
        if (!error) {
            reply = co_await execute(execution, group, XXH3_64bits_digest(&hash), answerBytes);
        }
        if (group) {
            m_grants.endWork(*group, execution.slot);
        }
        co_return reply;
    }

    /// Refuses a request without running it: before the body is read when the peer waits for 100 Continue, otherwise
    /// after the body.
    Awaitable<Reply> refuseBeforeWork(beast::tcp_stream &stream, beast::flat_buffer &buffer, Parser &parser,
                                      std::string reason, ErrorCode &error)
    {
        if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            co_await readBody(stream, buffer, parser, nullptr, nullptr, error);
        }
        co_return refuse(reason);
    }

    /// Runs a request and logs it, unless this server has lost the slot by the time of the effect.
    Awaitable<Reply> execute(Execution &execution, const std::optional<GroupId> &group, std::uint64_t hash,
                             std::size_t answerBytes)
    {
        if (!co_await acquireWorker()) {
            co_return refuse("not-run");
        }
        const bool isCold = Clock::now() - m_startedAt < m_options.coldStart;
        constexpr int ColdFactor = 5;
        asio::steady_timer timer(m_context, m_options.serviceTime * (isCold ? ColdFactor : 1) + m_faults.delay);
        co_await timer.async_wait(asio::use_awaitable);
        releaseWorker();
        execution.effectNs = nowNs();
        if (group && !m_grants.mayTakeEffect(*group, execution.slot, serverClock())) {
            co_return refuse("not-owner");
        }
        if (group) {
            execution.acquired = m_grants.acquired(*group, execution.slot);
        }
        logExecution(execution);
        co_return makeReply(execution, hash, answerBytes);
    }

    Reply makeReply(const Execution &execution, std::uint64_t hash, std::size_t answerBytes)
    {
        Reply reply;
        std::string id = execution.id;
        if (m_faults.swap > 0 && !m_lastId.empty()) {
            --m_faults.swap;
            id = m_lastId;
        }
        m_lastId = execution.id;
        const Json body = {{"id", id},
                           {"server", m_options.name},
                           {"bytes", execution.bytes},
                           {"hash", hash},
                           {"filling", std::string(answerBytes, 'x')}};
        reply.body = body.dump();
        if (m_faults.truncate > 0) {
            --m_faults.truncate;
            reply.truncate = true;
        }
        if (m_faults.dropAnswers > 0) {
            --m_faults.dropAnswers;
            reply.drop = true;
        }
        return reply;
    }

    asio::io_context &m_context;
    Options m_options;
    standins::GrantBook m_grants;
    TimePoint m_startedAt;
    Faults m_faults;
    std::ofstream m_logFile;
    std::uint64_t m_executed = 0;
    std::deque<asio::steady_timer *> m_waiting;
    std::string m_lastId;
    std::uint32_t m_running = 0;
    std::uint32_t m_peakRunning = 0;
    std::uint32_t m_connections = 0;
    std::uint32_t m_peakConnections = 0;
    std::uint64_t m_refused = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    const auto endpoint = parseEndpoint(arguments.at("--listen").asString());
    if (!endpoint) {
        std::cerr << "--listen must be an IPv4 address and a port\n";
        return 2;
    }
    Options options;
    options.name = arguments.at("--name").asString();
    options.concurrency = static_cast<std::uint32_t>(arguments.at("--concurrency").asLong());
    options.connections = static_cast<std::uint32_t>(arguments.at("--connections").asLong());
    options.serviceTime = std::chrono::microseconds(arguments.at("--service-us").asLong());
    options.coldStart = Milliseconds(arguments.at("--cold-start-ms").asLong());
    if (arguments.at("--log")) {
        options.logFile = arguments.at("--log").asString();
    }
    standins::GrantBookOptions grants;
    grants.checksTokens = !arguments.at("--no-token-check").asBool();
    grants.countsFromAnchor = !arguments.at("--count-from-receipt").asBool();
    asio::io_context context(1);
    ServerStandin server(context, options, grants);
    Tcp::acceptor acceptor = listenOn(context.get_executor(), *endpoint);
    asio::co_spawn(context, server.accept(acceptor), asio::detached);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const ErrorCode &, int) {
        context.stop();
    });
    context.run();
    return 0;
}
