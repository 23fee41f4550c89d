#include <sys/resource.h>

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
    R"(snipevalve-soak runs real nodes as processes, injects faults from outside them and checks the guarantees.

Usage:
  snipevalve-soak --list=FILE [options]
  snipevalve-soak [options]
  snipevalve-soak --help

Options:
  --seed=N        The first seed; the same seed gives the same faults. 0: taken from the clock. [default: 0]
  --seeds=N       Number of consecutive seeds to run. [default: 1]
  --minutes=M     Continue with further seeds until this many minutes have passed. [default: 0]
  --seconds=S     Seconds of faults for each seed. [default: 12]
  --scale=N       Multiplier for the four nodes and nine servers. [default: 1]
  --servers=N     Number of servers, instead of nine times the scale.
  --network=N     Second octet of all addresses; concurrent runs need different ones. [default: 60]
  --binaries=DIR  Folder of the programs. [default: build/bin]
  --node=DIR      Folder of the nodes' program, if it is that of another build.
  --only=KINDS    Only these kinds of fault, separated by commas, as in the list of faults that a finding is printed with.
  --longest-ms=N  Longest duration of a fault of --only. [default: 5000]
  --direct-links  Without proxies between nodes, which earlier builds can't be told of.
  --folder=DIR    For settings and logs, one folder per seed; those of seeds without a finding are removed.
                  [default: /tmp/snipevalve-soak]
  --list=FILE     Run the seeds at the start of the lines of this file.
  --help          Show this text.
)";

/// The first lines of the nodes' logs that contain the id of a request, server or key.
std::string logLinesWith(const std::string &folder, const std::string &id)
{
    constexpr std::size_t MaxLines = 12;
    std::ostringstream text;
    std::size_t lines = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        std::ifstream file(entry.path());
        for (std::string line; std::getline(file, line) && lines < MaxLines;) {
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
    std::cout << "seed " << seed << ": " << result.violations.size() << " findings, " << result.schedule.size()
              << " faults, " << result.served << " of " << result.requests << " requests served, regained after "
              << result.recoveryTime.count() << " ms; processor time in " << result.elapsed.count() << " ms: store "
              << result.storeTime.count() << ", callers " << result.callersTime.count() << ", proxies "
              << result.proxiesTime.count() << " ms" << std::endl;
    if (result.violations.empty()) {
        return;
    }
    constexpr std::size_t MaxPrinted = 5;
    std::map<std::string, std::size_t> counts;
    for (const Violation &violation : result.violations) {
        if (++counts[violation.guarantee] <= MaxPrinted) {
            std::cout << "  " << violation.guarantee << ": " << violation.id << " " << violation.what << "\n"
                      << logLinesWith(folder, violation.id);
        }
    }
    for (const auto &[guarantee, count] : counts) {
        std::cout << "  " << count << " x " << guarantee << "\n";
    }
    std::cout << "  faults:\n" << describe(result.schedule) << "  logs: " << folder << std::endl;
}

std::vector<std::uint64_t> readSeeds(const std::string &path)
{
    std::vector<std::uint64_t> seeds;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#') {
            seeds.push_back(std::stoull(line));
        }
    }
    return seeds;
}

/// @brief Runs one seed.
/// @return whether it had no findings
bool runSeed(SoakOptions options, const std::string &folder)
{
    options.folder = folder + "/seed-" + std::to_string(options.seed);
    SoakResult result;
    {
        SoakRun run(options);
        result = run.run();
    }
    print(options.seed, result, options.folder);
    if (result.violations.empty()) {
        std::filesystem::remove_all(options.folder);
    }
    return result.violations.empty();
}

std::uint64_t parseNumber(const std::map<std::string, docopt::value> &arguments, const std::string &name)
{
    return std::stoull(arguments.at(name).asString());
}

/// Each connection through a proxy takes two descriptors of this process.
void raiseFileLimit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main(int argc, char **argv)
{
    raiseFileLimit();
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    const std::uint64_t scale = parseNumber(arguments, "--scale");
    const std::string folder = arguments.at("--folder").asString();
    SoakOptions options;
    options.network = static_cast<std::uint8_t>(parseNumber(arguments, "--network"));
    options.nodes *= static_cast<unsigned>(scale);
    options.keyedServers *= static_cast<unsigned>(scale);
    options.poolServers *= static_cast<unsigned>(scale);
    if (arguments.at("--servers").isString()) {
        const auto servers = static_cast<unsigned>(parseNumber(arguments, "--servers"));
        options.keyedServers = servers * options.keyedServers / (options.keyedServers + options.poolServers);
        options.poolServers = servers - options.keyedServers;
    }
    options.traffic = std::chrono::seconds(parseNumber(arguments, "--seconds"));
    options.serverBinaries = arguments.at("--binaries").asString();
    const docopt::value &node = arguments.at("--node");
    options.binaries = node.isString() ? node.asString() : options.serverBinaries;
    options.proxiesLinks = !arguments.at("--direct-links").asBool();
    options.longestFault = Milliseconds(parseNumber(arguments, "--longest-ms"));
    std::istringstream kinds(arguments.at("--only").isString() ? arguments.at("--only").asString() : std::string());
    for (std::string name; std::getline(kinds, name, ',');) {
        const std::optional<FaultKind> kind = parseFaultKind(name);
        if (!kind) {
            std::cerr << "no kind of fault is called \"" << name << "\"" << std::endl;
            return 2;
        }
        options.only.push_back(*kind);
    }
    std::vector<std::uint64_t> seeds;
    if (arguments.at("--list").isString()) {
        seeds = readSeeds(arguments.at("--list").asString());
    }
    std::uint64_t next = parseNumber(arguments, "--seed");
    if (next == 0) {
        next = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()) % 1'000'000;
    }
    const std::uint64_t count = parseNumber(arguments, "--seeds");
    for (std::uint64_t more = 0; !arguments.at("--list").isString() && more < count; ++more) {
        seeds.push_back(next++);
    }
    const TimePoint end = Clock::now() + std::chrono::minutes(parseNumber(arguments, "--minutes"));
    std::size_t failed = 0;
    for (std::size_t at = 0; at < seeds.size(); ++at) {
        options.seed = seeds[at];
        failed += runSeed(options, folder) ? 0 : 1;
        if (at + 1 == seeds.size() && Clock::now() < end) {
            seeds.push_back(next++);
        }
    }
    std::cout << "soak: " << seeds.size() - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? 0 : 1;
}
