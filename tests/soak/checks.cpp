#include "soak/checks.hpp"

#include <algorithm>
#include <set>

namespace snipevalve::soak {

namespace {

using Breaches = std::vector<Breach>;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

bool promisesNotRun(unsigned status)
{
    constexpr unsigned RequestTimeout = 408;
    constexpr unsigned Misdirected = 421;
    constexpr unsigned TooManyRequests = 429;
    constexpr unsigned Unavailable = 503;
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == Unavailable;
}

/// What counts as trouble for a bound.
enum class Excuse {
    Unplanned, ///< anything unplanned, at nodes, store or servers
    NodeOrStore, ///< anything at nodes or the store, planned or not
};

/// Whether a node was left alone from `contact` before `from` until `to`.
bool isCalm(const SoakRecords &records, std::size_t node, TimePoint from, TimePoint to, Milliseconds contact,
            Excuse excuse)
{
    return std::none_of(records.disturbances.begin(), records.disturbances.end(), [&](const Disturbance &each) {
        const bool concerns = each.node == node || each.node == Disturbance::All;
        const bool counts = excuse == Excuse::Unplanned ? !each.planned : !each.serversOnly;
        return concerns && counts && each.from <= to && each.to + contact >= from;
    });
}

void checkOwners(const SoakRecords &records, Breaches &breaches)
{
    if (records.doubleOwners > 0) {
        breaches.push_back({"one owner", "", std::to_string(records.doubleOwners) + " keys had two owners"});
    }
}

void checkRuns(const SoakRecords &records, Breaches &breaches)
{
    std::map<std::string, int> runs;
    for (const ServerRecord &arrival : records.arrivals) {
        runs[arrival.id] += arrival.ran ? 1 : 0;
    }
    for (const CallerRecord &request : records.requests) {
        const auto ran = runs.find(request.id);
        const int count = ran == runs.end() ? 0 : ran->second;
        if (!request.idempotent && count > 1) {
            breaches.push_back({"at most once", request.id, "ran " + std::to_string(count) + " times"});
        }
        if (!request.idempotent && count > 0 && promisesNotRun(request.status)) {
            breaches.push_back(
                {"not run is true", request.id, "was answered " + std::to_string(request.status) + " and ran"});
        }
        if (request.status == Ok && !request.bodyIsOwn) {
            breaches.push_back({"own whole answers", request.id, "got another body"});
        }
        if (request.status == Ok && count == 0) {
            breaches.push_back({"own whole answers", request.id, "got a success without a run"});
        }
    }
}

void checkDrains(const SoakRecords &records, const SoakBounds &bounds, Breaches &breaches)
{
    std::map<std::string, const CallerRecord *> requests;
    for (const CallerRecord &request : records.requests) {
        requests[request.id] = &request;
    }
    for (const ServerRecord &arrival : records.arrivals) {
        const auto drained = records.drained.find(arrival.server);
        const auto request = requests.find(arrival.id);
        if (drained == records.drained.end() || request == requests.end() || !arrival.ran
            || arrival.at <= drained->second + bounds.drain) {
            continue;
        }
        if (isCalm(records, request->second->node, drained->second, arrival.at, bounds.contact, Excuse::NodeOrStore)) {
            breaches.push_back({"no work for a leaving server", arrival.id, "ran on " + arrival.server});
        }
    }
}

void checkStops(const SoakRecords &records, const SoakBounds &bounds, Breaches &breaches)
{
    constexpr Milliseconds LossSlack(200);
    std::set<std::string> arrived;
    for (const ServerRecord &arrival : records.arrivals) {
        arrived.insert(arrival.id);
    }
    for (const CallerRecord &request : records.requests) {
        // A request that crosses the close of an idle connection and goes no further is not lost.
        const bool wasTaken = arrived.contains(request.id) || request.endedAt - request.sentAt > LossSlack;
        const bool wasCut = request.wasSent && request.status == 0 && wasTaken;
        // Cuts beside unplanned faults are allowed; a planned stop alone allows none.
        const bool isExcused =
            !isCalm(records, request.node, request.sentAt, request.endedAt, bounds.contact, Excuse::Unplanned);
        if (wasCut && !isExcused) {
            breaches.push_back({"planned work cuts nothing", request.id, "ended without an answer"});
        }
    }
}

void checkConfig(const SoakRecords &records, const SoakBounds &bounds, Breaches &breaches)
{
    struct Seen
    {
        std::uint64_t version = 0;
        TimePoint at;
    };
    std::map<std::size_t, std::vector<Seen>> served;
    for (const CallerRecord &request : records.requests) {
        if (request.probesConfig && request.status != NotFound && request.status != 0
            && !promisesNotRun(request.status)) {
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
            && isCalm(records, request.node, acknowledged->second, request.endedAt, bounds.contact,
                      Excuse::NodeOrStore);
        if (isLate) {
            breaches.push_back(
                {"in force in time", request.id, "version " + std::to_string(request.needsVersion) + " was unknown"});
        }
        TimePoint lifeBegan;
        for (const TimePoint start :
             records.starts.contains(request.node) ? records.starts.at(request.node) : std::vector<TimePoint>()) {
            lifeBegan = start <= request.sentAt ? std::max(lifeBegan, start) : lifeBegan;
        }
        for (const Seen &seen : served[request.node]) {
            const bool isBack = seen.version >= request.needsVersion && seen.at >= lifeBegan
                && seen.at + bounds.rollbackSlack < request.sentAt;
            if (isBack) {
                breaches.push_back(
                    {"never goes back", request.id, "version " + std::to_string(seen.version) + " had been in force"});
                break;
            }
        }
    }
}

void checkRetries(const SoakRecords &records, const SoakBounds &bounds, Breaches &breaches)
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
                breaches.push_back({"retry budget", service, std::to_string(repeats) + " repeats in a window"});
                break;
            }
        }
    }
}

void checkRecovery(const SoakRecords &records, const SoakBounds &bounds, Breaches &breaches)
{
    std::size_t asked = 0;
    std::size_t served = 0;
    for (const CallerRecord &request : records.requests) {
        if (!request.probesConfig && request.sentAt > records.healedAt + bounds.recovery) {
            ++asked;
            served += request.status == Ok ? 1 : 0;
        }
    }
    constexpr double LeastServed = 0.9;
    if (asked > 0 && static_cast<double>(served) < LeastServed * static_cast<double>(asked)) {
        breaches.push_back(
            {"service regained", "", std::to_string(served) + " of " + std::to_string(asked) + " were served"});
    }
}

} // namespace

std::vector<Breach> findBreaches(const SoakRecords &records, const SoakBounds &bounds)
{
    Breaches breaches;
    checkOwners(records, breaches);
    checkRuns(records, breaches);
    checkDrains(records, bounds, breaches);
    checkStops(records, bounds, breaches);
    checkConfig(records, bounds, breaches);
    checkRetries(records, bounds, breaches);
    checkRecovery(records, bounds, breaches);
    return breaches;
}

} // namespace snipevalve::soak
