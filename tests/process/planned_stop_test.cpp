#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <set>

#include "process/kept_connection_callers.hpp"
#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 170;
constexpr Milliseconds Grace(6'000); ///< from SIGTERM to SIGKILL
/// A node may end from then on; requests may cross the close of their connection.
constexpr Milliseconds EarliestEnd(4'900);

std::string headOf(const std::string &line)
{
    return line + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Deadline: 3000\r\n";
}

/// @brief A request whose server works for the given time, over a connection of its own. Its head comes in two parts.
class WorkRequest
{
public:
    /// @param wholeAt when the second part is sent
    WorkRequest(const Endpoint &node, const std::string &head, Milliseconds work, TimePoint wholeAt = {})
        : m_thread([this, node, head, work, wholeAt]() {
            asio::io_context context;
            Tcp::socket socket(context);
            ErrorCode error;
            socket.connect(toTcp(node), error);
            asio::write(socket, asio::buffer(head), error);
            std::this_thread::sleep_until(wholeAt);
            const std::string rest = UpstreamStandin::WorkHeader + (": " + std::to_string(work.count())) + "\r\n\r\n";
            asio::write(socket, asio::buffer(rest), error);
            beast::flat_buffer buffer;
            http::response_parser<http::string_body> parser;
            http::read(socket, buffer, parser, error);
            m_status = error ? 0 : parser.get().result_int();
        })
    {
    }

    ~WorkRequest()
    {
        join();
    }

    /// @return the status of the response; 0 if there was none
    unsigned join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_status;
    }

private:
    unsigned m_status = 0;
    std::thread m_thread;
};

/// @brief The small configuration with a time limit of the safe route to `debits`, and time for slow heads.
std::string configWithTimeout(Milliseconds timeout)
{
    std::string config = smallConfig(3, 1);
    const std::string usual = "\"timeout_ms\":3000";
    for (auto at = config.find(usual); at != std::string::npos; at = config.find(usual, at)) {
        config.replace(at, usual.size(), "\"timeout_ms\":" + std::to_string(timeout.count()));
    }
    const std::string limits = R"("metadata":{},"spec":{})";
    return config.replace(config.find(limits), limits.size(), R"("metadata":{},"spec":{"header_timeout_ms":8000})");
}

/// @brief Waits until the node serves the safe route to `debits`, and lets it learn how long its server takes.
void learnUsualTime(NodeDeployment &deployment)
{
    const auto isServed = [&deployment]() {
        return deployment.sendRequest(0, "GET", "/v1/x").status == 200;
    };
    REQUIRE(deployment.waitUntil(isServed, StartTimeout));
    for (int time = 0; time < 20; ++time) {
        REQUIRE(isServed());
    }
}

} // namespace

