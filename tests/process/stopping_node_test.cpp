#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <list>
#include <set>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 160;
constexpr Milliseconds Grace(6'000); ///< from SIGTERM to SIGKILL

/// @brief Sends a request in two parts over a connection of its own, and reads the response to its end.
class TwoPartCaller
{
public:
    /// @param rest empty if the request never becomes whole
    TwoPartCaller(const Endpoint &node, const std::string &start, const std::string &rest, TimePoint restAt)
        : m_thread([this, node, start, rest, restAt]() {
            asio::io_context context;
            Tcp::socket socket(context);
            ErrorCode error;
            socket.connect(toTcp(node), error);
            asio::write(socket, asio::buffer(start), error);
            if (!rest.empty()) {
                std::this_thread::sleep_until(restAt);
                asio::write(socket, asio::buffer(rest), error);
            }
            beast::flat_buffer buffer;
            http::response_parser<http::string_body> parser;
            http::read(socket, buffer, parser, error);
            m_status = error ? 0 : parser.get().result_int();
            m_isLast = !error && !parser.get().keep_alive();
        })
    {
    }

    ~TwoPartCaller()
    {
        join();
    }

    void join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /// @return the status of the response; 0 if there was none
    unsigned status() const
    {
        return m_status;
    }

    /// @return whether the response says that the connection will be closed
    bool isLast() const
    {
        return m_isLast;
    }

private:
    unsigned m_status = 0;
    bool m_isLast = false;
    std::thread m_thread;
};

std::string headOf(const std::string &id, std::size_t bodyBytes)
{
    return "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
        + "\r\nX-Snipevalve-Request-Deadline: 8000\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// @brief The small configuration with time for slow heads.
/// @param timeout of all routes
std::string patientConfig(Milliseconds timeout)
{
    const auto replaceAll = [](std::string text, const std::string &from, const std::string &to) {
        for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
            text.replace(at, from.size(), to);
        }
        return text;
    };
    const std::string config =
        replaceAll(smallConfig(3), "\"timeout_ms\":3000", "\"timeout_ms\":" + std::to_string(timeout.count()));
    return replaceAll(config, R"("metadata":{},"spec":{})", R"("metadata":{},"spec":{"header_timeout_ms":8000})");
}

std::set<std::string> idsOf(const std::vector<RequestArrival> &arrivals)
{
    std::set<std::string> ids;
    for (const RequestArrival &arrival : arrivals) {
        ids.insert(arrival.requestId);
    }
    return ids;
}

} // namespace

