/// @file Benchmarks whole deployments of processes: memory, the cost of an idle control plane and the cost of each
/// request at the entry process.
#include <fstream>
#include <iostream>

#include <docopt/docopt.h>

#include "snipevalve/measure/measurement.hpp"
#include "standins/deployment.hpp"
#include "standins/history.hpp"

namespace {

using namespace snipevalve;
using namespace snipevalve::standins;

const char Usage[] = R"(Benchmarks whole deployments of processes with the stand-ins.

Usage:
  standin-bench --binaries=DIR --folder=DIR [--csv=FILE]
  standin-bench --help
)";

constexpr Milliseconds StartTimeout(30'000);

class Bench
{
public:
    Bench(std::string binaries, std::string folder)
        : m_binaries(std::move(binaries))
        , m_folder(std::move(folder))
    {
    }

    /// @brief Measures an idle deployment: store calls a second, processor time and memory of its processes.
    /// @param hosts number of entry hosts; store calls and processor time use all of them, memory only the first
    void measureControl(std::uint32_t hosts)
    {
        Deployment deployment(makeDeploymentFile(hosts, 8, 2000), makeOptions("warn"));
        if (!deployment.start(StartTimeout)) {
            throw std::runtime_error("the deployment did not become ready");
        }
        constexpr Milliseconds Period(5000);
        sleepFor(Milliseconds(1000));
        const auto callsBefore = totalStoreCalls(deployment);
        const auto placementBefore = processorTime(deployment, true);
        const auto entryBefore = processorTime(deployment, false);
        sleepFor(Period);
        const double seconds = std::chrono::duration<double>(Period).count();
        addSample("store calls", "hosts", hosts,
                  static_cast<double>(totalStoreCalls(deployment) - callsBefore) / seconds, "/s");
        const auto share = [&](Milliseconds used) {
            return static_cast<double>(used.count()) / static_cast<double>(Period.count()) * 100 / hosts;
        };
        addSample("placement idle processor (mean of hosts)", "hosts", hosts,
                  share(processorTime(deployment, true) - placementBefore), "% of a core");
        addSample("entry idle processor (mean of hosts)", "hosts", hosts,
                  share(processorTime(deployment, false) - entryBefore), "% of a core");
        HostProcesses &first = deployment.hosts().front();
        const MemoryUse placement = memoryOf(first.placement->pid());
        const MemoryUse entry = memoryOf(first.entry->pid());
        const MemoryUse admin = memoryOf(first.admin->pid());
        constexpr double KbPerMb = 1024;
        addSample("resident memory of placement", "hosts", hosts, static_cast<double>(placement.residentKb) / KbPerMb,
                  "MB");
        addSample("resident memory of entry", "hosts", hosts, static_cast<double>(entry.residentKb) / KbPerMb, "MB");
        addSample("resident memory of admin", "hosts", hosts, static_cast<double>(admin.residentKb) / KbPerMb, "MB");
        measurePropagation(deployment, hosts);
    }

    /// @brief Measures one entry process under full load with the decision log on: processor time a request,
    /// throughput, tail latency and memory.
    /// @param workers concurrent callers, each of which sends its next request as soon as the last one has ended
    void measureEntry(unsigned workers)
    {
        Deployment deployment(makeDeploymentFile(1, 8, 0), makeOptions("info"));
        if (!deployment.start(StartTimeout)) {
            throw std::runtime_error("the deployment did not become ready");
        }
        HostProcesses &host = deployment.hosts().front();
        const pid_t pid = host.entry->pid();
        const Milliseconds before = processorTimeOf(pid);
        const TimePoint begin = Clock::now();
        const HistoryReport report = generateLoad(deployment, {deployment.entryOf(host)}, workers, 0);
        const std::chrono::duration<double> took = Clock::now() - begin;
        const auto answered = static_cast<double>(report.ends.at(CallEnd::Answered));
        const auto used = std::chrono::duration<double, std::micro>(processorTimeOf(pid) - before);
        addSample("entry processor for a request", "callers", workers, used.count() / answered, "us");
        addSample("entry requests by one traffic thread", "callers", workers, answered / took.count(), "/s");
        addSample("entry time p99 under load", "callers", workers, report.p99Ms, "ms");
        constexpr double KbPerMb = 1024;
        addSample("resident memory of entry by callers", "callers", workers,
                  static_cast<double>(memoryOf(pid).residentKb) / KbPerMb, "MB");
    }

    const std::vector<Sample> &samples() const
    {
        return m_samples;
    }

private:
    /// A deployment with one keyed service whose only requests are GETs over 10,000 keys.
    DeploymentFile makeDeploymentFile(std::uint32_t hosts, std::uint32_t servers, std::uint32_t serviceUs) const
    {
        DeploymentFile file;
        file.name = "bench";
        file.zones = {"rotterdam", "leiden", "delft"};
        file.hosts = hosts;
        file.concurrency = 8;
        file.services = {{"ledger", true, servers, serviceUs, 1024, true, 0}};
        file.mix = {{"ledger", "GET", 1, 10'000, 0, 100}};
        return file;
    }

    DeploymentOptions makeOptions(const std::string &logLevel) const
    {
        DeploymentOptions options;
        options.binaries = m_binaries;
        options.folder = m_folder;
        options.network = 40;
        options.logLevel = logLevel;
        return options;
    }

    static std::uint64_t totalStoreCalls(Deployment &deployment)
    {
        std::uint64_t total = 0;
        const nlohmann::json counts = deployment.storeCounts();
        for (const auto &[call, count] : counts.items()) {
            total += count.get<std::uint64_t>();
        }
        return total;
    }

    /// @param placement sums the placement processes of all hosts; otherwise the entry processes
    static Milliseconds processorTime(Deployment &deployment, bool placement)
    {
        Milliseconds total{0};
        for (const HostProcesses &host : deployment.hosts()) {
            total += processorTimeOf((placement ? host.placement : host.entry)->pid());
        }
        return total;
    }

    /// Measures the propagation of a configuration change: from its acceptance by the administration API until it is
    /// in force on every host. Reports the slowest of several changes.
    void measurePropagation(Deployment &deployment, std::uint32_t hosts)
    {
        constexpr int Changes = 20;
        double slowest = 0;
        const Endpoint admin = deployment.adminEndpoint();
        for (int change = 0; change < Changes; ++change) {
            const auto route = nlohmann::json::parse(request(admin, "GET", "/v1/routes/ledger").body);
            const nlohmann::json patch = {{"spec", {{"deadlineMs", 2000 + change}}}};
            const auto revision = std::to_string(route.value("revision", std::uint64_t(0)));
            request(admin, "PATCH", "/v1/routes/ledger", patch.dump(), revision);
            const TimePoint begin = Clock::now();
            const auto isEverywhere = [&]() {
                const auto status = request(admin, "GET", "/v1/routes/ledger/status").body;
                return nlohmann::json::parse(status, nullptr, false).value("everywhere", false);
            };
            while (!isEverywhere() && Clock::now() - begin < StartTimeout) {
            }
            const std::chrono::duration<double, std::milli> took = Clock::now() - begin;
            slowest = std::max(slowest, took.count());
        }
        addSample("accepted until in force everywhere (slowest of 20)", "hosts", hosts, slowest, "ms");
    }

    HistoryReport generateLoad(Deployment &deployment, std::vector<Endpoint> entries, unsigned workers, double rate)
    {
        LoadGeneratorOptions options;
        options.entries = std::move(entries);
        options.mix = deployment.file().mix;
        options.workers = workers;
        options.rate = rate;
        LoadGenerator caller(options);
        caller.start();
        sleepFor(Milliseconds(4000));
        caller.stop();
        return checkHistory(caller.records(), readRuns(deployment.serverLog()));
    }

    void addSample(const std::string &name, const std::string &by, double size, double value, const std::string &unit)
    {
        std::cerr << name << " at " << size << ": " << value << " " << unit << "\n";
        m_samples.push_back({name, by, size, value, unit});
    }

    std::string m_binaries;
    std::string m_folder;
    std::vector<Sample> m_samples;
};

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, {argv + 1, argv + argc});
    Bench bench(arguments.at("--binaries").asString(), arguments.at("--folder").asString());
    for (const std::uint32_t hosts : {4U, 12U, 36U}) {
        bench.measureControl(hosts);
    }
    for (const unsigned callers : {4U, 16U, 64U}) {
        bench.measureEntry(callers);
    }
    if (arguments.at("--csv")) {
        std::ofstream file(arguments.at("--csv").asString());
        writeCsv(file, bench.samples());
    }
    return 0;
}
