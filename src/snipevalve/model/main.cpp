#include <cstdio>
#include <iostream>
#include <map>

#include <docopt/docopt.h>

#include "snipevalve/model/load_file.hpp"
#include "snipevalve/model/simulation.hpp"

namespace {

constexpr const char *Usage =
    R"(snipevalve-experiment simulates loads in virtual time with the dispatcher and compares policies.

Usage:
  snipevalve-experiment --loads=FILE [--csv] [--seed=N]
  snipevalve-experiment --help

Options:
  --loads=FILE  TOML file with the loads; see examples/experiments/.
  --csv         Print comma-separated values.
  --seed=N      Use this seed in place of the file's.
)";

double toMs(snipevalve::Seconds seconds)
{
    constexpr double MsInSecond = 1'000;
    return seconds.count() * MsInSecond;
}

void printRow(bool csv, const std::string &load, std::string_view policy, const std::string &name,
              const snipevalve::model::RequestStats &stats, const snipevalve::model::Report &report)
{
    const char *format = csv ? "%s,%.*s,%s,%.3f,%.3f,%lu,%lu,%lu,%lu,%lu,%.0f,%.0f,%lu,%.2f\n"
                             : "%-20s %-12.*s %-10s %6.3f %6.3f %7lu %7lu %6lu %7lu %6lu %7.0f %7.0f %9lu %6.2f\n";
    std::printf(format, load.c_str(), static_cast<int>(policy.size()), policy.data(), name.c_str(), stats.worth,
                report.worthBound, stats.requests, stats.inTarget, stats.late, stats.refused, stats.failed,
                toMs(stats.median), toMs(stats.p99), report.serverOverflows, report.maxToMeanLoad);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace snipevalve::model;
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc}, true);
    auto loads = readLoads(arguments.at("--loads").asString());
    if (!loads.ok()) {
        std::cerr << "snipevalve-experiment: " << std::string(loads.status().message()) << "\n";
        return 2;
    }
    const bool csv = arguments.at("--csv").asBool();
    std::printf(csv ? "%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s,%s\n"
                    : "%-20s %-12s %-10s %6s %6s %7s %7s %6s %7s %6s %7s %7s %9s %6s\n",
                "load", "policy", "class", "worth", "bound", "asked", "in time", "late", "refused", "failed", "p50 ms",
                "p99 ms", "overflows", "max/mean");
    for (Load &load : *loads) {
        if (arguments.at("--seed").isString()) {
            load.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
        }
        for (const Policy policy : {Policy::Leader, Policy::Alone, Policy::TwoChoices}) {
            const Report report = simulate(load, policy);
            printRow(csv, load.name, toString(policy), "all", report.all, report);
            for (std::size_t index = 0; load.classes.size() > 1 && index < load.classes.size(); ++index) {
                printRow(csv, load.name, toString(policy), load.classes[index].name, report.byClass[index], report);
            }
        }
    }
    return 0;
}
