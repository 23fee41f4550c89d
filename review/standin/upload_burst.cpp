#include "harness.hpp"

using namespace review;

namespace {

constexpr Milliseconds StartTimeout(20'000);
constexpr int KeptCallerCount = 8;
constexpr int LossesAllowed = 3; ///< "more than three times"
constexpr Milliseconds ContactTime(3'000); ///< the machine is in touch after it has run so long without disturbance
constexpr Milliseconds BurstTime(3'000);
constexpr std::size_t BodyBytes = 27'000'000; ///< well below max_body_bytes, which is 67,108,864
constexpr int UsualUploads = 3;
constexpr int BurstUploads = 5; ///< 1.67 times the usual; the pages have bursts of 1.7

/// Several callers upload at once, each within the limit of a body. Meanwhile other callers use a sound server of
/// another service over kept connections. The platform kills a process that exceeds its memory.
Verdict play(Record &record, const std::string &node)
{
    Deployment deployment(record, node, smallConfig(3));
    for (const std::string id : {"debit-a", "debit-b"}) {
        deployment.addServer({.id = id, .service = "debits", .slots = 4});
    }
    Server &sound = deployment.addServer({.id = "ledger-a", .service = "ledger", .keyed = true, .slots = 16});
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
    KeptCallers kept(record, deployment, sound, 0, KeptCallerCount, Milliseconds(900));
    const std::string body(BodyBytes, 'p');
    std::array<std::atomic<int>, 600> statuses{};
    const auto uploadAtOnce = [&](int count) {
        std::vector<std::thread> uploads;
        for (int caller = 0; caller < count; ++caller) {
            uploads.emplace_back([&]() {
                ++statuses[deployment.send(0, "POST", "/f/x?work=200", -1, body, Milliseconds(4'000)).status];
            });
        }
        for (std::thread &thread : uploads) {
            thread.join();
        }
        pause(Milliseconds(700));
    };
    const TimePoint usualEnd = Clock::now() + ContactTime;
    while (Clock::now() < usualEnd) {
        uploadAtOnce(UsualUploads);
    }
    record.tell("usual traffic: peak memory " + std::to_string(limit.peakMb()) + " MB");
    // The burst begins while the sound server works on requests of the kept callers.
    deployment.waitUntil(
        [&]() {
            const std::lock_guard lock(sound.mutex);
            const TimePoint now = Clock::now();
            return std::count_if(sound.runs.begin(), sound.runs.end(),
                                 [now](const Run &run) {
                                     return !run.end && now - run.begin < Milliseconds(300);
                                 })
                >= KeptCallerCount / 2;
        },
        Milliseconds(5'000));
    const TimePoint burstEnd = Clock::now() + BurstTime;
    while (Clock::now() < burstEnd && !limit.hasEnded()) {
        uploadAtOnce(hasTrouble() ? BurstUploads : UsualUploads);
    }
    kept.stop();
    for (std::size_t status = 0; status < statuses.size(); ++status) {
        if (statuses[status] > 0) {
            record.tell("uploads with status " + std::to_string(status) + ": " + std::to_string(statuses[status]));
        }
    }
    record.tell("peak memory of the node " + std::to_string(limit.peakMb()) + " MB of "
                + std::to_string(Deployment::MemoryMb) + " MB");
    record.tell("requests on kept connections: answered " + std::to_string(kept.answered())
                + ", passed on to a sound server and closed without an answer " + std::to_string(kept.lost()));
    return kept.lost() > LossesAllowed ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
