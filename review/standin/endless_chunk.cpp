#include "harness.hpp"

using namespace review;

namespace {

constexpr Milliseconds StartTimeout(20'000);
/// What a link of 1,000 Mbit/s carries.
constexpr double LinkBytesPerSecond = 125e6;
constexpr std::size_t PartBytes = 64 << 10;
constexpr int KeptCallerCount = 8;
constexpr int LossesAllowed = 3; ///< "more than three times"
constexpr Milliseconds ContactTime(3'000); ///< the machine is in touch after it has run so long without disturbance
constexpr Milliseconds FaultTime(10'000);

/// Paces the bytes that the faulty server sends on all its connections to its link.
class Link
{
public:
    void take(std::size_t bytes)
    {
        TimePoint until;
        {
            const std::lock_guard lock(m_mutex);
            m_freeAt = std::max(m_freeAt, Clock::now() - Milliseconds(20))
                + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bytes / LinkBytesPerSecond));
            until = m_freeAt;
        }
        std::this_thread::sleep_until(until);
    }

private:
    std::mutex m_mutex;
    TimePoint m_freeAt;
};

/// One of two servers of a service answers an upload with a head that is in order and then, in the body, with bytes
/// that are no chunk, until the caller closes. Meanwhile other callers use the sound servers of another service over
/// kept connections. The platform ends a process that exceeds its memory.
Verdict play(Record &record, const std::string &node)
{
    Deployment deployment(record, node, smallConfig(3));
    Server &faulty = deployment.addServer({.id = "debit-a", .service = "debits"});
    deployment.addServer({.id = "debit-b", .service = "debits"});
    Server &sound = deployment.addServer({.id = "ledger-a", .service = "ledger", .keyed = true, .slots = 16});

    std::atomic<bool> isFaulty = false;
    std::atomic<int> endlessAnswers = 0;
    Link link;
    faulty.onAnswer = [&](Server &, const Request &request, Response &response, Tcp::socket &socket, std::uint64_t) {
        if (!isFaulty) {
            return true;
        }
        ++endlessAnswers;
        const std::string id(request["X-Snipevalve-Request-Id"]);
        record.add("server=debit-a answers id=" + id + " without end");
        const std::string head = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Response-Stamp: " + std::string(response["X-Snipevalve-Response-Stamp"])
            + "\r\nTransfer-Encoding: chunked\r\n\r\n5;";
        const std::string part(PartBytes, 'x');
        ErrorCode error;
        asio::write(socket, asio::buffer(head), error);
        std::size_t sent = 0;
        while (!error) {
            link.take(PartBytes);
            asio::write(socket, asio::buffer(part), error);
            sent += error ? 0 : PartBytes;
        }
        record.add("server=debit-a stops id=" + id + " after " + std::to_string(sent >> 20)
                   + " MB: " + error.message());
        return false;
    };

    deployment.startNode(0);
    const auto serves = [&]() {
        return deployment.send(0, "GET", "/d/x").status == 200 && deployment.send(0, "GET", "/k/x", 7).status == 200;
    };
    if (!deployment.waitUntil(serves, StartTimeout)) {
        record.tell("the deployment did not start");
        return CouldNotRun;
    }
    record.tell("all services are served");

    MemoryLimit limit(record, deployment, 0);
    KeptCallers kept(record, deployment, sound, 0, KeptCallerCount);
    pause(ContactTime);
    isFaulty = hasTrouble();
    record.tell(isFaulty ? "debit-a turns faulty" : "no fault is played");
    const TimePoint end = Clock::now() + FaultTime;
    while (Clock::now() < end && !limit.hasEnded()) {
        deployment.send(0, "POST", "/f/x", -1, "photo", Milliseconds(4'000));
        pause(Milliseconds(100));
    }
    kept.stop();
    record.tell("answers without end: " + std::to_string(endlessAnswers) + ", peak memory of the node "
                + std::to_string(limit.peakMb()) + " MB of " + std::to_string(Deployment::MemoryMb) + " MB");
    record.tell("requests on kept connections: answered " + std::to_string(kept.answered())
                + ", passed on to a sound server and closed without an answer " + std::to_string(kept.lost()));
    if (hasTrouble() && endlessAnswers == 0) {
        return CouldNotRun;
    }
    return kept.lost() > LossesAllowed ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
