#include "snipevalve/dispatch/dispatcher.hpp"

#include <cmath>
#include <set>
#include <tuple>

namespace snipevalve {

namespace {

/// A server that has just started is this much slower; the users' sites name x2.
constexpr double ColdSlowness = 2.0;
/// The queue of requests whose key nobody holds now.
constexpr const char *Unowned = "\n";
/// A server further away than the asking host's zone has to be faster by this much to be chosen: bytes between zones
/// are paid for, and estimates of equal servers differ by a tenth or two.
constexpr double OtherZonePenalty = 1.3;

/// So much of the mean work is kept for a request: nine in ten take less than 1.4 times the mean on the users' sites.
constexpr double WorkMargin = 1.4;
/// And so much of the time that a certain open server is expected to take.
constexpr double PlacementMargin = 1.2;
/// The work that can be in time is averaged over this, shorter than the users' bursts of 2 to 5 s.
constexpr Seconds AverageTime(1.5);
/// Late work finds at least this part of the slots: forecasts are not so good that none would ever be free.
constexpr double LeastLeftOver = 0.05;
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
/// Hosts keep a connection for so long for requests that may not be sent twice.
constexpr Milliseconds ConnectionKept(2'400);
/// Below this part of the slots, any server that answers in time is good enough, so the nearest one is taken.
constexpr double CalmUtilisation = 0.7;
/// How often the whole queue is looked through for what has become hopeless.
constexpr Milliseconds ForecastInterval(40);

Duration toDuration(Seconds seconds)
{
    return std::chrono::duration_cast<Duration>(seconds);
}

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

void Dispatcher::setDarkKeys(std::vector<DarkRange> ranges)
{
    m_darkKeys = std::move(ranges);
}

/// When the item's key can have an owner again; empty when it has one or may get one at any moment.
std::optional<TimePoint> Dispatcher::darkUntil(const WorkItem &item) const
{
    for (const DarkRange &range : m_darkKeys) {
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
