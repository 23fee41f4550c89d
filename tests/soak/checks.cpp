#include "soak/checks.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace snipevalve::soak {

namespace {

using Violations = std::vector<Violation>;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

bool guaranteesNotRun(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned Misdirected = 421;
    constexpr unsigned TooManyRequests = 429;
    constexpr unsigned Unavailable = 503;
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
}

/// Selects the disturbances that suspend a bound.
enum class DisturbanceFilter {
    Unplanned, ///< every unplanned disturbance of nodes, store or servers
    NodeOrStore, ///< every disturbance of nodes or the store, planned or not
};

/// Whether no selected disturbance affected a node from `settleTime` before `from` until `to`.
bool isUndisturbed(const SoakRecords &records, std::size_t node, TimePoint from, TimePoint to, Milliseconds settleTime,
                   DisturbanceFilter filter)
{
    return std::none_of(records.disturbances.begin(), records.disturbances.end(), [&](const Disturbance &each) {
        const bool concerns = each.node == node || each.node == Disturbance::All;
        const bool counts = filter == DisturbanceFilter::Unplanned ? !each.planned : !each.serversOnly;
        return concerns && counts && each.from <= to && each.to + settleTime >= from;
    });
}

void checkRuns(const SoakRecords &records, Violations &violations)
{
    std::map<std::string, int> runs;
    for (const ServerRecord &arrival : records.arrivals) {
        runs[arrival.id] += arrival.ran ? 1 : 0;
    }
    for (const CallerRecord &request : records.requests) {
        const auto ran = runs.find(request.id);
        const int count = ran == runs.end() ? 0 : ran->second;
        if (!request.idempotent && count > 1) {
            violations.push_back({"at most once", request.id, "ran " + std::to_string(count) + " times"});
        }
        if (!request.idempotent && count > 0 && guaranteesNotRun(request.status)) {
            violations.push_back({"requests refused as not run never run", request.id,
                                  "was answered with status " + std::to_string(request.status) + " and ran"});
        }
        if (request.status == Ok && !request.bodyMatches) {
            violations.push_back(
                {"responses are complete and the caller's own", request.id, "received a body that is not its own"});
        }
        if (request.status == Ok && count == 0) {
            violations.push_back(
                {"responses are complete and the caller's own", request.id, "received a success without having run"});
        }
    }
}

void checkDrains(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    std::map<std::string, const CallerRecord *> requests;
    for (const CallerRecord &request : records.requests) {
        requests[request.id] = &request;
    }
    for (const ServerRecord &arrival : records.arrivals) {
        const auto drained = records.drained.find({arrival.server, arrival.serverStart});
        const auto request = requests.find(arrival.id);
        if (drained == records.drained.end() || request == requests.end() || !arrival.ran
            || arrival.at <= drained->second + bounds.drain) {
            continue;
        }
        if (isUndisturbed(records, request->second->node, drained->second, arrival.at, bounds.settleTime,
                          DisturbanceFilter::NodeOrStore)) {
            violations.push_back({"no work for a draining server", arrival.id,
                                  "ran on " + arrival.server + ", started at " + std::to_string(arrival.serverStart)});
        }
    }
}

/// Whether the node neither started nor was disturbed alone.
bool isContinuous(const SoakRecords &records, std::size_t node, TimePoint from, TimePoint to)
{
    const auto starts = records.starts.find(node);
    const bool hasStarted = starts != records.starts.end()
        && std::any_of(starts->second.begin(), starts->second.end(), [from, to](TimePoint start) {
                                return from <= start && start <= to;
                            });
    return !hasStarted
        && std::none_of(records.disturbances.begin(), records.disturbances.end(), [&](const Disturbance &each) {
               return each.node == node && each.from <= to && each.to >= from;
           });
}

struct PairArrival
{
    const CallerRecord *request = nullptr;
    const ServerRecord *record = nullptr;
};

/// A node, a server and that server's start.
using NodeServerPair = std::tuple<std::size_t, std::string, std::int64_t>;

/// The requests that each node has passed on to each run of a server.
std::map<NodeServerPair, std::vector<PairArrival>> arrivalsByPair(const SoakRecords &records)
{
    std::map<std::string, const CallerRecord *> requests;
    for (const CallerRecord &request : records.requests) {
        requests[request.id] = &request;
    }
    std::map<NodeServerPair, std::vector<PairArrival>> byPair;
    for (const ServerRecord &record : records.arrivals) {
        const auto request = requests.find(record.id);
        if (request != requests.end()) {
            byPair[{request->second->node, record.server, record.serverStart}].push_back({request->second, &record});
        }
    }
    return byPair;
}

/// A node that has passed on an answer of a leaving server sends it nothing later, in touch with the store or not.
void checkAnnouncedDrains(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    for (const auto &[pair, arrivals] : arrivalsByPair(records)) {
        const std::size_t node = std::get<0>(pair);
        TimePoint toldAt = TimePoint::max();
        for (const PairArrival &each : arrivals) {
            const bool isTold = each.record->announcesLeaving && each.record->ran && each.request->status == Ok;
            toldAt = isTold ? std::min(toldAt, each.request->endedAt) : toldAt;
        }
        for (const PairArrival &each : arrivals) {
            const bool isLate =
                toldAt != TimePoint::max() && each.record->ran && each.request->sentAt > toldAt + bounds.drain;
            if (isLate && isContinuous(records, node, toldAt, each.record->at)) {
                violations.push_back({"no work for a server that said that it leaves", each.record->id,
                                      "ran on " + each.record->server});
            }
        }
    }
}

void checkPauses(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    for (const auto &[pair, arrivals] : arrivalsByPair(records)) {
        const std::size_t node = std::get<0>(pair);
        for (const PairArrival &asked : arrivals) {
            const TimePoint askedAt = asked.record->at;
            const TimePoint end = askedAt + asked.record->pause;
            const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const PairArrival &each) {
                return each.record->at > askedAt + bounds.pauseGrace && each.record->at < end;
            });
            const bool isExceeded = static_cast<std::size_t>(count) > bounds.requestsInPause;
            if (isExceeded && isContinuous(records, node, askedAt, end)
                && isUndisturbed(records, node, askedAt, end, bounds.settleTime, DisturbanceFilter::Unplanned)) {
                violations.push_back({"servers get the pauses that they ask for", asked.record->server,
                                      std::to_string(count) + " requests in a pause"});
                break;
            }
        }
    }
}

