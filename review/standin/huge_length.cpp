#include "harness.hpp"

using namespace review;

namespace {

constexpr Milliseconds StartTimeout(20'000);
constexpr int KeptCallerCount = 8;
constexpr int LossesAllowed = 3; ///< "more than three times"
constexpr Milliseconds ContactTime(3'000); ///< the machine is in touch after it has run so long without disturbance
constexpr Milliseconds FaultTime(5'000);

/// One of two servers of a service spoils one answer: its Content-Length is a wrong, huge number. Meanwhile other
/// callers use a sound server of another service over kept connections.
Verdict play(Record &record, const std::string &node)
{
    Deployment deployment(record, node, smallConfig(3));
    Server &faulty = deployment.addServer({.id = "debit-a", .service = "debits", .slots = 4});
    deployment.addServer({.id = "debit-b", .service = "debits", .slots = 4});
    Server &sound = deployment.addServer({.id = "ledger-a", .service = "ledger", .keyed = true, .slots = 16});
    std::atomic<bool> isFaulty = false;
    std::atomic<int> answers = 0;
    std::atomic<int> spoiled = 0;
    faulty.onAnswer = [&](Server &, const Request &request, Response &response, Tcp::socket &socket, std::uint64_t) {
        ++answers;
        if (!isFaulty || spoiled > 0) {
            return true;
        }
        ++spoiled;
        std::ostringstream text;
        response.set(http::field::content_length, "1000000000000000");
        text << response;
        ErrorCode error;
        asio::write(socket, asio::buffer(text.str()), error);
        record.tell("debit-a answers id=" + std::string(request["X-Snipevalve-Request-Id"])
                    + " with Content-Length: 1000000000000000");
        pause(Milliseconds(2'000));
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
    const auto sendFor = [&](Milliseconds time) {
        const TimePoint end = Clock::now() + time;
        while (Clock::now() < end && !limit.hasEnded()) {
            deployment.send(0, "GET", "/d/x", -1, {}, Milliseconds(1'500));
            pause(Milliseconds(20));
        }
    };
    sendFor(ContactTime);
    isFaulty = hasTrouble();
    record.tell(isFaulty ? "debit-a turns faulty" : "no fault is played");
    sendFor(FaultTime);
    kept.stop();
    record.tell("answers of debit-a: " + std::to_string(answers) + ", spoiled: " + std::to_string(spoiled)
                + "; the node has ended: " + (limit.hasEnded() ? "yes" : "no"));
    record.tell("requests on kept connections: answered " + std::to_string(kept.answered())
                + ", passed on to a sound server and closed without an answer " + std::to_string(kept.lost()));
    if (hasTrouble() && spoiled == 0) {
        return CouldNotRun;
    }
    return kept.lost() > LossesAllowed ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