// Guards against requests that come late in a planned stop and are passed on only to be cut at its end.
TEST_CASE("requests that become whole late in a stop are served if they can end in time, else refused as not run",
          "[promise-4]")
{
    struct Case
    {
        std::string name;
        Milliseconds serviceTime;
        Milliseconds timeout; ///< of the route; longer than the node needs to stop, or short
        Milliseconds servedUntil; ///< requests that are whole by then, counted from SIGTERM, must be served
    };
    const std::vector<Case> cases = {
        {"a server that takes 50 ms", Milliseconds(50), Milliseconds(8'000), Milliseconds(2'950)},
        {"a server that takes 50 ms, on a route of a second", Milliseconds(50), Milliseconds(1'000),
         Milliseconds(3'900)},
        {"a server that takes 800 ms", Milliseconds(800), Milliseconds(8'000), Milliseconds(2'500)},
    };
    constexpr int Requests = 24;
    constexpr Milliseconds FirstRest(2'800); ///< since SIGTERM
    constexpr Milliseconds RestInterval(120);
    int number = 0;
    for (const Case &each : cases) {
        INFO(each.name);
        const auto network = static_cast<std::uint8_t>(Network + number++);
        NodeDeployment deployment("node-stop-" + std::to_string(number), network, 1);
        deployment.platform.putConfig(patientConfig(each.timeout));
        deployment.platform.addServer("sound", "debits", false, each.serviceTime);
        REQUIRE(deployment.waitUntil(
            [&deployment]() {
                return deployment.sendRequest(0, "POST", "/p/x").status == 200 && deployment.logContains(0, "config=3");
            },
            StartTimeout));
        REQUIRE(deployment.sendRequest(0, "POST", "/p/x").status == 200);
        const Endpoint node{deployment.addressOf(0), NodeCallersPort};
        const TimePoint stoppedAt = Clock::now();
        deployment.node(0).terminate();
        std::list<TwoPartCaller> callers;
        std::vector<Milliseconds> restAt;
        for (int request = 0; request < Requests; ++request) {
            const std::string id = "late-" + std::to_string(request);
            const std::string whole = headOf(id, 4) + "body";
            // The time limit counts from the end of the head.
            const bool isCutInHead = request % 2 == 0 || each.timeout < Grace;
            const std::size_t split = isCutInHead ? whole.size() / 2 : whole.size() - 2;
            restAt.push_back(FirstRest + RestInterval * request);
            callers.emplace_back(node, whole.substr(0, split), whole.substr(split), stoppedAt + restAt.back());
        }
        const std::string unfinished = headOf("unfinished", 100) + "bo";
        TwoPartCaller cutInBody(node, unfinished, "", {});
        TwoPartCaller cutInHead(node, unfinished.substr(0, 30), "", {});
        for (TwoPartCaller &caller : callers) {
            caller.join();
        }
        cutInBody.join();
        cutInHead.join();
        CHECK(Clock::now() - stoppedAt < Grace);
        deployment.node(0).wait(Grace);
        CHECK(Clock::now() - stoppedAt < Grace);
        CHECK(cutInBody.status() == 503);
        CHECK(cutInHead.status() == 503);
        const std::set<std::string> arrived = idsOf(deployment.platform.arrivals());
        int request = 0;
        for (const TwoPartCaller &caller : callers) {
            INFO("whole " << restAt[static_cast<std::size_t>(request)].count() << " ms after SIGTERM");
            const bool isServed = caller.status() == 200;
            CHECK((isServed || caller.status() == 503));
            CHECK(isServed == arrived.contains("late-" + std::to_string(request)));
            CHECK((isServed || restAt[static_cast<std::size_t>(request)] > each.servedUntil));
            CHECK(caller.isLast());
            ++request;
        }
    }
}

// Guards against a reset that discards an answer before the caller has read it.
TEST_CASE("a caller that sends its whole body before it reads gets an early refusal", "[promise-4]")
{
    NodeDeployment deployment("node-early-refusal", Network + 5, 1);
    deployment.platform.addServer("sound", "debits", false, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&deployment]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    struct Case
    {
        std::string path;
        std::size_t bodyBytes;
        unsigned status;
    };
    const std::vector<Case> cases = {
        {"/nowhere/x", 8 << 20, 404}, {"/p/x", 512 << 20, 413}, // over the body limit; only a part of it is sent
    };
    for (const Case &each : cases) {
        for (int time = 0; time < 5; ++time) {
            INFO(each.path);
            std::string head = headOf("early", each.bodyBytes);
            head.replace(head.find("/p/x"), 4, each.path);
            const std::string body(8 << 20, 'b');
            asio::io_context context;
            Tcp::socket socket(context);
            socket.connect(toTcp({deployment.addressOf(0), NodeCallersPort}));
            ErrorCode error;
            asio::write(socket, asio::buffer(head + body), error);
            CHECK_FALSE(error);
            beast::flat_buffer buffer;
            http::response_parser<http::string_body> parser;
            http::read(socket, buffer, parser, error);
            CHECK_FALSE(error);
            CHECK(parser.get().result_int() == each.status);
        }
    }
}

// Guards against connections that wait to be accepted and are reset when the listener closes.
TEST_CASE("a connection in the backlog is served although the listener closes", "[promise-4]")
{
    NodeDeployment deployment("node-backlog", Network + 6, 1);
    deployment.platform.addServer("sound", "debits", false, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&deployment]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    constexpr Milliseconds ListenWhileStopping(2'500);
    const TimePoint stoppedAt = Clock::now();
    deployment.node(0).terminate();
    std::this_thread::sleep_until(stoppedAt + ListenWhileStopping - Milliseconds(200));
    deployment.node(0).freeze();
    const Endpoint node{deployment.addressOf(0), NodeCallersPort};
    std::list<TwoPartCaller> callers;
    for (int caller = 0; caller < 40; ++caller) {
        callers.emplace_back(node, headOf("backlog-" + std::to_string(caller), 4), "body", stoppedAt);
    }
    std::this_thread::sleep_until(stoppedAt + ListenWhileStopping + Milliseconds(100));
    deployment.node(0).resume();
    for (TwoPartCaller &caller : callers) {
        caller.join();
        CHECK((caller.status() == 200 || caller.status() == 503));
    }
}

// Guards against signals that end a node which has just started, since its handlers are not installed yet.
TEST_CASE("a node that gets a SIGHUP while it starts goes on, and one that gets a SIGTERM stops in order",
          "[promise-8]")
{
    const std::string folder = std::string(TEST_FOLDER) + "/node-early-signal";
    const std::string address = "127." + std::to_string(Network + 7) + ".1.1";
    const std::string settings = folder + "/settings.toml";
    const std::string pipe = folder + "/settings.pipe"; // the node waits in main() for what it reads from here
    std::filesystem::create_directories(folder);
    for (const int signal : {SIGHUP, SIGTERM}) {
        INFO("signal " << signal);
        writeNodeSettings(settings, "node-0", address, {address, NodeCallersPort});
        std::ifstream file(settings);
        const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        std::filesystem::remove(pipe);
        REQUIRE(::mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR) == 0);
        const std::string log = folder + "/node.log";
        std::filesystem::remove(log);
        Process node(std::string(BINARY_FOLDER) + "/snipevalve-node", {"--settings=" + pipe}, log);
        const auto waitUntil = [](const std::function<bool()> &condition) {
            const TimePoint end = Clock::now() + StartTimeout;
            while (!condition() && Clock::now() < end) {
                std::this_thread::sleep_for(Milliseconds(5));
            }
            return condition();
        };
        int writer = -1;
        REQUIRE(waitUntil([&]() {
            writer = writer < 0 ? ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK) : writer; // fails until there is a reader
            return writer >= 0;
        }));
        ::kill(node.pid(), signal);
        std::filesystem::rename(settings, pipe); // for the reload
        CHECK(::write(writer, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(writer);
        if (signal == SIGTERM) {
            CHECK(node.wait(Grace) == 0);
            continue;
        }
        CHECK(waitUntil([&log]() {
            std::ifstream lines(log);
            const std::string all((std::istreambuf_iterator<char>(lines)), std::istreambuf_iterator<char>());
            return all.find("event=reload settings=valid") != std::string::npos;
        }));
        CHECK(node.isRunning());
    }
}

} // namespace snipevalve::standins
