#include "process/hostile_crowds.hpp"
#include "process/node_deployment.hpp"
#include "standins/scripted_server.hpp"

#include <mutex>
#include <set>

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 190;

/// @brief One node with lowered limits and one server that answers each request.
class SmallNode : public NodeDeployment
{
public:
    SmallNode(const std::string &name, std::uint8_t network, NodeLimits limits)
        : NodeDeployment(name, network, 1, limits)
        , server({"127." + std::to_string(network) + ".3.1", 8080})
    {
        platform.putConfig(smallConfig(3, 1));
        platform.addServer("scripted", "debits", false, Milliseconds(5), server.endpoint());
        server.setScript([](const std::string &id) {
            ScriptedReply reply;
            reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
                + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
            return reply;
        });
        REQUIRE(waitUntil(
            [this]() {
                return sendRequest(0, "GET", "/v1/x").status == 200;
            },
            StartTimeout));
    }

    Endpoint callers() const
    {
        return {addressOf(0), NodeCallersPort};
    }

    ScriptedServer server;
};

const std::string NodePath = "/p/x";

} // namespace

// Guards against callers that take the node's memory or descriptors, or keep others from sending their requests, by
// requests that they don't end.
TEST_CASE("a crowd of callers that don't end their requests leaves the node serving", "[promise-4]")
{
    std::uint8_t network = Network;
    for (const CrowdCase &each : crowds(NodePath)) {
        DYNAMIC_SECTION(each.name)
        {
            SmallNode deployment("node-" + std::to_string(network), network, each.limits);
            meetCrowd(deployment.node(0), deployment.callers(), NodePath, each);
        }
        ++network;
    }
}

// Guards against bodies that are held more than once, and against limits that refuse what the documentation allows.
TEST_CASE("a single request of the largest size is served in calm on the smallest host", "[promise-4]")
{
    SmallNode deployment("node-largest", Network + 20, SmallestHost);
    CHECK(post(deployment.callers(), NodePath, LargestBody) == 200);
    checkLimits(deployment.node(0), SmallestHost);
}

// Guards against refusals that don't say what the caller may rely on, and against requests that run although they were
// refused.
TEST_CASE("requests refused while a crowd holds the memory have not run and say when to come back", "[promise-4]")
{
    constexpr std::size_t BodyBytes = 30 * Megabyte;
    constexpr int Requests = 12;
    SmallNode deployment("node-refusals", Network + 23, SmallestHost);
    std::mutex mutex;
    std::set<std::string> arrived;
    deployment.server.setScript([&](const std::string &id) {
        const std::lock_guard lock(mutex);
        arrived.insert(id);
        ScriptedReply reply;
        reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
        return reply;
    });
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> broken = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < Requests; ++number) {
        callers.emplace_back([&, number]() {
            const std::string id = "large-" + std::to_string(number);
            const std::string start = head(NodePath, id, length(BodyBytes));
            const std::string body(BodyBytes, 'o');
            asio::io_context context;
            Tcp::socket socket(context);
            ErrorCode error;
            socket.connect(toTcp(deployment.callers()), error);
            asio::write(socket, std::array{asio::buffer(start), asio::buffer(body)}, error);
            error = {}; // an early refusal may precede the end of the body
            beast::flat_buffer buffer;
            http::response_parser<http::string_body> parser;
            http::read(socket, buffer, parser, error);
            if (error) {
                return; // closed without an answer, which promises nothing
            }
            const auto &response = parser.get();
            const bool isOwn = response["X-Snipevalve-Request-Id"] == id;
            const std::lock_guard lock(mutex);
            if (response.result_int() == 200) {
                ++answered;
                broken += isOwn && arrived.contains(id) ? 0 : 1;
            } else {
                ++refused;
                const bool isPromise = response.result_int() == 503 && !response[http::field::retry_after].empty();
                broken += isPromise && isOwn && !arrived.contains(id) ? 0 : 1;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    INFO("answered " << answered << ", refused " << refused);
    CHECK(refused > 0); // all bodies together are larger than the memory
    CHECK(broken == 0);
    checkLimits(deployment.node(0), SmallestHost);
}

// Guards against answers that fill the memory since their callers don't read them.
TEST_CASE("callers that don't read their answers leave the node within its memory and serving", "[promise-4]")
{
    constexpr std::size_t AnswerBytes = 250 * Kilobyte; // buffered whole in calm
    constexpr int Callers = 400;
    SmallNode deployment("node-unread", Network + 21, LoweredMemory);
    const auto answerWith = [&deployment](std::size_t bytes) {
        deployment.server.setScript([bytes](const std::string &id) {
            ScriptedReply reply;
            reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
                + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
                + std::string(bytes, 'a');
            return reply;
        });
    };
    answerWith(AnswerBytes);
    CrowdRequest request;
    request.callers = Callers;
    // Further requests wait behind the first on each connection, so that the kernel's buffers don't take all answers.
    request.start = repeat("GET /v1/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: crowd\r\n"
                           "X-Snipevalve-Request-Deadline: 3000\r\n\r\n",
                           40);
    const CallerCrowd crowd(deployment.callers(), request);
    crowd.waitUntilSent(SendTimeout);
    std::this_thread::sleep_for(4 * HoldTime);
    checkLimits(deployment.node(0), LoweredMemory);
    answerWith(2);
    CHECK(servesUpload(deployment.callers(), NodePath));
}

// Guards against requests that fill the memory since their server doesn't read them.
TEST_CASE("a server that reads no bodies leaves the node within its memory", "[promise-4]")
{
    constexpr std::size_t BodyBytes = 2 * Megabyte;
    SmallNode deployment("node-unsent", Network + 22, LoweredMemory);
    deployment.server.setAnswersHeads(true);
    deployment.server.setScript([](const std::string &) {
        ScriptedReply reply;
        reply.late = "HTTP/1.1 200 OK\r\n\r\n"; // names no request, after the time limit of the requests
        reply.lateAfter = Milliseconds(5'000);
        return reply;
    });
    CrowdRequest request;
    request.callers = 60;
    request.start = head(NodePath, "crowd", length(BodyBytes));
    request.part = std::string(BodyBytes, 'p');
    request.times = 1;
    const CallerCrowd crowd(deployment.callers(), request);
    crowd.waitUntilSent(SendTimeout);
    std::this_thread::sleep_for(4 * HoldTime);
    checkLimits(deployment.node(0), LoweredMemory);
    deployment.server.setAnswersHeads(false);
    deployment.server.setScript([](const std::string &id) {
        ScriptedReply reply;
        reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
        return reply;
    });
    CHECK(deployment.waitUntil(
        [&deployment]() {
            return deployment.sendRequest(0, "GET", "/v1/x").status == 200;
        },
        StartTimeout));
}

} // namespace snipevalve::standins