// Guards against idle connections that a stopping node closes although their callers were never told.
TEST_CASE("callers that keep their connections get an answer to each request while the node stops", "[promise-4]")
{
    NodeDeployment deployment("kept-connections", Network, 1);
    deployment.platform.addServer("sound", "debits", false, Milliseconds(10));
    REQUIRE(deployment.waitUntil(
        [&deployment]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    KeptConnectionCallers::Options options;
    options.node = {deployment.addressOf(0), NodeCallersPort};
    options.head = headOf("POST /p/x") + "Content-Length: 0\r\n";
    KeptConnectionCallers callers(options);
    std::this_thread::sleep_for(Milliseconds(1'500));
    const TimePoint stoppedAt = Clock::now();
    for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM}) {
        ::kill(deployment.node(0).pid(), signal);
        std::this_thread::sleep_for(Milliseconds(100));
    }
    CHECK(deployment.node(0).wait(Grace) == 0);
    const auto &requests = callers.join();
    const auto isUnanswered = [stoppedAt](const KeptConnectionRequest &request) {
        return request.status == 0 && request.sentAt < stoppedAt + EarliestEnd;
    };
    const auto count = std::count_if(requests.begin(), requests.end(), isUnanswered);
    INFO(count << " of " << requests.size() << " requests without an answer");
    CHECK(requests.size() > 500);
    CHECK(count == 0);
}

// Guards against requests that outlast their usual time late in a stop: they were run and then answered 502.
TEST_CASE("a request that comes late in a stop is answered by its server or not run", "[promise-4]")
{
    struct Case
    {
        std::string name;
        Milliseconds timeout; ///< of the route
        Milliseconds work;
    };
    const std::vector<Case> cases = {
        {"a second of work, 8 s of time", Milliseconds(8'000), Milliseconds(1'100)},
        {"two seconds of work, 8 s of time", Milliseconds(8'000), Milliseconds(2'000)},
        {"short work, 1 s of time", Milliseconds(1'000), Milliseconds(50)},
    };
    constexpr Milliseconds FirstWhole(3'100); ///< since SIGTERM
    constexpr Milliseconds Interval(150);
    constexpr int Requests = 13;
    constexpr Milliseconds LatestServed(3'800); ///< for requests whose own time limit is a second
    std::uint8_t network = Network + 10;
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment("late-work-" + std::to_string(network), network, 1);
        ++network;
        deployment.platform.putConfig(configWithTimeout(each.timeout));
        deployment.platform.addServer("sound", "debits", false, Milliseconds(10));
        learnUsualTime(deployment);
        const Endpoint node{deployment.addressOf(0), NodeCallersPort};
        const TimePoint stoppedAt = Clock::now();
        deployment.node(0).terminate();
        std::list<WorkRequest> requests;
        for (int request = 0; request < Requests; ++request) {
            const std::string id = "late-" + std::to_string(request);
            requests.emplace_back(node,
                                  "GET /v1/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Deadline: 8000\r\n"
                                  "X-Snipevalve-Request-Id: "
                                      + id + "\r\n",
                                  each.work, stoppedAt + FirstWhole + Interval * request);
        }
        std::set<std::string> arrived;
        std::vector<unsigned> statuses;
        for (WorkRequest &request : requests) {
            statuses.push_back(request.join());
        }
        for (const RequestArrival &arrival : deployment.platform.arrivals()) {
            arrived.insert(arrival.requestId);
        }
        for (int request = 0; request < Requests; ++request) {
            const Milliseconds wholeAt = FirstWhole + Interval * request;
            INFO("whole " << wholeAt.count() << " ms after SIGTERM");
            const unsigned status = statuses[static_cast<std::size_t>(request)];
            const bool hasArrived = arrived.contains("late-" + std::to_string(request));
            CHECK(((status == 200 && hasArrived) || (status == 503 && !hasArrived)));
            CHECK((status == 200 || each.timeout > Milliseconds(1'000) || wholeAt > LatestServed));
        }
    }
}

// Guards against an attempt that is cut at its time limit although no other server may be asked.
TEST_CASE("a slow answer is passed on when the request can't be sent again", "[promise-4]")
{
    struct Case
    {
        std::string name;
        std::optional<Milliseconds> stopAfter; ///< SIGTERM, counted from the request
    };
    const std::vector<Case> cases = {
        {"no stop", std::nullopt},
        {"a stop before the usual time limit", Milliseconds(200)},
        {"a stop after the usual time limit", Milliseconds(600)},
    };
    std::uint8_t network = Network + 1;
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment("slow-answer-" + std::to_string(network), network, 1);
        ++network;
        deployment.platform.putConfig(smallConfig(3, 1));
        deployment.platform.addServer("only", "debits", false, Milliseconds(20));
        learnUsualTime(deployment);
        const Endpoint node{deployment.addressOf(0), NodeCallersPort};
        WorkRequest slow(node, headOf("GET /v1/x") + "X-Snipevalve-Request-Id: slow\r\n", Milliseconds(1'200));
        if (each.stopAfter) {
            std::this_thread::sleep_for(*each.stopAfter);
            deployment.node(0).terminate();
        }
        CHECK(slow.join() == 200);
    }
}

} // namespace snipevalve::standins