/// Whether the node was stopped while the caller waited, and had not come to the end of its grace time.
bool isStopping(const SoakRecords &records, const CallerRecord &request)
{
    constexpr Milliseconds LastAnswer(5'000); ///< since SIGTERM; servers may be given up then
    return std::any_of(records.disturbances.begin(), records.disturbances.end(), [&](const Disturbance &each) {
        return each.planned && each.node == request.node && each.from <= request.endedAt
            && request.endedAt < each.from + LastAnswer;
    });
}

void checkLostRequests(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    constexpr Milliseconds LossSlack(200);
    std::set<std::string> arrived;
    for (const ServerRecord &arrival : records.arrivals) {
        arrived.insert(arrival.id);
    }
    for (const CallerRecord &request : records.requests) {
        // A request sent while the node closes the idle connection, and not forwarded, does not count as lost.
        const bool wasAccepted = arrived.contains(request.id) || request.endedAt - request.sentAt > LossSlack;
        const bool wasCut = request.wasSent && request.status == 0 && wasAccepted;
        // Requests may be lost during unplanned faults, but not during planned work alone.
        const bool isExcused = !isUndisturbed(records, request.node, request.sentAt, request.endedAt, bounds.settleTime,
                                              DisturbanceFilter::Unplanned);
        if (wasCut && !isExcused) {
            violations.push_back({"planned work loses no request", request.id, "ended without a response"});
        }
        constexpr unsigned BadGateway = 502;
        if (request.status == BadGateway && !isExcused && isStopping(records, request)) {
            violations.push_back({"planned work loses no request", request.id, "its server was given up"});
        }
    }
}

void checkConfig(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    struct ServedVersion
    {
        std::uint64_t version = 0;
        TimePoint at;
    };
    std::map<std::size_t, std::vector<ServedVersion>> served;
    for (const CallerRecord &request : records.requests) {
        if (request.probesConfig && request.status != NotFound && request.status != 0
            && !guaranteesNotRun(request.status)) {
            served[request.node].push_back({request.needsVersion, request.endedAt});
        }
    }
    for (const CallerRecord &request : records.requests) {
        if (!request.probesConfig || request.status != NotFound) {
            continue;
        }
        const auto acknowledged = records.configured.find(request.needsVersion);
        const bool isLate = acknowledged != records.configured.end()
            && request.sentAt > acknowledged->second + bounds.config
            && isUndisturbed(records, request.node, acknowledged->second, request.endedAt, bounds.settleTime,
                             DisturbanceFilter::NodeOrStore);
        if (isLate) {
            violations.push_back({"configuration propagates in time", request.id,
                                  "version " + std::to_string(request.needsVersion) + " was unknown"});
        }
        TimePoint lastStart;
        for (const TimePoint start :
             records.starts.contains(request.node) ? records.starts.at(request.node) : std::vector<TimePoint>()) {
            lastStart = start <= request.sentAt ? std::max(lastStart, start) : lastStart;
        }
        for (const ServedVersion &seen : served[request.node]) {
            const bool isRollback = seen.version >= request.needsVersion && seen.at >= lastStart
                && seen.at + bounds.rollbackSlack < request.sentAt;
            if (isRollback) {
                violations.push_back({"configuration never rolls back", request.id,
                                      "version " + std::to_string(seen.version) + " had been in force"});
                break;
            }
        }
    }
}

void checkRetries(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    std::map<std::string, std::vector<const ServerRecord *>> byService;
    for (const ServerRecord &arrival : records.arrivals) {
        byService[arrival.service].push_back(&arrival);
    }
    for (auto &[service, arrivals] : byService) {
        std::sort(arrivals.begin(), arrivals.end(), [](const ServerRecord *left, const ServerRecord *right) {
            return left->at < right->at;
        });
        std::map<std::string, bool> seen;
        std::vector<bool> isRepeat;
        for (const ServerRecord *arrival : arrivals) {
            isRepeat.push_back(seen[arrival->id]);
            seen[arrival->id] = true;
        }
        std::size_t first = 0;
        double repeats = 0;
        double requests = 0;
        for (std::size_t last = 0; last < arrivals.size(); ++last) {
            (isRepeat[last] ? repeats : requests) += 1;
            while (arrivals[last]->at - arrivals[first]->at > bounds.retryWindow) {
                (isRepeat[first] ? repeats : requests) -= 1;
                ++first;
            }
            if (repeats > bounds.retryRatio * requests + bounds.retrySlack) {
                violations.push_back({"retry budget", service, std::to_string(repeats) + " repeats in a window"});
                break;
            }
        }
    }
}

void checkRecovery(const SoakRecords &records, const SoakBounds &bounds, Violations &violations)
{
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const CallerRecord &request : records.requests) {
        if (!request.probesConfig && request.sentAt > records.healedAt + bounds.recovery) {
            ++sent;
            served += request.status == Ok ? 1 : 0;
        }
    }
    constexpr double LeastServed = 0.9;
    if (sent > 0 && static_cast<double>(served) < LeastServed * static_cast<double>(sent)) {
        violations.push_back(
            {"service recovers", "", std::to_string(served) + " of " + std::to_string(sent) + " were served"});
    }
}

} // namespace

std::vector<Violation> findViolations(const SoakRecords &records, const SoakBounds &bounds)
{
    Violations violations;
    checkRuns(records, violations);
    checkDrains(records, bounds, violations);
    checkAnnouncedDrains(records, bounds, violations);
    checkPauses(records, bounds, violations);
    checkLostRequests(records, bounds, violations);
    checkConfig(records, bounds, violations);
    checkRetries(records, bounds, violations);
    checkRecovery(records, bounds, violations);
    return violations;
}

} // namespace snipevalve::soak
