#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <thread>

#include "cases.hpp"
#include "node.hpp"

namespace {

using namespace review;

constexpr const char *Usage = "usage: review-2 CASE RECORD, from the repository's root; CASE is 6 to 9\n";
constexpr std::chrono::seconds LongestRun(115);

[[noreturn]] void endNow(Record &record, const std::string &reason)
{
    Node::killAll();
    record.add("could-not-run reason=\"" + reason + "\"");
    std::_Exit(static_cast<int>(Verdict::CouldNotRun));
}

Verdict play(const std::string &name, Record &record)
{
    const std::map<std::string, std::function<Verdict(Record &)>> cases = {
        {"6", playSmuggledRequest}, {"7", playLostAnswer}, {"8", playReplacedServers}, {"9", playLostHistory}};
    try {
        return cases.at(name)(record);
    } catch (const std::exception &error) {
        record.add(std::string("could-not-run reason=\"") + error.what() + "\"");
        return Verdict::CouldNotRun;
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << Usage;
        return static_cast<int>(Verdict::CouldNotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    sigset_t stops;
    sigemptyset(&stops);
    sigaddset(&stops, SIGTERM);
    sigaddset(&stops, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stops, nullptr); // before any thread starts; nodes unblock them below
    Record record(argv[2]);
    std::thread([&record, stops]() {
        const timespec longest{LongestRun.count(), 0};
        const bool isStopped = sigtimedwait(&stops, nullptr, &longest) > 0;
        endNow(record, isStopped ? "stopped by a signal" : "the case took too long");
    }).detach();
    const Verdict verdict = play(argv[1], record);
    const char *const texts[] = {"the rule held", "the rule was broken", "the case could not run"};
    const std::string text = texts[static_cast<int>(verdict)];
    record.add("verdict exit=" + std::to_string(static_cast<int>(verdict)) + " text=\"" + text + "\"");
    std::cout << text << std::endl;
    Node::killAll();
    std::_Exit(static_cast<int>(verdict)); // threads of the stand-ins still run
}
