#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <docopt/docopt.h>

#include "soak/soak_run.hpp"

namespace {

using namespace snipevalve;
using namespace snipevalve::soak;

constexpr const char *Usage =
    R"(snipevalve-soak runs real nodes as processes, injects faults from outside them and checks the promises.

Usage:
  snipevalve-soak [--seed=N] [--seeds=N] [--minutes=M] [--seconds=S] [--scale=N] [--network=N] [--binaries=DIR] [--folder=DIR]
  snipevalve-soak --help

Options:
  --seed=N        The first seed; the same seed gives the same faults. By default drawn from the clock. [default: 0]
  --seeds=N       How many seeds, one after the other. [default: 1]
  --minutes=M     Go on with further seeds until so many minutes have passed. [default: 0]
  --seconds=S     Seconds of faults for each seed. [default: 12]
  --scale=N       1: four nodes and nine servers; N: so many times as many. [default: 1]
  --network=N     Second part of all addresses; runs at the same time need different ones. [default: 60]
  --binaries=DIR  Folder of the programs. [default: build/bin]
  --folder=DIR    For settings and logs, one folder a seed; those of seeds without a finding are removed.
                  [default: /tmp/snipevalve-soak]
  --help          Show this text.
)";

/// Lines of the nodes' logs that name a request, server or key.
std::string logLinesOf(const std::string &folder, const std::string &id)
{
    constexpr std::size_t MostLines = 12;
    std::ostringstream text;
    std::size_t lines = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line) && lines < MostLines;) {
            if (!id.empty() && line.find(id) != std::string::npos) {
                text << "    " << entry.path().filename().string() << ": " << line << "\n";
                ++lines;
            }
        }
    }
    return text.str();
}

void print(std::uint64_t seed, const SoakResult &result, const std::string &folder)
{
    std::cout << "seed " << seed << ": " << result.breaches.size() << " findings, " << result.schedule.size()
              << " faults, " << result.served << " of " << result.requests << " requests served, regained after "
              << result.regained.count() << " ms\n";
    if (result.breaches.empty()) {
        return;
    }
    constexpr std::size_t MostPrinted = 5;
    std::map<std::string, std::size_t> counts;
    for (const Breach &breach : result.breaches) {
        if (++counts[breach.promise] <= MostPrinted) {
            std::cout << "  " << breach.promise << ": " << breach.id << " " << breach.what << "\n"
                      << logLinesOf(folder, breach.id);
        }
    }
    for (const auto &[promise, count] : counts) {
        std::cout << "  " << count << " x " << promise << "\n";
    }
    std::cout << "  faults:\n" << describe(result.schedule) << "  logs: " << folder << std::endl;
}

std::uint64_t numberOf(const std::map<std::string, docopt::value> &arguments, const std::string &name)
{
    return std::stoull(arguments.at(name).asString());
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    std::uint64_t seed = numberOf(arguments, "--seed");
    if (seed == 0) {
        seed = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) % 1'000'000;
    }
    const std::uint64_t scale = numberOf(arguments, "--scale");
    const TimePoint end = Clock::now() + std::chrono::minutes(numberOf(arguments, "--minutes"));
    const std::uint64_t lastSeed = seed + numberOf(arguments, "--seeds");
    std::size_t runs = 0;
    std::size_t failed = 0;
    for (; seed < lastSeed || Clock::now() < end; ++seed) {
        SoakOptions options;
        options.seed = seed;
        options.network = static_cast<std::uint8_t>(numberOf(arguments, "--network"));
        options.nodes *= static_cast<unsigned>(scale);
        options.keyedServers *= static_cast<unsigned>(scale);
        options.poolServers *= static_cast<unsigned>(scale);
        options.traffic = std::chrono::seconds(numberOf(arguments, "--seconds"));
        options.binaries = arguments.at("--binaries").asString();
        options.folder = arguments.at("--folder").asString() + "/seed-" + std::to_string(seed);
        SoakResult result;
        {
            SoakRun run(options);
            result = run.run();
        }
        print(seed, result, options.folder);
        ++runs;
        failed += result.breaches.empty() ? 0 : 1;
        if (result.breaches.empty()) {
            std::filesystem::remove_all(options.folder);
        }
    }
    std::cout << "soak: " << runs - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
