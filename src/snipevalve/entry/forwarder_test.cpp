#include "snipevalve/entry/entry_process.hpp"
#include "snipevalve/entry/forwarder.hpp"

#include <catch2/catch.hpp>

#include "standins/scripted_server.hpp"

namespace snipevalve {

namespace {

using standins::ScriptedReply;
using standins::ScriptedServer;
using ReplyEnd = ScriptedReply::Finish;

/// @brief The rest of a request's body, in parts of 64 kB.
class UploadRest : public BodySource
{
public:
    explicit UploadRest(std::size_t bytes)
        : m_left(bytes)
    {
    }

    Awaitable<bool> next(std::string &part) override
    {
        constexpr std::size_t PartBytes = 64 << 10;
        part.assign(std::min(m_left, PartBytes), 'u');
        m_left -= part.size();
        co_return true;
    }

private:
    std::size_t m_left;
};

/// @brief How an attempt ended, and whether its whole answer could be read.
struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NoServer;
    bool isWhole = false;
};

Awaitable<void> runAttempt(Forwarder &forwarder, AttemptResult &result)
{
    const TimePoint until = Clock::now() + Milliseconds(2'000);
    Attempt attempt = co_await forwarder.runAttempt(until);
    result.end = attempt.end;
    result.isWhole = attempt.end == AttemptEnd::Answered;
    std::string part;
    while (result.isWhole && !attempt.bodyComplete && !attempt.parser->is_done()) {
        result.isWhole = co_await Forwarder::readBodyPart(attempt, part, until);
    }
}

/// @brief Sends one request through a new traffic thread's state to a scripted server.
/// @param uploadBytes size of the body, which is streamed if it is longer than what is held for a replay
AttemptResult forward(ScriptedServer &server, const ScriptedReply &reply, std::size_t uploadBytes)
{
    server.setScript([&reply](const std::string &) {
        return reply;
    });
    asio::io_context context{1};
    Settings settings;
    settings.hostAddress = "127.0.0.1";
    TrafficThreadState state(context.get_executor(), settings, 1);
    auto target = std::make_shared<Server>();
    target->name = "scripted";
    target->endpoint = server.endpoint();
    auto routing = std::make_shared<RoutingState>();
    ServiceRouting &service = routing->services["photo"];
    service.service.mode = ServiceMode::Pool;
    service.servers.push_back(target);
    state.routing = routing;
    Route route;
    route.service = "photo";
    http::request_header<> header;
    header.method(http::verb::post);
    header.target("/photo/x");
    header.set("X-Snipevalve-Request-Id", "this"); // so that the server replies with the script
    CallerRequest request;
    request.header = &header;
    request.id = "this";
    request.route = &route;
    request.deadline = Clock::now() + Milliseconds(2'000);
    const bool isStreamed = uploadBytes > settings.entryReplayBytes;
    request.body.assign(isStreamed ? 0 : uploadBytes, 'u');
    request.bodyComplete = !isStreamed;
    request.contentLength = uploadBytes;
    UploadRest rest(isStreamed ? uploadBytes : 0);
    Forwarder forwarder(state, request, rest);
    AttemptResult result;
    asio::co_spawn(context, runAttempt(forwarder, result), asio::detached);
    context.run();
    server.setScript({});
    return result;
}

ScriptedReply makeReply(std::string start, std::string late, ReplyEnd finish)
{
    ScriptedReply reply;
    reply.start = std::move(start);
    reply.late = std::move(late);
    reply.lateAfter = Milliseconds(5);
    reply.finish = finish;
    return reply;
}

} // namespace

// Guards against a partial answer that looks complete because its connection ended while the upload was being written.
TEST_CASE("an answer that its connection ends during the upload is none", "[promise-3]")
{
    constexpr std::size_t Unread = 16 << 20; ///< more than the socket buffers take
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\n\r\npart of";
    ScriptedServer server({"127.0.0.1", 0});
    server.setAnswersHeads(true);
    for (const ReplyEnd finish : {ReplyEnd::Reset, ReplyEnd::Close}) {
        for (const std::string &start : {answer, interim + answer, interim}) {
            INFO(start);
            const std::string late = start == interim ? answer : " an answer";
            const AttemptResult result = forward(server, makeReply(start, late, finish), Unread);
            CHECK(result.end == AttemptEnd::Lost);
        }
        const std::string chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
        CHECK_FALSE(forward(server, makeReply(interim + chunks, "4\r\npart\r\n", finish), Unread).isWhole);
    }
}

TEST_CASE("an answer whose status is out of range is none", "[promise-3]")
{
    ScriptedServer server({"127.0.0.1", 0});
    const auto withStatus = [](const std::string &status) {
        return "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
    };
    REQUIRE(forward(server, makeReply(withStatus("200"), {}, ReplyEnd::Keep), 2).isWhole);
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        INFO(status);
        CHECK(forward(server, makeReply(withStatus(status), {}, ReplyEnd::Keep), 2).end == AttemptEnd::Lost);
        server.setAnswersHeads(true);
        CHECK(forward(server, makeReply(withStatus(status), {}, ReplyEnd::Keep), 1 << 20).end == AttemptEnd::Lost);
        server.setAnswersHeads(false);
    }
}

// Guards against uploads that are cut although no request waits for their server.
TEST_CASE("a request that gets a permit at once turns no stalled upload away", "[promise-4]")
{
    asio::io_context context{1};
    Settings settings;
    settings.hostAddress = "127.0.0.1";
    TrafficThreadState state(context.get_executor(), settings, 1);
    Server target;
    target.name = "free";
    target.concurrency = 100;
    UpstreamState &server = state.upstreamState(target);
    int turnedAway = 0;
    MemoryHolder upload(state.memory, Clock::now() - std::chrono::seconds(10), [&turnedAway]() {
        ++turnedAway;
        return true;
    });
    upload.setPhase(HolderPhase::Receiving, Clock::now() - std::chrono::seconds(10));
    server.uploads.insert(&upload);
    bool isAdmitted = false;
    const auto acquire = [&]() -> Awaitable<void> {
        isAdmitted = co_await state.acquirePermit(server, Clock::now() + std::chrono::seconds(1));
    };
    asio::co_spawn(context, acquire(), asio::detached);
    context.run();
    CHECK(isAdmitted);
    CHECK(turnedAway == 0);
    server.uploads.clear();
}

// Guards against sessions that outlive the state that they refer to.
TEST_CASE("a traffic thread can be destroyed while callers are connected", "[promise-4]")
{
    Settings settings;
    settings.hostAddress = "127.44.0.2";
    settings.entryPort = 18082;
    settings.entryTrafficThreads = 1;
    asio::io_context context;
    std::vector<Tcp::socket> callers;
    TrafficThread thread(settings, 1);
    thread.start();
    for (int caller = 0; caller < 3; ++caller) {
        callers.emplace_back(context).connect(toTcp({settings.hostAddress, 18082}));
    }
    const TimePoint end = Clock::now() + std::chrono::seconds(5);
    while (thread.sessions() < callers.size() && Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    CHECK(thread.sessions() == callers.size());
}

} // namespace snipevalve
