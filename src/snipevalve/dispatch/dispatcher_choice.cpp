/// @file How the dispatcher judges servers and requests: what is open, how long it takes, who goes first.

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

/// A server further away than the asking host's zone has to be faster by this much to be chosen: bytes between zones
/// are paid for, and estimates of equal servers differ by a tenth or two.
constexpr double OtherZonePenalty = 1.3;
/// Late work finds at least this part of the slots: forecasts are not so good that none would ever be free.
constexpr double MinShareForLateWork = 0.05;
/// Hosts keep a connection for so long for requests that may not be sent twice.
constexpr Milliseconds ConnectionKeepAlive(2'400);
/// Below this part of the slots, any server that answers in time is good enough, so the nearest one is taken.
constexpr double LightLoadUtilisation = 0.7;

} // namespace

/// When the item's key can have an owner again; empty when it has one or may get one at any moment.
std::optional<TimePoint> Dispatcher::orphanedUntil(const WorkItem &item) const
{
    for (const DarkRange &range : m_orphanedRanges) {
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

bool Dispatcher::isAvailable(const ServerState &state, TimePoint now) const
{
    return !state.isLeaving && state.busy < limitOf(state) && !state.outliers.isEjected(now);
}

Seconds Dispatcher::expectedOn(const ServerState &state, const WorkItem &item) const
{
    return m_times.expected(item.workClass, state.slowness.factor());
}

Seconds Dispatcher::expectedWork(const WorkItem &item) const
{
    return m_times.expected(item.workClass, 1.0);
}

double Dispatcher::capacityOf(const std::string &server) const
{
    const auto position = m_servers.find(server);
    if (position == m_servers.end() || position->second.isLeaving) {
        return 0;
    }
    return position->second.server.slots / position->second.slowness.factor();
}

/// Busy slots that the lane's servers can carry, each weighed by its speed.
double Dispatcher::capacityOfQueue(const std::string &name) const
{
    if (!name.empty()) {
        const auto owner = m_servers.find(name);
        return owner == m_servers.end() ? 0 : limitOf(owner->second) / owner->second.slowness.factor();
    }
    double capacity = 0;
    for (const auto &[id, state] : m_servers) {
        capacity += state.isLeaving ? 0 : limitOf(state) / state.slowness.factor();
    }
    return capacity;
}

double Dispatcher::freeSlots(const std::string &name, TimePoint now) const
{
    const auto freeOf = [this, now](const ServerState &state) {
        return isAvailable(state, now) ? limitOf(state) - state.busy : 0;
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

bool Dispatcher::canMeetTarget(const WorkItem &item, TimePoint now) const
{
    return now + toDuration(expectedWork(item) * WorkMargin) <= item.targetBy;
}

/// Lets the average of the work that can be in time run out.
void Dispatcher::decayDemand(ServerQueue &queue, TimePoint now) const
{
    const double age = std::min(Seconds(now - queue.demandAt) / DemandTimeConstant, 50.0);
    queue.onTimeDemand *= std::exp(-age);
    queue.demandAt = now;
}

/// The part of the slots that the work which keeps coming in time leaves for late work. A keyed server that is full for
/// now gets rid of keys within a second if others have room, so there the whole service counts.
double Dispatcher::shareForLateWork(const ServerQueue &queue, const std::string &name) const
{
    const double work = name.empty() ? queue.onTimeDemand : m_serviceDemand;
    const double capacity = name.empty() ? capacityOfQueue(name) : m_serviceCapacity;
    return capacity <= 0 ? MinShareForLateWork : std::max(MinShareForLateWork, 1.0 - work / capacity);
}

/// @param onTimeWorkAhead work that waits and goes before the item, and can be in time
/// @param lateWorkAhead work that waits and goes before it, and can only be late
Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, Seconds onTimeWorkAhead, Seconds lateWorkAhead,
                                          const ServerQueue &queue, const std::string &name, TimePoint now) const
{
    Forecast result;
    const double capacity = capacityOfQueue(name);
    const Seconds work = expectedWork(item);
    if (capacity <= 0) {
        // Nobody can say when a key without an owner gets one; its request waits for it.
        result.meetsTarget = canMeetTarget(item, now);
        result.meetsDeadline = now + toDuration(work * WorkMargin) <= item.deadline;
        return result;
    }
    const double unit = std::max(1.0, capacity);
    const Seconds untilSlot = freeSlots(name, now) > 0 ? Seconds(0) : work / (2 * unit);
    const Seconds onTimeWait = untilSlot + onTimeWorkAhead / capacity;
    result.meetsTarget = now + toDuration(onTimeWait + work * WorkMargin) <= item.targetBy;
    const Seconds lateWait = lateWorkAhead / (capacity * shareForLateWork(queue, name));
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

/// Whether the slots are far from full, as of the last advance().
bool Dispatcher::isLightlyLoaded() const
{
    return m_serviceDemand < LightLoadUtilisation * m_serviceCapacity;
}

/// Answers the load pattern "many hosts, many servers, few requests for each pair": on 70 hosts and 69 servers nearly
/// every request opened a connection, mostly to another zone. While there is room, a server that answers in time is
/// taken from the host's zone first, then one to which the host still has a connection.
Dispatcher::Suitability Dispatcher::suitability(const ServerState &state, const WorkItem &item, Seconds time,
                                                bool isLightlyLoaded, TimePoint now) const
{
    const bool isInOtherZone = state.server.zone != item.zone;
    const double busyShare = static_cast<double>(state.busy) / std::max(1U, state.server.slots);
    if (!isLightlyLoaded) {
        return {false, false, false, time * (isInOtherZone ? OtherZonePenalty : 1.0), busyShare};
    }
    const auto answered = state.lastAnswerByHost.find(item.host);
    const bool needsConnection =
        answered == state.lastAnswerByHost.end() || now - answered->second > ConnectionKeepAlive;
    const bool isLate = now + toDuration(time * PlacementMargin) > item.targetBy;
    return {isLate, isInOtherZone, needsConnection, time, busyShare};
}

/// The servers of a lane that may take work now, and how fast the best busy one is.
Dispatcher::Candidates Dispatcher::candidatesFor(const std::string &queueName, TimePoint now)
{
    Candidates candidates;
    if (!queueName.empty()) {
        const auto owner = m_servers.find(queueName);
        if (owner != m_servers.end() && isAvailable(owner->second, now)) {
            candidates.available.push_back(&owner->second);
        }
        return candidates;
    }
    for (auto &[id, state] : m_servers) {
        if (isAvailable(state, now)) {
            candidates.available.push_back(&state);
        } else if (!state.isLeaving && !state.outliers.isEjected(now)) {
            // On average half of the work of the request that is nearest to its end is left.
            const double untilFree = 1.0 + 1.0 / (2.0 * limitOf(state));
            candidates.bestBusyFactor = std::min(candidates.bestBusyFactor, timeFactor(state) * untilFree);
        }
    }
    return candidates;
}

/// How long a request takes on this server, refusals included, against one on a server of usual speed.
double Dispatcher::timeFactor(const ServerState &state) const
{
    return state.slowness.factor() / (1.0 - state.refusalRate);
}

/// The most suitable open server. Null also when a busy server will be through with the request sooner, and within its
/// target, while the best open one would make it late.
Dispatcher::ServerState *Dispatcher::bestAvailable(const WorkItem &item, const Candidates &candidates, TimePoint now)
{
    const bool lightlyLoaded = isLightlyLoaded();
    const Seconds work = expectedWork(item);
    ServerState *best = nullptr;
    Suitability bestFit;
    for (ServerState *state : candidates.available) {
        const bool isAvoided = std::find(item.avoid.begin(), item.avoid.end(), state->server.id) != item.avoid.end();
        if (isAvoided && !item.key) {
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

/// The lane's requests in the order in which they go. The queue itself stays as it is: requests are large to move.
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
