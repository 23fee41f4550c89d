#include "snipevalve/dispatch/dispatcher.hpp"

#include <set>

#include "snipevalve/dispatch/dispatcher_margins.hpp"

namespace snipevalve {

using detail::DemandTimeConstant;
using detail::PlacementMargin;
using detail::toDuration;
using detail::WorkMargin;

namespace {

/// Initial slowness of a server that is warming up; users report a factor of 2.
constexpr double WarmupSlowness = 2.0;
/// Name of the queue for requests whose key has no owner.
constexpr const char *UnownedQueue = "\n";

/// The last ten sends make up two thirds of a server's refusal rate.
constexpr double RefusalRateWeight = 0.1;
constexpr double MaxRefusalRate = 0.95; ///< a server that refuses everything still counts as serving one in twenty
/// After this multiple of its expected time, a send has probably lost its answer if its server has answered a later
/// send: one request in a hundred takes 3 to 5 times as long as expected.
constexpr double SuspectFactor = 6.0;
/// The same if the server has answered no later send: users report slow servers that take up to 12 times as long.
constexpr double PresumedLostFactor = 14.0;
/// Multiple of its expected time after which an adopted send frees its slot. On average half of it is done when it is
/// adopted; how long the server's own queue is, is unknown here.
constexpr double AdoptedLifetimeFactor = 1.5;
/// How often each queue is checked for requests that can no longer meet their deadline.
constexpr Milliseconds ForecastInterval(40);

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(options)
    , m_repeats(options.repeats)
    , m_random(options.seed)
{
}

void Dispatcher::setServers(const std::vector<UpstreamServer> &servers, TimePoint now)
{
    m_joined.setServers(servers, now);
    m_pace.setServers(servers, now);
    std::set<std::string> listedIds;
    for (const UpstreamServer &server : servers) {
        listedIds.insert(server.id);
        const auto position = m_servers.find(server.id);
        const bool isNew = position == m_servers.end() || position->second.server.incarnation != server.incarnation;
        if (isNew) {
            const bool isFirstIncarnation = position == m_servers.end();
            ServerState state;
            state.busy = isFirstIncarnation ? runningOn(server.id) : 0; // an earlier incarnation's sends have ended
            state.slowness = Slowness(server.warmupLeft.count() > 0 ? WarmupSlowness : 1.0);
            state.lastUsedAt = now;
            m_servers[server.id] = std::move(state);
        }
        ServerState &state = m_servers[server.id];
        state.server = server;
        state.isLeaving = server.draining || server.evacuated;
    }
    for (auto &[id, state] : m_servers) {
        state.isLeaving = state.isLeaving || !listedIds.contains(id);
    }
    std::erase_if(m_servers, [&listedIds](const auto &entry) {
        return entry.second.busy == 0 && !listedIds.contains(entry.first);
    });
    m_isEvacuated = isEvacuated();
    m_capacityAt = TimePoint();
    requeueAll(now);
}

unsigned Dispatcher::runningOn(const std::string &server) const
{
    return static_cast<unsigned>(std::count_if(m_running.begin(), m_running.end(), [&server](const auto &entry) {
        return entry.second.server == server && entry.second.holdsSlot;
    }));
}

void Dispatcher::setOwners(KeyOwners owners, TimePoint now)
{
    m_keyed = true;
    m_owners = std::move(owners);
    requeueAll(now);
}

void Dispatcher::requeueAll(TimePoint now)
{
    std::vector<WorkItem> waiting;
    for (auto &[name, queue] : m_queues) {
        std::move(queue.items.begin(), queue.items.end(), std::back_inserter(waiting));
        queue.items.clear();
    }
    for (WorkItem &item : waiting) {
        m_queues[queueName(item)].items.push_back(std::move(item));
    }
    advance(now);
}

std::string Dispatcher::queueName(const WorkItem &item)
{
    if (!m_keyed || !item.key) {
        return {};
    }
    const std::string *owner = m_owners.ownerOf(*item.key);
    return owner == nullptr ? UnownedQueue : *owner;
}

void Dispatcher::setOrphanedRanges(std::vector<OrphanedRange> ranges)
{
    m_orphanedRanges = std::move(ranges);
}

void Dispatcher::setSlotShare(double share)
{
    m_options.slotShare = share;
}

void Dispatcher::submit(WorkItem item, TimePoint now)
{
    if (item.repeat && !item.isRepeatCounted && !m_repeats.take(now)) {
        reject(item, RejectReason::RetryBudget, expectedWork(item), now);
        return;
    }
    if (!item.repeat) {
        m_repeats.onRequest(now);
    }
    const std::string name = queueName(item);
    ServerQueue &queue = m_queues[name];
    decayDemand(queue, now);
    m_shares.onDemand(name, item, expectedWork(item), now);
    const auto dark = orphanedUntil(item);
    if (dark && *dark + toDuration(expectedWork(item) * WorkMargin) > item.deadline) {
        reject(item, RejectReason::NoOwner, *dark - now, now);
        return;
    }
    const Forecast prediction = forecast(item, queue, name, now);
    const bool canMeet = prediction.meetsTarget || prediction.meetsDeadline;
    const bool isWorkTooLong = now + toDuration(expectedWork(item) * WorkMargin) > item.deadline;
    const bool isTrial = isWorkTooLong && queue.items.empty() && freeSlots(name, now) > 0;
    if (!canMeet && !(isTrial && m_work.takeTrial(item.workClass, now))) {
        reject(item, m_isEvacuated ? RejectReason::NoServer : RejectReason::TooLate, prediction.retryAfter, now);
        return;
    }
    if (prediction.meetsTarget) {
        queue.onTimeDemand += expectedWork(item) / DemandTimeConstant;
    }
    item.expectedWork = expectedWork(item);
    queue.items.push_back(std::move(item));
    serveQueue(name, queue, now);
}

void Dispatcher::adopt(const WorkItem &item, const std::string &server, TimePoint now)
{
    const auto position = m_servers.find(server);
    const Seconds expected = position == m_servers.end() ? expectedWork(item) : expectedOn(position->second, item, now);
    const TimePoint end = now + toDuration(expected * AdoptedLifetimeFactor);
    m_running[item.ticket] = {server, traitsOf(item), item.host, now, end, end, false, now};
    m_shares.onStart(item.ticket, server, item.priority);
    m_pace.onSent(server, expectedWork(item), now);
    if (position != m_servers.end()) {
        ++position->second.busy;
        position->second.remaining.add(item.ticket, expected / 2, true, now); // as far as is known, half of it is done
    }
}

/// Frees the slots of sends whose answer will probably never come. This covers two cases: hosts that placed requests
/// without a leader report more sends to a new leader than the servers have slots, and most of them will fail; or
/// servers ran requests whose answers were lost.
void Dispatcher::releaseStaleSlots(TimePoint now)
{
    for (auto &[ticket, running] : m_running) {
        const auto position = m_servers.find(running.server);
        if (!running.holdsSlot || now < running.suspectAt || position == m_servers.end()) {
            continue;
        }
        ServerState &state = position->second;
        const bool hasAnsweredLaterSend = state.newestAnsweredStart > running.startedAt;
        if (hasAnsweredLaterSend || now >= running.presumedLostAt) {
            running.holdsSlot = false;
            m_shares.onEnd(ticket);
            state.remaining.remove(ticket);
            state.busy -= state.busy > 0 ? 1 : 0;
        }
    }
}

void Dispatcher::reject(const WorkItem &item, RejectReason reason, Seconds retryAfter, TimePoint now)
{
    if (reason == RejectReason::TooLate) {
        m_work.onRejected(traitsOf(item));
    }
    constexpr double MinJitter = 0.8;
    constexpr double MaxJitter = 1.2; ///< spreads retries over two fifths of the wait, against retry waves
    std::uniform_real_distribution<double> jitter(MinJitter, MaxJitter);
    m_pace.onRefused(queueName(item), now);
    const auto queue = m_queues.find(queueName(item));
    const auto waiting = queue == m_queues.end() ? 0 : static_cast<std::uint32_t>(queue->second.items.size());
    m_decisions.push_back(Rejection{item.ticket, reason, toDuration(retryAfter * jitter(m_random)), waiting});
}

void Dispatcher::place(const WorkItem &item, ServerState &state, TimePoint now)
{
    const bool mustWait = state.busy >= limitOf(state);
    if (mustWait) {
        state.queued.push_back(item.ticket);
    }
    ++state.busy;
    m_shares.onStart(item.ticket, state.server.id, item.priority);
    state.lastUsedAt = now;
    m_joined.onPlaced(state.server.id, now);
    m_pace.onSent(state.server.id, expectedWork(item), now);
    state.remaining.add(item.ticket, expectedOn(state, item, now), !mustWait, now);
    const Seconds expected = patientlyExpectedOn(state, item, now);
    m_running[item.ticket] = {state.server.id,
                              traitsOf(item),
                              item.host,
                              now,
                              now + toDuration(expected * SuspectFactor),
                              now + toDuration(expected * PresumedLostFactor),
                              mustWait,
                              now};
    m_decisions.push_back(Placement{item.ticket, state.server, toDuration(expected)});
}

/// The first pass places, in queue order, the requests that an available server can answer within their target; a slow
/// server thus gets a request with enough time left. The second pass places the others on the servers still available.
///
/// With hundreds of requests waiting for a hundred servers, the end of a send must stay cheap: it scans the servers
/// once and the queue at most twice, and stops when no server is available.
void Dispatcher::serveQueue(const std::string &name, ServerQueue &queue, TimePoint now)
{
    if (queue.items.empty()) {
        return;
    }
    std::set<Ticket> placed;
    std::vector<const WorkItem *> items;
    for (const bool mayQueue : {false, true}) {
        if (mayQueue && m_options.queuedPerServer == 0) {
            break;
        }
        Candidates candidates = candidatesFor(name, mayQueue, now);
        if (candidates.available.empty()) {
            continue;
        }
        if (items.empty()) {
            items = orderedItems(queue, name, now);
        }
        placeItems(items, candidates, mayQueue, placed, now);
        if (placed.size() == items.size()) {
            break;
        }
    }
    if (!placed.empty()) {
        std::erase_if(queue.items, [&placed](const WorkItem &item) {
            return placed.contains(item.ticket);
        });
    }
}

/// @param placed the items that have been placed, to which this adds
void Dispatcher::placeItems(const std::vector<const WorkItem *> &items, Candidates &candidates, bool mayQueue,
                            std::set<Ticket> &placed, TimePoint now)
{
    for (const bool onlyWithinTarget : {true, false}) {
        for (const WorkItem *item : items) {
            if (candidates.available.empty()) {
                return;
            }
            ServerState *state = placed.contains(item->ticket) ? nullptr : bestAvailable(*item, candidates, now);
            const bool meetsTarget = state != nullptr
                && now + toDuration(expectedOn(*state, *item, now) * PlacementMargin) <= item->targetBy;
            const bool isInOrder = meetsTarget || (candidates.areLateInOrder && !canMeetTarget(*item, now));
            if (state == nullptr || (onlyWithinTarget && !isInOrder)) {
                continue;
            }
            place(*item, *state, now);
            placed.insert(item->ticket);
            if (!(mayQueue ? canQueue(*state, now) : hasFreeSlot(*state, now))) {
                std::erase(candidates.available, state);
            }
        }
    }
}

/// Rejects the requests that can no longer meet their deadline, given the current queue.
void Dispatcher::rejectUnmeetable(const std::string &name, ServerQueue &queue, TimePoint now)
{
    WorkAhead ahead;
    std::set<Ticket> unmeetable;
    const QueueCapacity present = capacityNow(name, now);
    for (const WorkItem *item : orderedItems(queue, name, now)) {
        const Forecast prediction = forecast(*item, ahead, false, present, queue, name, now);
        if (!prediction.meetsDeadline) {
            reject(*item, m_isEvacuated ? RejectReason::NoServer : RejectReason::TooLate, prediction.retryAfter, now);
            unmeetable.insert(item->ticket);
            continue;
        }
        ahead.add(estimate(*item, now));
    }
    std::erase_if(queue.items, [&unmeetable](const WorkItem &item) {
        return unmeetable.contains(item.ticket);
    });
}

void Dispatcher::advance(TimePoint now)
{
    releaseStaleSlots(now);
    for (auto &[id, state] : m_servers) {
        if (state.busy == 0 && now - state.lastUsedAt > std::chrono::milliseconds(500)) {
            state.slowness.decay(now - state.lastUsedAt - std::chrono::milliseconds(500));
            state.lastUsedAt = now - std::chrono::milliseconds(500);
        }
    }
    updateTotals(now);
    const bool isForecastDue = now - m_forecastAt >= ForecastInterval;
    m_forecastAt = isForecastDue ? now : m_forecastAt;
    for (auto &[name, queue] : m_queues) {
        serveQueue(name, queue, now);
        if (isForecastDue) {
            rejectUnmeetable(name, queue, now);
        }
    }
    std::erase_if(m_queues, [](const auto &entry) {
        constexpr double NegligibleDemand = 0.01; ///< busy slots
        return entry.second.items.empty() && entry.second.onTimeDemand < NegligibleDemand;
    });
}

void Dispatcher::finish(Ticket ticket, WorkEnd end, Duration took, TimePoint now, const std::optional<ServerLoad> &load)
{
    const auto running = m_running.find(ticket);
    if (running == m_running.end()) {
        for (auto &[name, queue] : m_queues) {
            std::erase_if(queue.items, [ticket](const WorkItem &item) {
                return item.ticket == ticket;
            });
        }
        return;
    }
    const Running ended = running->second;
    m_running.erase(running);
    m_shares.onEnd(ticket);
    const auto position = m_servers.find(ended.server);
    if (position == m_servers.end()) {
        return;
    }
    ServerState &state = position->second;
    if (load) {
        state.loads.add(*load, state.busy, now);
    }
    state.busy -= ended.holdsSlot && state.busy > 0 ? 1 : 0;
    onSlotFreed(state, ticket, now);
    switch (end) {
    case WorkEnd::Done:
        state.lastAnswerByHost[ended.host] = now;
        state.newestAnsweredStart = std::max(state.newestAnsweredStart, ended.startedAt);
        if (!ended.isWaitingAtServer) {
            learnFrom(state, ended, std::min<Duration>(took, now - ended.slotSince), load.has_value(), now);
        }
        state.outliers.onSuccess();
        m_pace.onAnswer(ended.server);
        state.refusalRate *= 1.0 - RefusalRateWeight;
        break;
    case WorkEnd::Unreachable:
    case WorkEnd::Lost:
        state.outliers.onFailure(now);
        m_pace.onFailure(ended.server, end == WorkEnd::Lost, ended.startedAt, now);
        break;
    case WorkEnd::Refused:
        // A refusal comes back at once, so trying costs little; servers that refuse less are preferred.
        state.refusalRate += RefusalRateWeight * (MaxRefusalRate - state.refusalRate);
        break;
    case WorkEnd::Abandoned:
        break;
    }
    // The free slot only helps the queue of this server, or the common queue of a service without keys.
    const auto queue = m_queues.find(m_keyed ? ended.server : std::string());
    if (queue != m_queues.end()) {
        serveQueue(queue->first, queue->second, now);
    }
}

std::vector<DispatchDecision> Dispatcher::take()
{
    std::vector<DispatchDecision> decisions;
    decisions.swap(m_decisions);
    return decisions;
}

const RepeatWindow &Dispatcher::repeats() const
{
    return m_repeats;
}

std::size_t Dispatcher::waiting() const
{
    std::size_t count = 0;
    for (const auto &[name, queue] : m_queues) {
        count += queue.items.size();
    }
    return count;
}

std::size_t Dispatcher::running() const
{
    return m_running.size();
}

} // namespace snipevalve
