/// @file Starts a whole deployment with the stand-ins, sends its mix of requests, checks their history and prints a
/// summary.
#include <iomanip>
#include <iostream>

#include <docopt/docopt.h>

#include "standins/deployment.hpp"
#include "standins/history.hpp"

namespace {

using namespace snipevalve;
using namespace snipevalve::standins;

const char Usage[] = R"(Starts a whole deployment on loopback, sends its mix of requests and prints a summary.

Usage:
  standin-run --deployment=FILE --binaries=DIR --folder=DIR [--seconds=N] [--rate=N] [--once]
  standin-run --help

Options:
  --deployment=FILE  A deployment file, such as those in examples/.
  --binaries=DIR     Folder with the built programs.
  --folder=DIR       Folder for settings and logs; deleted and created again.
  --seconds=N        How long each round of load lasts [default: 5].
  --rate=N           Requests a second [default: 1500].
  --once             Exit after one round; otherwise go on with rounds until interrupted.
)";

std::size_t countOf(const HistoryReport &report, CallEnd end)
{
    const auto found = report.ends.find(end);
    return found == report.ends.end() ? 0 : found->second;
}

void print(const DeploymentFile &file, const HistoryReport &report, std::size_t requests)
{
    std::cout << std::fixed << std::setprecision(2) << file.name << ": " << requests << " requests, "
              << countOf(report, CallEnd::Answered) << " answered, " << countOf(report, CallEnd::NotRun) << " not run, "
              << countOf(report, CallEnd::Unknown) << " unknown, " << countOf(report, CallEnd::Lost) << " lost, "
              << countOf(report, CallEnd::Wrong) << " wrong\n"
              << "  time p50 " << report.medianMs << " ms, p99 " << report.p99Ms << " ms\n"
              << "  churn " << report.movedSlots * 100 << " % of the slots, unavailable "
              << report.unavailableKeySeconds << " key-seconds, longest " << report.longestUnavailableSeconds
              << " s\n  imbalance (most over mean)";
    for (const auto &[service, value] : report.imbalance) {
        std::cout << " " << service << " " << value;
    }
    std::cout << "\n";
    for (const std::string &violation : report.violations) {
        std::cout << "  VIOLATION " << violation << "\n";
    }
}

HistoryReport runLoad(Deployment &deployment, double rate, Milliseconds duration, std::uint64_t seed)
{
    LoadGeneratorOptions options;
    for (const HostProcesses &host : deployment.hosts()) {
        options.entries.push_back(deployment.entryOf(host));
        options.readiness.push_back(deployment.opsOf(host));
    }
    options.mix = deployment.file().mix;
    options.workers = 48;
    options.rate = rate;
    options.seed = seed;
    LoadGenerator caller(options);
    caller.start();
    sleepFor(duration);
    caller.stop();
    const std::vector<CallRecord> records = caller.records();
    const HistoryReport report = checkHistory(records, readRuns(deployment.serverLog()));
    print(deployment.file(), report, records.size());
    return report;
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    DeploymentOptions options;
    options.binaries = arguments.at("--binaries").asString();
    options.folder = arguments.at("--folder").asString();
    Deployment deployment(readDeployment(arguments.at("--deployment").asString()), options);
    constexpr Milliseconds StartTimeout(20'000);
    const TimePoint startedAt = Clock::now();
    if (!deployment.start(StartTimeout)) {
        std::cout << "the deployment did not become ready; its logs are in " << options.folder << "\n";
        return 1;
    }
    const std::chrono::duration<double> took = Clock::now() - startedAt;
    std::cout << deployment.file().name << ": " << deployment.hosts().size() << " hosts and "
              << deployment.servers().size() << " servers are ready after " << std::fixed << std::setprecision(1)
              << took.count() << " s\n";
    const Milliseconds duration(arguments.at("--seconds").asLong() * 1000);
    const auto rate = static_cast<double>(arguments.at("--rate").asLong());
    const bool once = arguments.at("--once").asBool();
    bool isSuccessful = true;
    for (std::uint64_t seed = 1; seed == 1 || !once; ++seed) {
        const HistoryReport report = runLoad(deployment, rate, duration, seed);
        isSuccessful = report.violations.empty() && report.ends.size() == 1 && countOf(report, CallEnd::Answered) > 0;
    }
    return isSuccessful ? 0 : 1;
}
