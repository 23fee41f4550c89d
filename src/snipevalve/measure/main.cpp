#include <fstream>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#define TOML_HEADER_ONLY 0
#include <toml++/toml.h>

#include "snipevalve/measure/benchmarks.hpp"

namespace {

using namespace snipevalve;

const char Usage[] = R"(Measures how the cost of parts of snipevalve grows with their size.

Usage:
  snipevalve-measure run [--runs=FILE] [--csv=FILE]
  snipevalve-measure table CSV...
  snipevalve-measure plot CSV NAME
  snipevalve-measure list
  snipevalve-measure --help

Options:
  --runs=FILE  TOML with [[run]] name, sizes; by default every benchmark runs at its default sizes.
  --csv=FILE   Write the samples to this file; by default to standard output.

run measures, table prints the lines fitted to CSV files as Markdown, plot prints one of them as SVG, list prints the
benchmarks.
)";

std::map<std::string, std::vector<double>> readRuns(const std::string &path)
{
    std::map<std::string, std::vector<double>> runs;
    const toml::table root = toml::parse_file(path);
    if (const toml::array *array = root["run"].as_array()) {
        for (const toml::node &node : *array) {
            const toml::table &run = *node.as_table();
            std::vector<double> &sizes = runs[run["name"].value_or(std::string())];
            if (const toml::array *list = run["sizes"].as_array()) {
                for (const toml::node &size : *list) {
                    sizes.push_back(size.value_or(0.0));
                }
            }
        }
    }
    return runs;
}

std::vector<Sample> runBenchmarks(const std::map<std::string, std::vector<double>> &runs)
{
    std::vector<Sample> samples;
    for (const Benchmark &benchmark : benchmarks()) {
        const auto run = runs.find(benchmark.name);
        if (!runs.empty() && run == runs.end()) {
            continue;
        }
        const bool hasSizes = run != runs.end() && !run->second.empty();
        for (const double size : hasSizes ? run->second : benchmark.defaultSizes) {
            samples.push_back({benchmark.name, benchmark.sizeUnit, size, benchmark.run(size), benchmark.unit});
            std::cerr << benchmark.name << " at " << size << ": " << samples.back().value << " " << benchmark.unit
                      << "\n";
        }
    }
    return samples;
}

std::vector<FittedLine> fitFiles(const std::vector<std::string> &paths)
{
    std::vector<Sample> samples;
    for (const std::string &path : paths) {
        std::ifstream file(path);
        const std::vector<Sample> fileSamples = readCsv(file);
        samples.insert(samples.end(), fileSamples.begin(), fileSamples.end());
    }
    return fitLines(samples);
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    if (arguments.at("list").asBool()) {
        for (const Benchmark &benchmark : benchmarks()) {
            std::cout << benchmark.name << " (" << benchmark.unit << ") by " << benchmark.sizeUnit << "\n";
        }
        return 0;
    }
    if (arguments.at("table").asBool()) {
        std::cout << toMarkdown(fitFiles(arguments.at("CSV").asStringList()));
        return 0;
    }
    if (arguments.at("plot").asBool()) {
        for (const FittedLine &line : fitFiles(arguments.at("CSV").asStringList())) {
            if (line.name == arguments.at("NAME").asString()) {
                std::cout << toSvg(line);
                return 0;
            }
        }
        std::cerr << "the CSV file has no samples of this name\n";
        return 1;
    }
    const auto runs = arguments.at("--runs") ? readRuns(arguments.at("--runs").asString())
                                             : std::map<std::string, std::vector<double>>();
    const std::vector<Sample> samples = runBenchmarks(runs);
    if (arguments.at("--csv")) {
        std::ofstream file(arguments.at("--csv").asString());
        writeCsv(file, samples);
    } else {
        writeCsv(std::cout, samples);
    }
    return 0;
}
