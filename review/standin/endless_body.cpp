#include "harness.hpp"

using namespace review;

namespace {

constexpr Milliseconds StartTimeout(20'000);
constexpr Milliseconds RouteTimeout(1'500); ///< of the route /d/
constexpr Milliseconds Slack(500); ///< "0.5 s after it"
constexpr Milliseconds Patience(20'000); ///< how long the callers of this case stay
constexpr int CallerCount = 12;
constexpr int UnendedAllowed = 7; ///< "Eight or more of them, and over a quarter"
constexpr std::size_t CallerBytesPerMs = 2'000; ///< each caller reads 2 MB a second
constexpr std::size_t PartBytes = 16 << 10;

/// One of two servers of a service sends the body of its answers without end. The callers read it; their route has a
/// timeout.
Verdict play(Record &record, const std::string &node)
{
    Deployment deployment(record, node, smallConfig(3));
    Server &faulty = deployment.addServer({.id = "debit-a", .service = "debits"});
    deployment.addServer({.id = "debit-b", .service = "debits"});
    std::atomic<bool> isFaulty = false;
    std::atomic<int> endlessAnswers = 0;
    faulty.onAnswer = [&](Server &, const Request &request, Response &response, Tcp::socket &socket, std::uint64_t) {
        if (!isFaulty) {
            return true;
        }
        ++endlessAnswers;
        const std::string id(request["X-Snipevalve-Request-Id"]);
        record.add("server=debit-a answers id=" + id + " without end");
        const std::string head = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Response-Stamp: " + std::string(response["X-Snipevalve-Response-Stamp"])
            + "\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string part = "4000\r\n" + std::string(PartBytes, 'x') + "\r\n";
        ErrorCode error;
        asio::write(socket, asio::buffer(head), error);
        while (!error) {
            asio::write(socket, asio::buffer(part), error);
        }
        record.add("server=debit-a stops id=" + id + ": " + error.message());
        return false;
    };
    deployment.startNode(0);
    if (!deployment.waitUntil(
            [&]() {
                return deployment.send(0, "GET", "/d/x").status == 200;
            },
            StartTimeout)) {
        record.tell("the deployment did not start");
        return CouldNotRun;
    }
    record.tell("the service is served");
    isFaulty = hasTrouble();
    std::atomic<int> late = 0; // lasted longer than the timeout
    std::atomic<int> unended = 0; // and had no end 0.5 s after it
    std::atomic<int> ended = 0;
    std::atomic<std::int64_t> longestMs = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < CallerCount; ++caller) {
        callers.emplace_back([&]() {
            const std::string id = deployment.nextId();
            asio::io_context context;
            Tcp::socket socket(context);
            ErrorCode error;
            socket.connect(Tcp::endpoint(asio::ip::make_address(deployment.addressOf(0)), deployment.frontPort(0)),
                           error);
            const std::string request = "GET /d/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
                + "\r\nX-Snipevalve-Request-Deadline: 3000\r\nConnection: close\r\n\r\n";
            record.add("caller sends id=" + id);
            const TimePoint sentAt = Clock::now();
            asio::write(socket, asio::buffer(request), error);
            std::string data(PartBytes, '\0');
            std::size_t received = 0;
            while (!error && Clock::now() - sentAt < Patience) {
                received += socket.read_some(asio::buffer(data), error);
                std::this_thread::sleep_until(
                    std::min(Clock::now() + Milliseconds(50), sentAt + Milliseconds(received / CallerBytesPerMs)));
            }
            const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt);
            record.add("caller id=" + id + (error ? " ended: " + error.message() : " has no end") + " after "
                       + std::to_string(took.count()) + " ms, received " + std::to_string(received) + " bytes");
            late += took > RouteTimeout;
            unended += took > RouteTimeout + Slack;
            ended += took <= RouteTimeout;
            longestMs = std::max<std::int64_t>(longestMs, took.count());
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    record.tell("answers without end: " + std::to_string(endlessAnswers) + "; requests ended in time "
                + std::to_string(ended) + ", later than the route's timeout " + std::to_string(late)
                + ", without an end 0.5 s after it " + std::to_string(unended) + ", the longest after "
                + std::to_string(longestMs) + " ms");
    if (hasTrouble() && endlessAnswers == 0) {
        return CouldNotRun;
    }
    return unended > UnendedAllowed && unended * 4 > late ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
