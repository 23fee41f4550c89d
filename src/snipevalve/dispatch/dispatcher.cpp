#include "snipevalve/dispatch/dispatcher.hpp"

#include <set>

#include "snipevalve/dispatch/dispatcher_margins.hpp"

namespace snipevalve {

using detail::AverageTime;
using detail::PlacementMargin;
using detail::toDuration;
using detail::WorkMargin;

namespace {

/// A server that has just started is this much slower; the users' sites name x2.
constexpr double ColdSlowness = 2.0;
/// The queue of requests whose key nobody holds now.
constexpr const char *Unowned = "\n";

/// The last ten sends make two thirds of a server's share of refusals.
constexpr double RefuseWeight = 0.1;
constexpr double MostRefused = 0.95; ///< a server that refuses all still counts as able to serve one in twenty
/// A send that takes so many times as long as expected has probably lost its answer if its server goes on answering
/// others: one in a hundred takes 3 to 5 times as long.
constexpr double DoubtfulAfter = 6.0;
/// The same without any answer of the server: slow ones of the users' pages take up to 12 times as long.
constexpr double HopelessAfter = 14.0;
/// A send that another dispatcher began is on average half through. What has queued behind it is not known here.
constexpr double LongestAdopted = 1.5;
/// How often the whole queue is looked through for what has become hopeless.
constexpr Milliseconds ForecastInterval(40);

} // namespace

std::string_view describe(RejectReason reason)
{
    switch (reason) {
    case RejectReason::NoServer:
        return "no usable server";
    case RejectReason::NoOwner:
        return "no server holds the key";
    case RejectReason::TooLate:
        return "the wait is longer than the request's time";
    case RejectReason::RetryBudget:
        return "no repeated send left";
    case RejectReason::Stopping:
        return "the host is about to end";
    }
    return "";
}

std::string_view describe(WorkEnd end)
{
    switch (end) {
    case WorkEnd::Done:
        return "done";
    case WorkEnd::Refused:
        return "refused";
    case WorkEnd::Unreachable:
        return "unreachable";
    case WorkEnd::Lost:
        return "lost";
    case WorkEnd::Abandoned:
        return "abandoned";
    }
    return "";
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : m_options(options)
    , m_repeats(options.repeats)
    , m_random(options.seed)
{
}

void Dispatcher::setServers(const std::vector<UpstreamServer> &servers, TimePoint now)
{
    std::set<std::string> named;
    for (const UpstreamServer &server : servers) {
        named.insert(server.id);
        const auto position = m_servers.find(server.id);
        const bool isNew = position == m_servers.end() || position->second.server.incarnation != server.incarnation;
        if (isNew) {
            const bool isFirstLife = position == m_servers.end();
            ServerState state;
            state.busy = isFirstLife ? runningOn(server.id) : 0; // what an earlier life ran has ended with it
            state.slowness = Slowness(server.warmupLeft.count() > 0 ? ColdSlowness : 1.0);
            state.lastUsedAt = now;
            m_servers[server.id] = std::move(state);
        }
        ServerState &state = m_servers[server.id];
        state.server = server;
        state.gone = server.draining;
    }
    for (auto &[id, state] : m_servers) {
        state.gone = state.gone || !named.contains(id);
    }
    std::erase_if(m_servers, [](const auto &entry) {
        return entry.second.gone && entry.second.busy == 0 && !entry.second.server.draining;
    });
    requeueAll(now);
}

unsigned Dispatcher::runningOn(const std::string &server) const
{
    return static_cast<unsigned>(std::count_if(m_running.begin(), m_running.end(), [&server](const auto &entry) {
        return entry.second.server == server && entry.second.occupies;
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
    for (auto &[name, lane] : m_lanes) {
        std::move(lane.queue.begin(), lane.queue.end(), std::back_inserter(waiting));
        lane.queue.clear();
    }
    for (WorkItem &item : waiting) {
        m_lanes[laneName(item)].queue.push_back(std::move(item));
    }
    advance(now);
}

std::string Dispatcher::laneName(const WorkItem &item)
{
    if (!m_keyed || !item.key) {
        return {};
    }
    const std::string *owner = m_owners.ownerOf(*item.key);
    return owner == nullptr ? Unowned : *owner;
}

void Dispatcher::setOrphanedRanges(std::vector<OrphanedRange> ranges)
{
    m_darkKeys = std::move(ranges);
}

void Dispatcher::setSlotShare(double share)
{
    m_options.slotShare = share;
}

void Dispatcher::submit(WorkItem item, TimePoint now)
{
    if (item.repeat && !m_repeats.take(now)) {
        reject(item, RejectReason::RetryBudget, expectedWork(item));
        return;
    }
    if (!item.repeat) {
        m_repeats.onRequest(now);
    }
    const std::string name = laneName(item);
    Lane &lane = m_lanes[name];
    average(lane, now);
    const auto dark = darkUntil(item);
    if (dark && *dark + toDuration(expectedWork(item) * WorkMargin) > item.deadline) {
        reject(item, RejectReason::NoOwner, *dark - now);
        return;
    }
    const Forecast outlook = forecast(item, lane, name, now);
    if (!outlook.inTarget && !outlook.inDeadline) {
        reject(item, RejectReason::TooLate, outlook.wait);
        return;
    }
    if (outlook.inTarget) {
        lane.inTimeWork += expectedWork(item) / AverageTime;
    }
    lane.queue.push_back(std::move(item));
    serveLane(name, lane, now);
}

void Dispatcher::adopt(const WorkItem &item, const std::string &server, TimePoint now)
{
    const auto position = m_servers.find(server);
    const Seconds expected = position == m_servers.end() ? expectedWork(item) : expectedOn(position->second, item);
    const TimePoint end = now + toDuration(expected * LongestAdopted);
    m_running[item.ticket] = {server, item.workClass, item.host, now, end, end};
    if (position != m_servers.end()) {
        ++position->second.busy;
    }
}

/// Answers the load pattern "hosts have decided by themselves": they tell a new leader of more sends than the servers
/// have slots, most of them without hope; and the pattern "servers run requests and their answers are lost".
void Dispatcher::freeAbandonedSlots(TimePoint now)
{
    for (auto &[ticket, running] : m_running) {
        const auto position = m_servers.find(running.server);
        if (!running.occupies || now < running.doubtfulAt || position == m_servers.end()) {
            continue;
        }
        ServerState &state = position->second;
        const bool hasPassed = state.newestDone > running.since;
        if (hasPassed || now >= running.hopelessAt) {
            running.occupies = false;
            state.busy -= state.busy > 0 ? 1 : 0;
        }
    }
}

void Dispatcher::reject(const WorkItem &item, RejectReason reason, Seconds retryAfter)
{
    constexpr double LeastSpread = 0.8;
    constexpr double MostSpread = 1.2; ///< spreads returners over two fifths of the wait, so that they come as no wave
    std::uniform_real_distribution<double> spread(LeastSpread, MostSpread);
    const auto lane = m_lanes.find(laneName(item));
    const auto waiting = lane == m_lanes.end() ? 0 : static_cast<std::uint32_t>(lane->second.queue.size());
    m_decisions.push_back(Rejection{item.ticket, reason, toDuration(retryAfter * spread(m_random)), waiting});
}

void Dispatcher::place(const WorkItem &item, ServerState &state, TimePoint now)
{
    ++state.busy;
    state.lastUsedAt = now;
    const Seconds expected = expectedOn(state, item);
    m_running[item.ticket] = {state.server.id,
                              item.workClass,
                              item.host,
                              now,
                              now + toDuration(expected * DoubtfulAfter),
                              now + toDuration(expected * HopelessAfter)};
    m_decisions.push_back(Placement{item.ticket, state.server, toDuration(expected)});
}

/// First the requests that an open server answers within their target, in their order; a slow server so gets one that
/// has time for it. Then the others, where an open server is left.
///
/// Answers the load pattern "hundreds wait for a hundred servers": each end of a send looks at the servers once and at
/// the queue once, and stops when no server is open.
void Dispatcher::serveLane(const std::string &name, Lane &lane, TimePoint now)
{
    if (lane.queue.empty()) {
        return;
    }
    Candidates candidates = candidatesOf(name, now);
    if (candidates.open.empty()) {
        return;
    }
    std::set<Ticket> placed;
    const std::vector<const WorkItem *> items = inOrder(lane, now);
    for (const bool onlyInTarget : {true, false}) {
        for (const WorkItem *item : items) {
            if (candidates.open.empty()) {
                break;
            }
            ServerState *state = placed.contains(item->ticket) ? nullptr : bestOpen(*item, candidates, now);
            const bool isInTarget =
                state != nullptr && now + toDuration(expectedOn(*state, *item) * PlacementMargin) <= item->targetBy;
            if (state == nullptr || (onlyInTarget && !isInTarget)) {
                continue;
            }
            place(*item, *state, now);
            placed.insert(item->ticket);
            if (!isOpen(*state, now)) {
                std::erase(candidates.open, state);
            }
        }
    }
    if (!placed.empty()) {
        std::erase_if(lane.queue, [&placed](const WorkItem &item) {
            return placed.contains(item.ticket);
        });
    }
}

/// Rejects what can no longer be answered in time, by the queue as it stands now.
void Dispatcher::dropHopeless(const std::string &name, Lane &lane, TimePoint now)
{
    Seconds inTimeAhead(0);
    Seconds lateAhead(0);
    std::set<Ticket> hopeless;
    for (const WorkItem *item : inOrder(lane, now)) {
        const Forecast outlook = forecast(*item, inTimeAhead, lateAhead, lane, name, now);
        if (!outlook.inDeadline) {
            reject(*item, RejectReason::TooLate, outlook.wait);
            hopeless.insert(item->ticket);
            continue;
        }
        (canBeInTarget(*item, now) ? inTimeAhead : lateAhead) += expectedWork(*item);
    }
    std::erase_if(lane.queue, [&hopeless](const WorkItem &item) {
        return hopeless.contains(item.ticket);
    });
}

void Dispatcher::updateTotals(TimePoint now)
{
    m_serviceCapacity = capacityOfLane({});
    m_serviceWork = 0;
    for (auto &[name, lane] : m_lanes) {
        average(lane, now);
        m_serviceWork += lane.inTimeWork;
    }
}

void Dispatcher::advance(TimePoint now)
{
    freeAbandonedSlots(now);
    for (auto &[id, state] : m_servers) {
        if (state.busy == 0 && now - state.lastUsedAt > std::chrono::milliseconds(500)) {
            state.slowness.forget(now - state.lastUsedAt - std::chrono::milliseconds(500));
            state.lastUsedAt = now - std::chrono::milliseconds(500);
        }
    }
    updateTotals(now);
    const bool isForecastDue = now - m_forecastAt >= ForecastInterval;
    m_forecastAt = isForecastDue ? now : m_forecastAt;
    for (auto &[name, lane] : m_lanes) {
        serveLane(name, lane, now);
        if (isForecastDue) {
            dropHopeless(name, lane, now);
        }
    }
    std::erase_if(m_lanes, [](const auto &entry) {
        constexpr double Nothing = 0.01; ///< busy slots
        return entry.second.queue.empty() && entry.second.inTimeWork < Nothing;
    });
}

void Dispatcher::learn(std::uint64_t workClass, Duration took)
{
    m_times.observe(workClass, took, 1.0);
}

void Dispatcher::finish(Ticket ticket, WorkEnd end, Duration took, TimePoint now)
{
    const auto running = m_running.find(ticket);
    if (running == m_running.end()) {
        for (auto &[name, lane] : m_lanes) {
            std::erase_if(lane.queue, [ticket](const WorkItem &item) {
                return item.ticket == ticket;
            });
        }
        return;
    }
    const Running ended = running->second;
    m_running.erase(running);
    const auto position = m_servers.find(ended.server);
    if (position == m_servers.end()) {
        return;
    }
    ServerState &state = position->second;
    state.busy -= ended.occupies && state.busy > 0 ? 1 : 0;
    switch (end) {
    case WorkEnd::Done:
        state.answeredTo[ended.host] = now;
        state.newestDone = std::max(state.newestDone, ended.since);
        state.slowness.observe(m_times.observe(ended.workClass, took, state.slowness.factor()));
        state.outliers.onSuccess();
        state.refuseShare *= 1.0 - RefuseWeight;
        break;
    case WorkEnd::Unreachable:
    case WorkEnd::Lost:
        state.outliers.onFailure(now);
        break;
    case WorkEnd::Refused:
        // It answers at once, so trying costs little; servers that refuse less are preferred.
        state.refuseShare += RefuseWeight * (MostRefused - state.refuseShare);
        break;
    case WorkEnd::Abandoned:
        break;
    }
    // Only the requests for this server, or of a pool for any, can go now.
    const auto lane = m_lanes.find(m_keyed ? ended.server : std::string());
    if (lane != m_lanes.end()) {
        serveLane(lane->first, lane->second, now);
    }
}

std::vector<DispatchDecision> Dispatcher::take()
{
    std::vector<DispatchDecision> decisions;
    decisions.swap(m_decisions);
    return decisions;
}

std::size_t Dispatcher::waiting() const
{
    std::size_t count = 0;
    for (const auto &[name, lane] : m_lanes) {
        count += lane.queue.size();
    }
    return count;
}

std::size_t Dispatcher::running() const
{
    return m_running.size();
}

} // namespace snipevalve
