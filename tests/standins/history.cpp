#include "standins/history.hpp"

#include <algorithm>
#include <fstream>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace snipevalve::standins {

namespace {

using Json = nlohmann::json;

constexpr double Median = 0.5;
constexpr Milliseconds SlowAnswer(250); ///< a key counts as unavailable during a call that takes longer
constexpr double HighQuantile = 0.99;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void checkCalls(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs, HistoryReport &report)
{
    std::map<std::string, std::size_t> runsOf;
    for (const RunRecord &run : runs) {
        ++runsOf[run.id];
    }
    for (const CallRecord &call : calls) {
        const auto found = runsOf.find(call.id);
        const std::size_t count = found == runsOf.end() ? 0 : found->second;
        const std::string name = call.method + " " + call.service + " " + call.id;
        if (call.method == "POST" && count > 1) {
            report.violations.push_back(name + " ran " + std::to_string(count) + " times");
        }
        if (call.end == CallEnd::NotRun && count > 0) {
            report.violations.push_back(name + " was told not run and ran");
        }
        if (call.end == CallEnd::Answered && count == 0) {
            report.violations.push_back(name + " was answered and is in no server's log");
        }
        if (call.end == CallEnd::Wrong) {
            report.violations.push_back(name + ": " + call.detail);
        }
    }
}

void measureLatency(const std::vector<CallRecord> &calls, HistoryReport &report)
{
    std::vector<double> times;
    for (const CallRecord &call : calls) {
        ++report.ends[call.end];
        if (call.end == CallEnd::Answered) {
            times.push_back(seconds(call.endedAt - call.sentAt) * 1000);
        }
    }
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        report.medianMs = times[static_cast<std::size_t>(Median * static_cast<double>(times.size()))];
        report.p99Ms = times[static_cast<std::size_t>(HighQuantile * static_cast<double>(times.size()))];
    }
}

void measureUnavailability(std::vector<CallRecord> calls, HistoryReport &report)
{
    const auto isEarlier = [](const CallRecord &left, const CallRecord &right) {
        return left.endedAt < right.endedAt;
    };
    std::sort(calls.begin(), calls.end(), isEarlier);
    std::map<std::string, TimePoint> failedSince;
    for (const CallRecord &call : calls) {
        const std::string key = call.service + "/" + call.key;
        if (call.endedAt - call.sentAt > SlowAnswer) {
            failedSince.try_emplace(key, call.sentAt);
        }
        if (call.end != CallEnd::Answered) {
            failedSince.try_emplace(key, call.sentAt);
            continue;
        }
        const auto failed = failedSince.find(key);
        if (failed != failedSince.end()) {
            const double time = seconds(call.endedAt - failed->second);
            report.unavailableKeySeconds += time;
            report.longestUnavailableSeconds = std::max(report.longestUnavailableSeconds, time);
            failedSince.erase(failed);
        }
    }
}

void measureServers(const std::vector<RunRecord> &runs, HistoryReport &report)
{
    std::map<std::string, std::map<std::string, std::size_t>> runsOf;
    std::map<std::string, std::set<std::string>> serversOfSlot;
    for (const RunRecord &run : runs) {
        ++runsOf[run.server.substr(0, run.server.rfind('-'))][run.server];
        if (!run.group.empty()) {
            serversOfSlot[run.group + "#" + std::to_string(run.slot)].insert(run.server);
        }
    }
    for (const auto &[service, servers] : runsOf) {
        std::size_t most = 0;
        std::size_t sum = 0;
        for (const auto &[server, count] : servers) {
            most = std::max(most, count);
            sum += count;
        }
        report.imbalance[service] =
            static_cast<double>(most) * static_cast<double>(servers.size()) / static_cast<double>(sum);
    }
    std::size_t moved = 0;
    for (const auto &[slot, servers] : serversOfSlot) {
        moved += servers.size() > 1 ? 1 : 0;
    }
    if (!serversOfSlot.empty()) {
        report.movedSlots = static_cast<double>(moved) / static_cast<double>(serversOfSlot.size());
    }
}

} // namespace

std::vector<RunRecord> readRuns(const std::string &path)
{
    std::vector<RunRecord> runs;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        const Json json = Json::parse(line, nullptr, false);
        if (json.is_discarded()) {
            continue;
        }
        RunRecord run;
        run.server = json.value("server", "");
        run.id = json.value("id", "");
        run.method = json.value("method", "");
        run.group = json.value("group", "");
        run.slot = json.value("slot", 0U);
        run.effectNs = json.value("effectNs", std::uint64_t(0));
        run.acquired = parseToken(json.value("acquired", "")).value_or(Token());
        runs.push_back(std::move(run));
    }
    return runs;
}

std::vector<std::string> checkOwnership(std::vector<RunRecord> runs)
{
    std::vector<std::string> violations;
    const auto isEarlier = [](const RunRecord &left, const RunRecord &right) {
        return left.effectNs < right.effectNs;
    };
    std::sort(runs.begin(), runs.end(), isEarlier);
    std::map<std::string, RunRecord> lastOf;
    for (const RunRecord &run : runs) {
        if (run.group.empty()) {
            continue;
        }
        const std::string slot = run.group + "#" + std::to_string(run.slot);
        const auto last = lastOf.find(slot);
        if (last != lastOf.end()) {
            const bool hasOlderToken = run.acquired < last->second.acquired;
            const bool sharesToken = run.acquired == last->second.acquired && run.server != last->second.server;
            if (hasOlderToken || sharesToken) {
                violations.push_back(slot + ": " + run.server + " under " + toString(run.acquired) + " ran after "
                                     + last->second.server + " under " + toString(last->second.acquired));
            }
        }
        lastOf[slot] = run;
    }
    return violations;
}

HistoryReport checkHistory(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs)
{
    HistoryReport report;
    checkCalls(calls, runs, report);
    const std::vector<std::string> owners = checkOwnership(runs);
    report.violations.insert(report.violations.end(), owners.begin(), owners.end());
    measureLatency(calls, report);
    measureUnavailability(calls, report);
    measureServers(runs, report);
    return report;
}

} // namespace snipevalve::standins
