#include "snipevalve/node/upstream_exchange.hpp"

#include <catch2/catch.hpp>

#include "standins/scripted_server.hpp"

namespace snipevalve {

namespace {

using standins::ScriptedReply;
using standins::ScriptedServer;

constexpr Milliseconds TimeLimit(2'000);
constexpr Milliseconds Later(30); ///< long after the next request has been sent
constexpr std::size_t BufferLimit = 64 << 10;
const std::string Id = "this";

HeaderNames headerNames()
{
    HeaderNames names;
    names.requestId = "X-Snipevalve-Request-Id";
    names.deadline = "X-Snipevalve-Request-Deadline";
    names.expectedServer = "X-Snipevalve-Expect-Instance";
    names.serverId = "X-Snipevalve-Instance-Id";
    names.notExecuted = "X-Snipevalve-Not-Executed";
    names.stamp = "X-Snipevalve-Response-Stamp";
    return names;
}

std::string makeAnswer(const std::string &status, const std::string &id, const std::string &more = {})
{
    return "HTTP/1.1 " + status + "\r\n" + (id.empty() ? std::string() : "X-Snipevalve-Request-Id: " + id + "\r\n")
        + "X-Snipevalve-Response-Stamp: s\r\n" + more + "Content-Length: 0\r\n\r\n";
}

std::string makeRefusal(const std::string &id, const std::string &status = "503 Busy")
{
    return makeAnswer(status, id, "X-Snipevalve-Not-Executed: 1\r\n");
}

ScriptedReply makeReply(std::string start, std::string late = {})
{
    ScriptedReply reply;
    reply.start = std::move(start);
    reply.late = std::move(late);
    reply.lateAfter = Later;
    return reply;
}

/// @brief Sends requests to a scripted server, one after the other and over the same pool of connections.
class Exchanges
{
public:
    Exchanges()
        : server({"127.0.0.1", 0})
        , m_pool(m_context.get_executor(), "127.0.0.1", 8)
    {
    }

    /// @param reply what the server sends for this request
    ExchangeResult send(const std::string &id, const ScriptedReply &reply,
                        const std::vector<std::uint64_t> &usedConnections = {}, RequestKind kind = RequestKind::Unsafe)
    {
        server.setScript([&reply](const std::string &) {
            return reply;
        });
        GatewayRoute route;
        route.kind = kind;
        GatewayRequest request;
        request.id = id;
        request.route = &route;
        request.deadline = Clock::now() + TimeLimit;
        request.header.method(kind == RequestKind::Unsafe ? http::verb::post : http::verb::get);
        request.header.target("/");
        request.header.set(m_names.requestId, id);
        const auto exchange = std::make_shared<UpstreamExchange>(
            m_context.get_executor(), m_pool, m_names,
            [](const http::response_header<> &) {
                return ParsedServerNotice();
            },
            request);
        UpstreamServer target;
        target.id = "scripted";
        target.endpoint = server.endpoint();
        std::optional<ExchangeResult> result;
        asio::co_spawn(m_context, exchange->run(target, request.deadline, BufferLimit, usedConnections),
                       [&result](const std::exception_ptr &error, ExchangeResult value) {
                           if (!error) {
                               result = std::move(value);
                           }
                       });
        m_context.restart();
        m_context.run();
        server.setScript({});
        return result.value();
    }

    ScriptedServer server;

private:
    asio::io_context m_context{1};
    UpstreamPool m_pool;
    HeaderNames m_names = headerNames();
};

} // namespace

TEST_CASE("a request is not sent again on a connection that has carried it, and others still use that connection",
          "[promise-5]")
{
    Exchanges exchanges;
    for (int round = 0; round < 5; ++round) {
        INFO(round);
        const std::string id = "request-" + std::to_string(round);
        const ExchangeResult first = exchanges.send(id, makeReply(makeRefusal(id)));
        CHECK(first.end == WorkEnd::Refused);
        const ExchangeResult second = exchanges.send(id, makeReply(makeRefusal(id)), {first.connection});
        CHECK(second.end == WorkEnd::Refused); // this send's own refusal
        CHECK(second.connection != first.connection);
        const ExchangeResult third =
            exchanges.send(id, makeReply(makeAnswer("200 OK", id)), {first.connection, second.connection});
        CHECK(third.end == WorkEnd::Done);
        CHECK(third.connection != first.connection);
        CHECK(third.connection != second.connection);
        CHECK(exchanges.server.connections() == 3);
    }
}

} // namespace snipevalve
