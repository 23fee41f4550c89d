/// @file How the dispatcher rates servers and requests: availability, expected time and order.

#include <cmath>
#include <tuple>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch/dispatcher_margins.hpp"

namespace snipevalve {

using detail::DemandTimeConstant;
using detail::PlacementMargin;
using detail::toDuration;
using detail::WorkMargin;

namespace {

/// A server outside the requesting host's zone has to be faster by this factor to be chosen: traffic between zones is
/// billed, and the estimates of equally fast servers differ by 10 to 20 %.
constexpr double OtherZonePenalty = 1.3;
/// Late work is assumed to get at least this share of the slots: forecasts are too inexact to assume none.
constexpr double MinShareForLateWork = 0.05;
/// How long hosts keep an idle connection for requests that must not be sent twice.
constexpr Milliseconds ConnectionKeepAlive(2'400);
/// Below this utilisation any server that meets the target is good enough, so the nearest one is taken.
constexpr double LightLoadUtilisation = 0.7;

} // namespace

/// When the item's key can have an owner again; empty when it has one or can get one at any time.
std::optional<TimePoint> Dispatcher::orphanedUntil(const WorkItem &item) const
{
    for (const OrphanedRange &range : m_orphanedRanges) {
        if (item.key && range.keys.contains(*item.key)) {
            return range.until;
        }
    }
    return std::nullopt;
}

unsigned Dispatcher::limitOf(const ServerState &state) const
{
    return std::max(1U, static_cast<unsigned>(std::ceil(state.server.slots * m_options.slotShare)));
}

bool Dispatcher::isUsable(const ServerState &state, TimePoint now) const
{
    return !state.isLeaving && !state.outliers.isEjected(now);
}

bool Dispatcher::hasFreeSlot(const ServerState &state, TimePoint now) const
{
    return isUsable(state, now) && state.busy < limitOf(state);
}

/// Whether one more request may wait at the server.
bool Dispatcher::canQueue(const ServerState &state, TimePoint now) const
{
    return isUsable(state, now) && state.busy < limitOf(state) + m_options.queuedPerServer;
}

/// Whether the limits of this server beyond its number of slots allow it to take the item now.
bool Dispatcher::admits(const ServerState &state, const WorkItem &, TimePoint now) const
{
    return m_pace.admits(state.server.id, now);
}

Seconds Dispatcher::expectedOn(const ServerState &state, const WorkItem &item) const
{
    return m_times.expected(item.workClass, state.slowness.factor());
}

Seconds Dispatcher::expectedWork(const WorkItem &item) const
{
    return m_times.expected(item.workClass, 1.0);
}

/// The server's slots, weighted by its speed, as far as its pace allows to use them.
double Dispatcher::capacityOf(const ServerState &state, double slots, TimePoint now) const
{
    const double capacity = slots / state.slowness.factor();
    return std::min(capacity, m_pace.capacity(state.server.id, now).value_or(capacity));
}

double Dispatcher::capacityOf(const std::string &server, TimePoint now) const
{
    const auto position = m_servers.find(server);
    const bool isUsed = position != m_servers.end() && !position->second.isLeaving;
    return isUsed ? capacityOf(position->second, position->second.server.slots, now) : 0;
}

/// The slots of the queue's servers, each weighted by the server's speed.
double Dispatcher::capacityOfQueue(const std::string &name, TimePoint now) const
{
    if (!name.empty()) {
        const auto owner = m_servers.find(name);
        return owner == m_servers.end() ? 0 : capacityOf(owner->second, limitOf(owner->second), now);
    }
    double capacity = 0;
    for (const auto &[id, state] : m_servers) {
        capacity += state.isLeaving ? 0 : capacityOf(state, limitOf(state), now);
    }
    return capacity;
}

double Dispatcher::freeSlots(const std::string &name, TimePoint now) const
{
    const auto freeOf = [this, now](const ServerState &state) {
        const bool isFree = hasFreeSlot(state, now) && m_pace.admits(state.server.id, now);
        return isFree ? limitOf(state) - state.busy : 0;
    };
    if (!name.empty()) {
        const auto owner = m_servers.find(name);
        return owner == m_servers.end() ? 0 : freeOf(owner->second);
    }
    double free = 0;
    for (const auto &[id, state] : m_servers) {
        free += freeOf(state);
    }
    return free;
}

/// How long the pace of cold servers keeps all servers of the queue from taking a request.
Seconds Dispatcher::paceWait(const std::string &name, TimePoint now) const
{
    if (!name.empty() || !m_pace.mayAnyBeCold(now)) {
        return m_pace.wait(name, now);
    }
    std::optional<Seconds> shortest;
    for (const auto &[id, state] : m_servers) {
        if (!state.isLeaving) {
            shortest = std::min(shortest.value_or(Seconds::max()), m_pace.wait(id, now));
        }
    }
    return shortest.value_or(Seconds(0));
}

bool Dispatcher::canMeetTarget(const WorkItem &item, TimePoint now) const
{
    return now + toDuration(expectedWork(item) * WorkMargin) <= item.targetBy;
}

/// Decays the moving average of the on-time demand.
void Dispatcher::decayDemand(ServerQueue &queue, TimePoint now) const
{
    const double age = std::min(Seconds(now - queue.demandAt) / DemandTimeConstant, 50.0);
    queue.onTimeDemand *= std::exp(-age);
    queue.demandAt = now;
}

/// The share of the slots that on-time demand leaves for late work. Keyed services use the totals of the whole
/// service: a full server hands keys over within a second if other servers have room.
double Dispatcher::shareForLateWork(const ServerQueue &queue, const std::string &name, TimePoint now) const
{
    const double work = name.empty() ? queue.onTimeDemand : m_serviceDemand;
    const double capacity = name.empty() ? capacityOfQueue(name, now) : m_serviceCapacity;
    return capacity <= 0 ? MinShareForLateWork : std::max(MinShareForLateWork, 1.0 - work / capacity);
}

/// @param onTimeWorkAhead work queued ahead of the item that can meet its target
/// @param lateWorkAhead work queued ahead of the item that cannot
Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, Seconds onTimeWorkAhead, Seconds lateWorkAhead,
                                          const ServerQueue &queue, const std::string &name, TimePoint now) const
{
    Forecast result;
    const double capacity = capacityOfQueue(name, now);
    const Seconds work = expectedWork(item);
    if (capacity <= 0) {
        // It is unknown when a key without an owner gets one; its request waits for that.
        result.meetsTarget = canMeetTarget(item, now);
        result.meetsDeadline = now + toDuration(work * WorkMargin) <= item.deadline;
        return result;
    }
    const double unit = std::max(1.0, capacity);
    const Seconds untilFree = freeSlots(name, now) > 0 ? Seconds(0) : work / (2 * unit);
    const Seconds untilSlot = std::max(untilFree, paceWait(name, now));
    const Seconds onTimeWait = untilSlot + onTimeWorkAhead / capacity;
    result.meetsTarget = now + toDuration(onTimeWait + work * WorkMargin) <= item.targetBy;
    const Seconds lateWait = lateWorkAhead / (capacity * shareForLateWork(queue, name, now));
    result.wait = result.meetsTarget ? onTimeWait : onTimeWait + lateWait;
    result.meetsDeadline = now + toDuration(result.wait + work * WorkMargin) <= item.deadline;
    return result;
}

Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, const ServerQueue &queue, const std::string &name,
                                          TimePoint now) const
{
    Seconds onTimeWorkAhead(0);
    Seconds lateWorkAhead(0);
    for (const WorkItem &other : queue.items) {
        if (precedes(other, item, now)) {
            (canMeetTarget(other, now) ? onTimeWorkAhead : lateWorkAhead) += expectedWork(other);
        }
    }
    return forecast(item, onTimeWorkAhead, lateWorkAhead, queue, name, now);
}

