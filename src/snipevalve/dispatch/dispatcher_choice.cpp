/// @file How the dispatcher rates servers and requests: availability, expected time and order.

#include <cmath>

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
/// Safety factor on the predicted wait of a new request that has to leave slots to urgent ones. Without it, a fifth of
/// the long requests of a burst were admitted and refused after having waited; with 1.5, a tenth.
constexpr double LimitedWaitMargin = 1.5;
/// How long hosts keep an idle connection for requests that must not be sent twice.
constexpr Milliseconds ConnectionKeepAlive(2'400);
/// Below this utilisation any server that meets the target is good enough, so the nearest one is taken.
constexpr double LightLoadUtilisation = 0.7;
/// Told to callers of a service whose servers are all evacuated; nobody knows when the operators take a zone back.
constexpr Seconds EvacuatedRetryAfter(1.0);
/// While utilisation is low, a server that reports more than this above its usual time is avoided within its zone: to
/// connect to another one costs less.
constexpr double SlowNowFactor = 1.3;

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

/// Whether the service has servers, but none that may get new work until the operators take a zone back.
bool Dispatcher::isEvacuated() const
{
    bool isAnyEvacuated = false;
    for (const auto &[id, state] : m_servers) {
        if (!state.isLeaving) {
            return false;
        }
        isAnyEvacuated = isAnyEvacuated || state.server.evacuated;
    }
    return isAnyEvacuated;
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
bool Dispatcher::admits(const ServerState &state, const WorkItem &item, TimePoint now) const
{
    const bool mustWait = state.busy >= limitOf(state);
    const bool isWithinShare = !m_options.reservesSlots || !m_shares.isAnyActive()
        || m_shares.admits(poolOf(state.server.id), item.priority, expectedWork(item), mustWait);
    return isWithinShare && m_pace.admits(state.server.id, now);
}

const SlotShares &Dispatcher::slotShares() const
{
    return m_shares;
}

Seconds Dispatcher::balanceWork(const WorkItem &item) const
{
    const std::string *owner = item.key ? m_owners.ownerOf(*item.key) : nullptr;
    const bool isWeighted = owner != nullptr && m_options.reservesSlots;
    return expectedWork(item) * (isWeighted ? m_shares.balanceWeight(*owner, item.priority) : 1.0);
}

/// The pool in whose slots requests of different urgency have shares.
const std::string &Dispatcher::poolOf(const std::string &server) const
{
    return m_keyed ? server : SlotShares::Service;
}

Seconds Dispatcher::expectedOn(const ServerState &state, const WorkItem &item, TimePoint now) const
{
    return state.loads.timeOf(expectedWork(item) * state.slowness.factor(), now);
}

/// The expected time for decisions about sends that take too long. A request that is expected to be cheap gets the time
/// of its class: if the estimate is wrong, to give up the send would do the work twice.
Seconds Dispatcher::patientlyExpectedOn(const ServerState &state, const WorkItem &item, TimePoint now) const
{
    const Seconds work = std::max(expectedWork(item), m_work.mean(item.workClass));
    return state.loads.timeOf(work * state.slowness.factor(), now);
}

Seconds Dispatcher::expectedWork(const WorkItem &item) const
{
    return item.expectedWork.count() > 0 ? item.expectedWork : m_work.expected(traitsOf(item));
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
    if (m_capacityAt != now) {
        m_capacityAt = now;
        m_capacity = 0;
        for (const auto &[id, state] : m_servers) {
            m_capacity += state.isLeaving ? 0 : capacityOf(state, limitOf(state), now);
        }
    }
    return m_capacity;
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

/// The share that late urgent work gets where it goes before less urgent work.
double Dispatcher::shareForLateUrgentWork(int priority, TimePoint now) const
{
    const double work = m_shares.serviceDemand(priority, now);
    return m_serviceCapacity <= 0 ? MinShareForLateWork : std::max(MinShareForLateWork, 1.0 - work / m_serviceCapacity);
}

void Dispatcher::updateTotals(TimePoint now)
{
    m_serviceCapacity = capacityOfQueue({}, now);
    m_serviceDemand = 0;
    for (auto &[name, queue] : m_queues) {
        decayDemand(queue, now);
        m_serviceDemand += queue.onTimeDemand;
    }
    unsigned slots = 0;
    for (const auto &[id, state] : m_servers) {
        slots += m_keyed || !isUsable(state, now) ? 0 : limitOf(state);
        if (m_keyed) {
            m_shares.setPool(id, limitOf(state), state.slowness.factor());
        }
    }
    m_shares.setPool(SlotShares::Service, slots, m_serviceCapacity > 0 ? slots / m_serviceCapacity : 1.0);
    m_shares.advance(now);
}

Dispatcher::QueueCapacity Dispatcher::capacityNow(const std::string &name, TimePoint now) const
{
    return {capacityOfQueue(name, now), freeSlots(name, now) > 0, paceWait(name, now)};
}

/// @param ahead work queued ahead of the item
/// @param isSubmission whether the item is new; false: it has been waiting
Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, const WorkAhead &ahead, bool isSubmission,
                                          const QueueCapacity &present, const ServerQueue &queue,
                                          const std::string &name, TimePoint now) const
{
    Forecast result;
    if (m_isEvacuated) {
        result.wait = EvacuatedRetryAfter;
        result.retryAfter = EvacuatedRetryAfter;
        return result;
    }
    const Seconds work = expectedWork(item);
    const SlotShares::Outlook outlook =
        m_options.reservesSlots ? m_shares.outlook(name, item.priority, work) : SlotShares::Outlook();
    const double capacity = present.slots * outlook.capacityShare;
    if (capacity <= 0) {
        // It is unknown when a key without an owner gets one; its request waits for that.
        result.meetsTarget = canMeetTarget(item, now);
        result.meetsDeadline = now + toDuration(work * WorkMargin) <= item.deadline;
        return result;
    }
    const double unit = std::max(1.0, capacity);
    const Seconds untilAnySlot = present.isAnyFree ? Seconds(0) : timeUntilSlot(name, work / (2 * unit), now);
    const Seconds untilSlot = std::max(outlook.untilSlot.value_or(untilAnySlot), present.paceWait);
    const double margin = isSubmission && outlook.isLimited ? LimitedWaitMargin : 1.0;
    const Seconds onTimeWait = (untilSlot + ahead.onTime(outlook.competesFrom) / capacity) * margin;
    result.meetsTarget = now + toDuration(onTimeWait + work * WorkMargin) <= item.targetBy;
    const double lateShare =
        outlook.isProtected ? shareForLateUrgentWork(item.priority, now) : shareForLateWork(queue, name, now);
    const Seconds lateWait = ahead.late(outlook.competesFrom) / (capacity * lateShare);
    result.wait = result.meetsTarget ? onTimeWait : onTimeWait + lateWait;
    result.retryAfter = std::max(result.wait, outlook.slotInterval);
    result.meetsDeadline = now + toDuration(result.wait + work * WorkMargin) <= item.deadline;
    return result;
}

Dispatcher::Forecast Dispatcher::forecast(const WorkItem &item, const ServerQueue &queue, const std::string &name,
                                          TimePoint now) const
{
    WorkAhead ahead;
    WorkOrder order = orderOf(queue, name, now);
    order.add(estimate(item, now));
    const WorkRank rank = order.rank(estimate(item, now));
    for (const WorkItem &other : queue.items) {
        const WorkEstimate each = estimate(other, now);
        if (order.rank(each) < rank) {
            ahead.add(each);
        }
    }
    return forecast(item, ahead, true, capacityNow(name, now), queue, name, now);
}

WorkEstimate Dispatcher::estimate(const WorkItem &item, TimePoint now) const
{
    const Seconds work = expectedWork(item);
    const Seconds needed = work * WorkMargin;
    return {&item, work, needed, now + toDuration(needed) > item.targetBy};
}

WorkOrder Dispatcher::orderOf(const ServerQueue &queue, const std::string &name, TimePoint now) const
{
    const bool defersLessUrgent = m_options.reservesSlots && m_shares.isActive(name);
    WorkOrder order(defersLessUrgent, defersLessUrgent ? capacityOfQueue(name, now) : 0, now);
    for (const WorkItem &item : queue.items) {
        if (!defersLessUrgent) {
            break;
        }
        order.add(estimate(item, now));
    }
    return order;
}

/// Whether utilisation was low as of the last advance().
bool Dispatcher::isLightlyLoaded() const
{
    return m_serviceDemand < LightLoadUtilisation * m_serviceCapacity;
}

/// With many hosts and servers and few requests per pair, choosing by time alone is costly: with 70 hosts and 69
/// servers nearly every request opened a connection, mostly to another zone. While utilisation is low, servers that
/// meet the target are preferred if they are in the host's zone, then if they don't report to be slow, then if the host
/// still has a connection to them.
Dispatcher::Suitability Dispatcher::suitability(const ServerState &state, const WorkItem &item, Seconds work,
                                                Seconds time, bool isLightlyLoaded, TimePoint now) const
{
    const bool isInOtherZone = state.server.zone != item.zone;
    const double busyShare = static_cast<double>(state.busy) / std::max(1U, state.server.slots);
    const bool hasJoined = m_joined.contains(state.server.id);
    if (!isLightlyLoaded && !hasJoined) {
        return {false, 0, false, false, false, time * (isInOtherZone ? OtherZonePenalty : 1.0), busyShare};
    }
    const auto answered = state.lastAnswerByHost.find(item.host);
    const bool needsConnection =
        answered == state.lastAnswerByHost.end() || now - answered->second > ConnectionKeepAlive;
    const bool isLate = now + toDuration(time * PlacementMargin) > item.targetBy;
    const int joinRank =
        isLate ? 0 : m_joined.rank(state.server.id, !isInOtherZone, !needsConnection, m_options.slotShare, now);
    if (!isLightlyLoaded) {
        return {false, joinRank, false, false, false, time * (isInOtherZone ? OtherZonePenalty : 1.0), busyShare};
    }
    const bool isSlowNow = time > work * timeFactor(state) * SlowNowFactor;
    return {isLate, joinRank, isInOtherZone, isSlowNow, needsConnection, time, busyShare};
}

/// The servers of a queue that can take work now, and the time factor of the best busy one.
/// @param mayQueue whether a request may wait at a server without a free slot
Dispatcher::Candidates Dispatcher::candidatesFor(const std::string &queueName, bool mayQueue, TimePoint now)
{
    const auto isAvailable = [this, mayQueue, now](const ServerState &state) {
        return mayQueue ? canQueue(state, now) : hasFreeSlot(state, now);
    };
    Candidates candidates;
    candidates.areLateInOrder = m_options.reservesSlots && m_shares.isActive(queueName);
    if (!queueName.empty()) {
        const auto owner = m_servers.find(queueName);
        if (owner != m_servers.end() && isAvailable(owner->second)) {
            candidates.available.push_back(&owner->second);
        }
        return candidates;
    }
    for (auto &[id, state] : m_servers) {
        if (isAvailable(state) && !m_pace.admits(id, now)) {
            continue; // to ask it for each waiting request would cost ten times as much as all else
        }
        if (isAvailable(state)) {
            candidates.available.push_back(&state);
        } else if (isUsable(state, now)) {
            // The wait for a slot is about half a service time divided by the number of slots.
            const double untilFree = 1.0 + 1.0 / (2.0 * limitOf(state));
            candidates.bestBusyFactor =
                std::min(candidates.bestBusyFactor, timeFactor(state) * state.loads.factor(now) * untilFree);
        }
    }
    return candidates;
}

/// The expected time on this server, including retries after refusals, relative to a server of normal speed.
double Dispatcher::timeFactor(const ServerState &state) const
{
    return state.slowness.factor() / (1.0 - state.refusalRate);
}

/// The time factor applied to `work`, with what the server reports of this moment: how fast it is, and how long a
/// request waits there behind others that are unknown here. With the wait for a slot, if the server is full.
Seconds Dispatcher::timeOn(const ServerState &state, Seconds work, TimePoint now) const
{
    const Seconds usual = work * timeFactor(state);
    const double unknown = state.loads.unknownRequests(now);
    const double slots = std::max(1U, state.server.slots);
    const double ahead = unknown > 0 ? std::max(0.0, state.busy + unknown + 1.0 - slots) : 0.0;
    const Seconds wait = state.busy < limitOf(state) ? Seconds(0) : untilSlotOf(state, now).value_or(Seconds(0));
    return wait + state.loads.timeOf(usual, now) + usual * (ahead / slots) * state.loads.factor(now);
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
        const Suitability fit = suitability(*state, item, work, timeOn(*state, work, now), lightlyLoaded, now);
        if (best == nullptr || fit < bestFit) {
            best = state;
            bestFit = fit;
        }
    }
    if (best == nullptr) {
        return nullptr;
    }
    const Seconds timeOnBest = timeOn(*best, work, now);
    const Seconds timeOnBusy = work * candidates.bestBusyFactor;
    const bool isBetterToWait = now + toDuration(timeOnBest) > item.targetBy && timeOnBusy < timeOnBest
        && now + toDuration(timeOnBusy) <= item.targetBy;
    return isBetterToWait ? nullptr : best;
}

/// The queue's requests in the order in which they are placed. The queue itself is not sorted: requests are large to
/// move.
std::vector<const WorkItem *> Dispatcher::orderedItems(const ServerQueue &queue, const std::string &name,
                                                       TimePoint now) const
{
    const WorkOrder order = orderOf(queue, name, now);
    std::vector<std::pair<WorkRank, const WorkItem *>> ranks;
    ranks.reserve(queue.items.size());
    for (const WorkItem &item : queue.items) {
        ranks.emplace_back(order.rank(estimate(item, now)), &item);
    }
    std::sort(ranks.begin(), ranks.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    std::vector<const WorkItem *> items;
    items.reserve(ranks.size());
    for (const auto &[rank, item] : ranks) {
        items.push_back(item);
    }
    return items;
}

} // namespace snipevalve
