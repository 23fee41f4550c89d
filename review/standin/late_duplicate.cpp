#include "harness.hpp"

using namespace review;

namespace {

constexpr Milliseconds StartTimeout(20'000);
constexpr Milliseconds LongWork(900);

/// A server of the keyed service sends a second copy of its answer to a grant, late: where the answer to the next call
/// on that connection is expected. Then it drains, while it works on requests.
Verdict play(Record &record, const std::string &node)
{
    Deployment deployment(record, node, smallConfig(3));
    Server &first = deployment.addServer({.id = "ledger-a", .service = "ledger", .keyed = true});
    Server &second = deployment.addServer({.id = "ledger-b", .service = "ledger", .keyed = true});

    std::atomic<int> breaches = 0;
    const auto checkGrant = [&](Server &server, int from, int to, std::uint64_t fence) {
        Server &other = &server == &first ? second : first;
        // Locked in one order only: `second` is the one that gets the keys of `first`.
        if (&other != &first) {
            return;
        }
        const std::lock_guard lock(other.mutex);
        const TimePoint now = Clock::now();
        for (const Run &run : other.runs) {
            const bool isAtWork = !run.end && run.key >= from && run.key <= to;
            if (!isAtWork || other.holdsByKey[run.key].end <= now) {
                continue;
            }
            const auto left = std::chrono::duration_cast<Milliseconds>(other.holdsByKey[run.key].end - now).count();
            ++breaches;
            record.tell("OWNER: " + server.options().id + " is given key " + std::to_string(run.key) + " (fence "
                        + std::to_string(fence) + ") while " + other.options().id + " is at work on it (id=" + run.id
                        + "), " + std::to_string(left) + " ms before its hold would have run out");
        }
    };
    first.onGrant = checkGrant;
    second.onGrant = checkGrant;

    // The fault: one extra copy of one grant's answer, at the point where the next answer is expected.
    std::atomic<bool> mayDuplicate = false;
    std::atomic<int> extras = 0;
    std::mutex mutex;
    std::map<std::uint64_t, std::string> copies; // by connection
    first.onAnswer = [&](Server &, const Request &request, Response &response, Tcp::socket &,
                         std::uint64_t connection) {
        const std::lock_guard lock(mutex);
        if (request.target() == "/grant" && mayDuplicate) {
            std::ostringstream text;
            text << response;
            copies[connection] = text.str();
        }
        return true;
    };
    first.onArrival = [&](Server &server, const Request &request, Tcp::socket &socket, std::uint64_t connection) {
        const std::lock_guard lock(mutex);
        const auto copy = copies.find(connection);
        if (copy == copies.end() || extras > 0 || request.target() != "/release") {
            return;
        }
        const Json body = Json::parse(request.body());
        {
            const std::lock_guard stateLock(server.mutex);
            const bool isAtWork = std::any_of(server.runs.begin(), server.runs.end(), [&body](const Run &run) {
                return !run.end && run.key >= body.at("from") && run.key <= body.at("to");
            });
            if (!server.draining || !isAtWork) {
                return;
            }
        }
        ++extras;
        ErrorCode ignored;
        asio::write(socket, asio::buffer(copy->second), ignored);
        record.tell(server.options().id + " sends the answer to an earlier grant once more, where the answer to "
                    + std::string(request.target()) + " is expected");
    };

    for (int index = 0; index < 2; ++index) {
        deployment.startNode(index);
    }
    const auto servesAll = [&]() {
        for (int key = 100; key < 65536; key += 8192) {
            if (deployment.send(key % 2, "GET", "/k/x", key).status != 200) {
                return false;
            }
        }
        return true;
    };
    if (!deployment.waitUntil(servesAll, StartTimeout)) {
        record.tell("the deployment did not start");
        return CouldNotRun;
    }
    record.tell("all keys are served");

    // Two callers for each of three keys, so that their server is always at work on these, and some short requests.
    std::atomic<bool> stopping = false;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 6; ++caller) {
        callers.emplace_back([&, caller]() {
            pause(LongWork / 2 * (caller % 2));
            while (!stopping) {
                deployment.send(caller % 2, "POST", "/u/x?work=" + std::to_string(LongWork.count()),
                                500 + caller / 2 * 8192, "photo");
            }
        });
    }
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller]() {
            int key = 1000 + caller * 16384;
            while (!stopping) {
                deployment.send(caller % 2, "GET", "/k/x?work=20", key = (key + 7) % 65536);
                pause(Milliseconds(40));
            }
        });
    }
    mayDuplicate = hasTrouble();
    pause(Milliseconds(4'000));
    int answersBefore = 0;
    {
        const std::lock_guard lock(first.mutex);
        answersBefore = first.answers;
        first.draining = true;
    }
    record.tell("ledger-a reports draining; it has given " + std::to_string(answersBefore) + " answers");
    pause(Milliseconds(6'000));
    stopping = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    bool hasMoved = false;
    {
        const std::lock_guard lock(second.mutex);
        hasMoved = second.holds(100, Clock::now()) && second.holds(65000, Clock::now());
    }
    int overlaps = 0;
    {
        const std::scoped_lock lock(first.mutex, second.mutex);
        for (const Run &ours : first.runs) {
            for (const Run &theirs : second.runs) {
                const bool overlap = ours.key == theirs.key && theirs.begin < ours.end.value_or(Clock::now())
                    && ours.begin < theirs.end.value_or(Clock::now());
                if (overlap) {
                    ++overlaps;
                    record.tell("both servers were at work on key " + std::to_string(ours.key) + ": ids " + ours.id
                                + " and " + theirs.id);
                }
            }
        }
    }
    record.tell("extra answers=" + std::to_string(extras) + " of " + std::to_string(answersBefore)
                + " breaches=" + std::to_string(breaches) + " overlaps=" + std::to_string(overlaps)
                + " keys_moved=" + std::to_string(hasMoved));
    if (hasTrouble() && extras == 0) {
        return CouldNotRun;
    }
    return breaches > 0 ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
