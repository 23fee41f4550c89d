/// @file How the dispatcher judges servers and requests: what is open, how long it takes, who goes first.

#include <cmath>
#include <tuple>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch/dispatcher_margins.hpp"

namespace snipevalve {

using detail::AverageTime;
using detail::PlacementMargin;
using detail::toDuration;
using detail::WorkMargin;

namespace {

/// A server further away than the asking host's zone has to be faster by this much to be chosen: bytes between zones
/// are paid for, and estimates of equal servers differ by a tenth or two.
constexpr double OtherZonePenalty = 1.3;
/// Late work finds at least this part of the slots: forecasts are not so good that none would ever be free.
constexpr double LeastLeftOver = 0.05;
/// Hosts keep a connection for so long for requests that may not be sent twice.
constexpr Milliseconds ConnectionKept(2'400);
/// Below this part of the slots, any server that answers in time is good enough, so the nearest one is taken.
constexpr double CalmUtilisation = 0.7;

} // namespace

/// When the item's key can have an owner again; empty when it has one or may get one at any moment.
std::optional<TimePoint> Dispatcher::darkUntil(const WorkItem &item) const
{
    for (const OrphanedRange &range : m_darkKeys) {
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

bool Dispatcher::isOpen(const ServerState &state, TimePoint now) const
{
    return !state.gone && state.busy < limitOf(state) && !state.outliers.isEjected(now);
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
    if (position == m_servers.end() || position->second.gone) {
        return 0;
    }
    return position->second.server.slots / position->second.slowness.factor();
}

/// Busy slots that the lane's servers can carry, each weighed by its speed.
double Dispatcher::capacityOfLane(const std::string &name) const
{
    if (!name.empty()) {
        const auto owner = m_servers.find(name);
        return owner == m_servers.end() ? 0 : limitOf(owner->second) / owner->second.slowness.factor();
    }
    double capacity = 0;
    for (const auto &[id, state] : m_servers) {
        capacity += state.gone ? 0 : limitOf(state) / state.slowness.factor();
    }
    return capacity;
}

double Dispatcher::freeSlots(const std::string &name, TimePoint now) const
{
    const auto freeOf = [this, now](const ServerState &state) {
        return isOpen(state, now) ? limitOf(state) - state.busy : 0;
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

bool Dispatcher::canBeInTarget(const WorkItem &item, TimePoint now) const
{
    return now + toDuration(expectedWork(item) * WorkMargin) <= item.targetBy;
}

/// Lets the average of the work that can be in time run out.
void Dispatcher::average(Lane &lane, TimePoint now) const
{
    const double age = std::min(Seconds(now - lane.averagedAt) / AverageTime, 50.0);
    lane.inTimeWork *= std::exp(-age);
    lane.averagedAt = now;
}

/// The part of the slots that the work which keeps coming in time leaves for late work. A keyed server that is full for
/// now gets rid of keys within a second if others have room, so there the whole service counts.
double Dispatcher::leftOver(const Lane &lane, const std::string &name) const
{
    const double work = name.empty() ? lane.inTimeWork : m_serviceWork;
    const double capacity = name.empty() ? capacityOfLane(name) : m_serviceCapacity;
    return capacity <= 0 ? LeastLeftOver : std::max(LeastLeftOver, 1.0 - work / capacity);
}

/// @param inTimeAhead work that waits and goes before the item, and can be in time
/// @param lateAhead work that waits and goes before it, and can only be late
Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, Seconds inTimeAhead, Seconds lateAhead,
                                          const Lane &lane, const std::string &name, TimePoint now) const
{
    Forecast result;
    const double capacity = capacityOfLane(name);
    const Seconds work = expectedWork(item);
    if (capacity <= 0) {
        // Nobody can say when a key without an owner gets one; its request waits for it.
        result.inTarget = canBeInTarget(item, now);
        result.inDeadline = now + toDuration(work * WorkMargin) <= item.deadline;
        return result;
    }
    const double unit = std::max(1.0, capacity);
    const Seconds untilSlot = freeSlots(name, now) > 0 ? Seconds(0) : work / (2 * unit);
    const Seconds inTimeWait = untilSlot + inTimeAhead / capacity;
    result.inTarget = now + toDuration(inTimeWait + work * WorkMargin) <= item.targetBy;
    const Seconds lateWait = lateAhead / (capacity * leftOver(lane, name));
    result.wait = result.inTarget ? inTimeWait : inTimeWait + lateWait;
    result.inDeadline = now + toDuration(result.wait + work * WorkMargin) <= item.deadline;
    return result;
}

Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, const Lane &lane, const std::string &name,
                                          TimePoint now) const
{
    Seconds inTimeAhead(0);
    Seconds lateAhead(0);
    for (const WorkItem &other : lane.queue) {
        if (goesBefore(other, item, now)) {
            (canBeInTarget(other, now) ? inTimeAhead : lateAhead) += expectedWork(other);
        }
    }
    return forecast(item, inTimeAhead, lateAhead, lane, name, now);
}

bool Dispatcher::goesBefore(const WorkItem &left, const WorkItem &right, TimePoint now) const
{
    const bool leftInTime = canBeInTarget(left, now);
    const bool rightInTime = canBeInTarget(right, now);
    if (leftInTime != rightInTime) {
        return leftInTime;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    const TimePoint leftBy = leftInTime ? left.targetBy : left.deadline;
    const TimePoint rightBy = rightInTime ? right.targetBy : right.deadline;
    return leftBy != rightBy ? leftBy < rightBy : left.ticket < right.ticket;
}

/// Whether the slots are far from full, as of the last advance().
bool Dispatcher::isCalm() const
{
    return m_serviceWork < CalmUtilisation * m_serviceCapacity;
}

/// Answers the load pattern "many hosts, many servers, few requests for each pair": on 70 hosts and 69 servers nearly
/// every request opened a connection, mostly to another zone. While there is room, a server that answers in time is
/// taken from the host's zone first, then one to which the host still has a connection.
Dispatcher::Suitability Dispatcher::suitability(const ServerState &state, const WorkItem &item, Seconds time,
                                                bool isCalm, TimePoint now) const
{
    const bool isElsewhere = state.server.zone != item.zone;
    const double busyShare = static_cast<double>(state.busy) / std::max(1U, state.server.slots);
    if (!isCalm) {
        return {false, false, false, time * (isElsewhere ? OtherZonePenalty : 1.0), busyShare};
    }
    const auto answered = state.answeredTo.find(item.host);
    const bool isCold = answered == state.answeredTo.end() || now - answered->second > ConnectionKept;
    const bool isLate = now + toDuration(time * PlacementMargin) > item.targetBy;
    return {isLate, isElsewhere, isCold, time, busyShare};
}

/// The servers of a lane that may take work now, and how fast the best busy one is.
Dispatcher::Candidates Dispatcher::candidatesOf(const std::string &laneName, TimePoint now)
{
    Candidates candidates;
    if (!laneName.empty()) {
        const auto owner = m_servers.find(laneName);
        if (owner != m_servers.end() && isOpen(owner->second, now)) {
            candidates.open.push_back(&owner->second);
        }
        return candidates;
    }
    for (auto &[id, state] : m_servers) {
        if (isOpen(state, now)) {
            candidates.open.push_back(&state);
        } else if (!state.gone && !state.outliers.isEjected(now)) {
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
    return state.slowness.factor() / (1.0 - state.refuseShare);
}

/// The most suitable open server. Null also when a busy server will be through with the request sooner, and within its
/// target, while the best open one would make it late.
Dispatcher::ServerState *Dispatcher::bestOpen(const WorkItem &item, const Candidates &candidates, TimePoint now)
{
    const bool calm = isCalm();
    const Seconds work = expectedWork(item);
    ServerState *best = nullptr;
    Suitability bestFit;
    for (ServerState *state : candidates.open) {
        const bool isAvoided = std::find(item.avoid.begin(), item.avoid.end(), state->server.id) != item.avoid.end();
        if (isAvoided && !item.key) {
            continue;
        }
        const Suitability fit = suitability(*state, item, work * timeFactor(*state), calm, now);
        if (best == nullptr || fit < bestFit) {
            best = state;
            bestFit = fit;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const Seconds onOpen = work * timeFactor(*best);
    const Seconds onBusy = work * candidates.bestBusyFactor;
    const bool isBetterToWait =
        now + toDuration(onOpen) > item.targetBy && onBusy < onOpen && now + toDuration(onBusy) <= item.targetBy;
    return isBetterToWait ? nullptr : best;
}

/// The lane's requests in the order in which they go. The queue itself stays as it is: requests are large to move.
std::vector<const WorkItem *> Dispatcher::inOrder(const Lane &lane, TimePoint now) const
{
    struct Rank
    {
        bool isLate = false;
        int priority = 0;
        TimePoint by;
        const WorkItem *item = nullptr;
    };
    std::vector<Rank> ranks;
    ranks.reserve(lane.queue.size());
    for (const WorkItem &item : lane.queue) {
        const bool isInTime = canBeInTarget(item, now);
        ranks.push_back({!isInTime, item.priority, isInTime ? item.targetBy : item.deadline, &item});
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
