#include <catch2/catch.hpp>

#include "snipevalve/net/http_client.hpp"
#include "standins/scripted_server.hpp"

namespace snipevalve {

namespace {

using standins::ScriptedReply;
using standins::ScriptedServer;

/// @brief Calls a scripted server with a new client.
absl::StatusOr<HttpReply> callScripted(ScriptedServer &server, const ScriptedReply &reply)
{
    server.setScript([&reply](const std::string &) {
        return reply;
    });
    asio::io_context context{1};
    HttpClient client(context.get_executor(), {});
    HttpCall call;
    call.endpoint = server.endpoint();
    call.method = http::verb::post;
    call.target = "/grant";
    call.headers["X-Snipevalve-Request-Id"] = "call"; // so that the server replies with the script
    call.timeout = Milliseconds(1'000);
    absl::StatusOr<HttpReply> result = absl::InternalError("not ended");
    asio::co_spawn(context, client.call(call),
                   [&result](const std::exception_ptr &error, absl::StatusOr<HttpReply> value) {
                       if (!error) {
                           result = std::move(value);
                       }
                   });
    context.run();
    server.setScript({});
    return result;
}

/// @brief A whole reply, of which the test cuts off the end.
struct WholeReply
{
    std::string name;
    std::string bytes;
    bool hasLength = true; ///< false if the body ends with the connection
};

} // namespace

TEST_CASE("a reply that is cut anywhere counts as none, and its call as one that may have been handled")
{
    using Finish = ScriptedReply::Finish;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Snipevalve-Handover: 5c0e7a21\r\n";
    const std::string emptyLine = "\r\n\r\n";
    const std::vector<WholeReply> replies = {
        {"with a length", head + "Content-Length: 12\r\n\r\n{\"items\":[]}"},
        {"without a body", head + "Content-Length: 0\r\n\r\n"},
        {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n6\r\n{\"item\r\n6\r\ns\":[]}\r\n0\r\nX-Sum: 1\r\n\r\n"},
        {"ended by the connection", head + "\r\n{\"items\":[]}", false},
        {"not found", "HTTP/1.1 404 None\r\nContent-Length: 2\r\n\r\n{}"},
        {"a conflict", "HTTP/1.1 409 Higher\r\nContent-Length: 0\r\n\r\n"},
        {"another server's", "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n"},
    };
    ScriptedServer server({"127.0.0.1", 0});
    for (const WholeReply &each : replies) {
        const std::size_t bodyStart = each.bytes.find(emptyLine) + emptyLine.size();
        for (std::size_t cut = 0; cut <= each.bytes.size(); ++cut) {
            for (const bool inTwoReads : {false, true}) {
                INFO(each.name << ", cut after " << cut << " of " << each.bytes.size()
                               << (inTwoReads ? " bytes, in two reads" : " bytes, in one read"));
                // The second part begins close to the cut, so that this is met in both reads.
                const std::size_t split = inTwoReads ? cut - cut % 4 : cut;
                ScriptedReply reply;
                reply.start = each.bytes.substr(0, split);
                reply.late = each.bytes.substr(split, cut - split);
                reply.lateAfter = Milliseconds(2);
                reply.finish = Finish::Close;
                const bool isWhole = cut == each.bytes.size() || (!each.hasLength && cut >= bodyStart);
                CHECK(callScripted(server, reply).status().code()
                      == (isWhole ? absl::StatusCode::kOk : absl::StatusCode::kUnavailable));
                if (cut < each.bytes.size() || !each.hasLength) {
                    reply.finish = Finish::Reset;
                    CHECK(callScripted(server, reply).status().code() == absl::StatusCode::kUnavailable);
                }
            }
        }
    }
}

TEST_CASE("a reply whose status is out of range counts as none")
{
    ScriptedServer server({"127.0.0.1", 0});
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        INFO(status);
        ScriptedReply reply;
        reply.start = "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\n{}";
        CHECK(callScripted(server, reply).status().code() == absl::StatusCode::kUnavailable);
    }
}

// Guards against replies to calls to servers or the store that fill the memory or end the process.
TEST_CASE("a reply that can't be held counts as none, and at once")
{
    struct Case
    {
        std::string name;
        std::string start;
        std::string part; ///< repeated
    };
    const std::string part(16 << 10, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Case> cases = {
        {"a head without end", "HTTP/1.1 200 OK\r\nX-A: ", part},
        {"a chunk extension without end", chunked + "5;", part},
        {"a trailer without end", chunked + "0\r\nX-A: ", part},
        {"a body of zeros without end", "HTTP/1.1 200 OK\r\n\r\n", part},
        {"a length of 10^15", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", part},
        {"a length of 2^64", "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n\r\n", part},
    };
    constexpr std::size_t Parts = (64 << 20) / (16 << 10);
    ScriptedServer server({"127.0.0.1", 0});
    for (const Case &each : cases) {
        INFO(each.name);
        ScriptedReply reply;
        reply.start = each.start;
        reply.repeated = each.part;
        reply.times = Parts;
        const TimePoint startedAt = Clock::now();
        const auto result = callScripted(server, reply);
        INFO(result.status().ToString());
        CHECK(result.status().code() == absl::StatusCode::kUnavailable);
        CHECK(Clock::now() - startedAt < Milliseconds(900)); // the call's time limit is 1,000 ms
    }
    ScriptedReply reply;
    reply.start = chunked + "2\r\n{}\r\n0\r\nX-A: " + std::string(60'000, 'v') + "\r\n\r\n";
    CHECK(callScripted(server, reply).status().code() == absl::StatusCode::kOk);
    reply.start = chunked + "2\r\n{}\r\n0\r\nX-A: " + std::string(70'000, 'v') + "\r\n\r\n";
    CHECK(callScripted(server, reply).status().code() == absl::StatusCode::kUnavailable);
}

// Guards against keys that are given on because an answer to an earlier call was taken for that to a release.
TEST_CASE("a call with a connection of its own does not take a late copy of another call's reply")
{
    ScriptedServer server({"127.0.0.1", 0});
    const auto replyWith = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    server.setScript([&](const std::string &id) {
        ScriptedReply reply;
        reply.start = replyWith(id);
        reply.late = replyWith(id);
        reply.lateAfter = Milliseconds(30); // when the next call is under way
        return reply;
    });
    asio::io_context context{1};
    HttpClient client(context.get_executor(), {});
    std::vector<std::string> bodies;
    const auto callAll = [&]() -> Awaitable<void> {
        for (const std::string id : {"grant", "release", "grant-2", "release-2"}) {
            HttpCall call;
            call.endpoint = server.endpoint();
            call.method = http::verb::post;
            call.headers["X-Snipevalve-Request-Id"] = id;
            call.usesOwnConnection = id.starts_with("release");
            const auto reply = co_await client.call(std::move(call));
            bodies.push_back(reply.ok() ? reply->body : std::string(reply.status().message()));
        }
    };
    asio::co_spawn(context, callAll(), asio::detached);
    context.run();
    REQUIRE(bodies.size() == 4);
    CHECK(bodies[1] == "release");
    CHECK(bodies[3] == "release-2");
}

} // namespace snipevalve