bool Dispatcher::precedes(const WorkItem &left, const WorkItem &right, TimePoint now) const
{
    const bool leftIsOnTime = canMeetTarget(left, now);
    const bool rightIsOnTime = canMeetTarget(right, now);
    if (leftIsOnTime != rightIsOnTime) {
        return leftIsOnTime;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    const TimePoint leftBy = leftIsOnTime ? left.targetBy : left.deadline;
    const TimePoint rightBy = rightIsOnTime ? right.targetBy : right.deadline;
    return leftBy != rightBy ? leftBy < rightBy : left.ticket < right.ticket;
}

/// Whether utilisation was low as of the last advance().
bool Dispatcher::isLightlyLoaded() const
{
    return m_serviceDemand < LightLoadUtilisation * m_serviceCapacity;
}

/// With many hosts and servers and few requests per pair, choosing by time alone is costly: with 70 hosts and 69
/// servers nearly every request opened a connection, mostly to another zone. While utilisation is low, servers that
/// meet the target are preferred if they are in the host's zone, then if the host still has a connection to them.
Dispatcher::Suitability Dispatcher::suitability(const ServerState &state, const WorkItem &item, Seconds time,
                                                bool isLightlyLoaded, TimePoint now) const
{
    const bool isInOtherZone = state.server.zone != item.zone;
    const double busyShare = static_cast<double>(state.busy) / std::max(1U, state.server.slots);
    const bool hasJoined = m_joined.contains(state.server.id);
    if (!isLightlyLoaded && !hasJoined) {
        return {false, 0, false, false, time * (isInOtherZone ? OtherZonePenalty : 1.0), busyShare};
    }
    const auto answered = state.lastAnswerByHost.find(item.host);
    const bool needsConnection =
        answered == state.lastAnswerByHost.end() || now - answered->second > ConnectionKeepAlive;
    const bool isLate = now + toDuration(time * PlacementMargin) > item.targetBy;
    const int joinRank =
        isLate ? 0 : m_joined.rank(state.server.id, !isInOtherZone, !needsConnection, m_options.slotShare, now);
    if (!isLightlyLoaded) {
        return {false, joinRank, false, false, time * (isInOtherZone ? OtherZonePenalty : 1.0), busyShare};
    }
    return {isLate, joinRank, isInOtherZone, needsConnection, time, busyShare};
}

/// The servers of a queue that can take work now, and the time factor of the best busy one.
/// @param mayQueue whether a request may wait at a server without a free slot
Dispatcher::Candidates Dispatcher::candidatesFor(const std::string &queueName, bool mayQueue, TimePoint now)
{
    const auto isAvailable = [this, mayQueue, now](const ServerState &state) {
        return mayQueue ? canQueue(state, now) : hasFreeSlot(state, now);
    };
    Candidates candidates;
    if (!queueName.empty()) {
        const auto owner = m_servers.find(queueName);
        if (owner != m_servers.end() && isAvailable(owner->second)) {
            candidates.available.push_back(&owner->second);
        }
        return candidates;
    }
    for (auto &[id, state] : m_servers) {
        if (isAvailable(state)) {
            candidates.available.push_back(&state);
        } else if (isUsable(state, now)) {
            // The wait for a slot is about half a service time divided by the number of slots.
            const double untilFree = 1.0 + 1.0 / (2.0 * limitOf(state));
            candidates.bestBusyFactor = std::min(candidates.bestBusyFactor, timeFactor(state) * untilFree);
        }
    }
    return candidates;
}

/// The expected time on this server, including retries after refusals, relative to a server of normal speed.
double Dispatcher::timeFactor(const ServerState &state) const
{
    return state.slowness.factor() / (1.0 - state.refusalRate);
}

/// The most suitable available server. Null if there is none, or if waiting for a busy server meets the target and is
/// faster while the best available server would miss it.
Dispatcher::ServerState *Dispatcher::bestAvailable(const WorkItem &item, const Candidates &candidates, TimePoint now)
{
    const bool lightlyLoaded = isLightlyLoaded();
    const Seconds work = expectedWork(item);
    ServerState *best = nullptr;
    Suitability bestFit;
    for (ServerState *state : candidates.available) {
        const bool isAvoided = std::find(item.avoid.begin(), item.avoid.end(), state->server.id) != item.avoid.end();
        if ((isAvoided && !item.key) || !admits(*state, item, now)) {
            continue;
        }
        const Suitability fit = suitability(*state, item, work * timeFactor(*state), lightlyLoaded, now);
        if (best == nullptr || fit < bestFit) {
            best = state;
            bestFit = fit;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const Seconds timeOnBest = work * timeFactor(*best);
    const Seconds timeOnBusy = work * candidates.bestBusyFactor;
    const bool isBetterToWait = now + toDuration(timeOnBest) > item.targetBy && timeOnBusy < timeOnBest
        && now + toDuration(timeOnBusy) <= item.targetBy;
    return isBetterToWait ? nullptr : best;
}

/// The queue's requests in the order in which they are placed. The queue itself is not sorted: requests are large to
/// move.
std::vector<const WorkItem *> Dispatcher::orderedItems(const ServerQueue &queue, TimePoint now) const
{
    struct Rank
    {
        bool isLate = false;
        int priority = 0;
        TimePoint by;
        const WorkItem *item = nullptr;
    };
    std::vector<Rank> ranks;
    ranks.reserve(queue.items.size());
    for (const WorkItem &item : queue.items) {
        const bool isOnTime = canMeetTarget(item, now);
        ranks.push_back({!isOnTime, item.priority, isOnTime ? item.targetBy : item.deadline, &item});
    }
    std::sort(ranks.begin(), ranks.end(), [](const Rank &left, const Rank &right) {
        return std::tie(left.isLate, left.priority, left.by, left.item->ticket)
            < std::tie(right.isLate, right.priority, right.by, right.item->ticket);
    });
    std::vector<const WorkItem *> items;
    items.reserve(ranks.size());
    for (const Rank &rank : ranks) {
        items.push_back(rank.item);
    }
    return items;
}

} // namespace snipevalve
