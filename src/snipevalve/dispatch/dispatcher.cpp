#include "snipevalve/dispatch/dispatcher.hpp"

#include <cmath>
#include <set>

namespace snipevalve {

namespace {

/// A server that has just started is this much slower; the users' sites name x2.
constexpr double ColdSlowness = 2.0;
/// The queue of requests whose key nobody holds now.
constexpr const char *Unowned = "\n";
/// A server further away than the asking host's zone has to be faster by this much to be chosen.
constexpr double OtherZonePenalty = 1.05;

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
        return entry.second.server == server;
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
    std::map<std::string, Queue> old;
    old.swap(m_queues);
    for (auto &[name, queue] : old) {
        for (WorkItem &item : queue) {
            m_queues[queueName(item)].push_back(std::move(item));
        }
    }
    advance(now);
}

std::string Dispatcher::queueName(const WorkItem &item)
{
    if (!m_keyed || !item.key) {
        return {};
    }
    const std::string *owner = m_owners.ownerOf(*item.key);
    return owner == nullptr ? Unowned : *owner;
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

/// The time until the queue ahead of the item has been started, if all slots work at their observed speed.
Seconds Dispatcher::predictedWait(const WorkItem &item, const Queue &queue, const ServerState *owner,
                                  TimePoint now) const
{
    double slotsBySpeed = 0;
    unsigned busy = 0;
    unsigned limit = 0;
    for (const auto &[id, state] : m_servers) {
        const bool counts = owner == nullptr ? !state.gone : &state == owner;
        if (counts) {
            slotsBySpeed += limitOf(state) / state.slowness.factor();
            busy += state.busy;
            limit += limitOf(state);
        }
    }
    if (slotsBySpeed <= 0) {
        return Seconds(0);
    }
    double ahead = busy < limit ? 0 : 0.5;
    for (const WorkItem &other : queue) {
        if (other.ticket != item.ticket && goesBefore(other, item, now)) {
            ahead += 1;
        }
    }
    return expectedWork(item) * (ahead / slotsBySpeed);
}

bool Dispatcher::goesBefore(const WorkItem &left, const WorkItem &right, TimePoint now) const
{
    const bool leftInTime = now + toDuration(expectedWork(left)) <= left.targetBy;
    const bool rightInTime = now + toDuration(expectedWork(right)) <= right.targetBy;
    if (leftInTime != rightInTime) {
        return leftInTime;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    return leftInTime ? left.targetBy < right.targetBy : left.deadline < right.deadline;
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
    const std::string name = queueName(item);
    Queue &queue = m_queues[name];
    const auto owner = m_servers.find(name);
    const ServerState *ownerState = owner == m_servers.end() ? nullptr : &owner->second;
    const Seconds wait = predictedWait(item, queue, ownerState, now);
    if (now + toDuration(wait + expectedWork(item)) > item.deadline) {
        reject(item, RejectReason::TooLate, wait);
        return;
    }
    queue.push_back(std::move(item));
    serveQueue(name, queue, now);
}

void Dispatcher::adopt(const WorkItem &item, const std::string &server, TimePoint now)
{
    m_running[item.ticket] = {server, item.workClass, now};
    const auto position = m_servers.find(server);
    if (position != m_servers.end()) {
        ++position->second.busy;
    }
}

void Dispatcher::reject(const WorkItem &item, RejectReason reason, Seconds retryAfter)
{
    constexpr double LeastSpread = 0.8;
    constexpr double MostSpread = 1.2; ///< spreads returners over two fifths of the wait, so that they come as no wave
    std::uniform_real_distribution<double> spread(LeastSpread, MostSpread);
    m_decisions.push_back(Rejection{item.ticket, reason, toDuration(retryAfter * spread(m_random))});
}

void Dispatcher::place(const WorkItem &item, ServerState &state, TimePoint now)
{
    ++state.busy;
    state.lastUsedAt = now;
    m_running[item.ticket] = {state.server.id, item.workClass, now};
    m_decisions.push_back(Placement{item.ticket, state.server, toDuration(expectedOn(state, item))});
}

/// The open server with the shortest expected time. Null also when a busy server will be through with the request
/// sooner, and within its target, while the best open one would make it late.
Dispatcher::ServerState *Dispatcher::bestOpen(const WorkItem &item, TimePoint now)
{
    ServerState *best = nullptr;
    Seconds bestTime(0);
    Seconds bestBusy = Seconds::max();
    for (auto &[id, state] : m_servers) {
        const bool isAvoided = std::find(item.avoid.begin(), item.avoid.end(), id) != item.avoid.end();
        if (isAvoided || state.gone || state.outliers.isEjected(now)) {
            continue;
        }
        const Seconds time = expectedOn(state, item) * (state.server.zone == item.zone ? 1.0 : OtherZonePenalty);
        if (!isOpen(state, now)) {
            // On average half of the work of the request that is nearest to its end is left.
            bestBusy = std::min(bestBusy, time * (1.0 + 1.0 / (2.0 * limitOf(state))));
        } else if (best == nullptr || time < bestTime
                   || (time == bestTime && state.busy * best->server.slots < best->busy * state.server.slots)) {
            best = &state;
            bestTime = time;
        }
    }
    const bool isBetterToWait = best != nullptr && now + toDuration(bestTime) > item.targetBy && bestBusy < bestTime
        && now + toDuration(bestBusy) <= item.targetBy;
    return isBetterToWait ? nullptr : best;
}

Dispatcher::ServerState *Dispatcher::serverFor(const WorkItem &item, const std::string &queueName, TimePoint now)
{
    if (queueName.empty()) {
        return bestOpen(item, now);
    }
    const auto position = m_servers.find(queueName);
    return position != m_servers.end() && isOpen(position->second, now) ? &position->second : nullptr;
}

void Dispatcher::serveQueue(const std::string &name, Queue &queue, TimePoint now)
{
    std::set<Ticket> passedOver;
    while (passedOver.size() < queue.size()) {
        auto next = queue.end();
        for (auto item = queue.begin(); item != queue.end(); ++item) {
            if (!passedOver.contains(item->ticket) && (next == queue.end() || goesBefore(*item, *next, now))) {
                next = item;
            }
        }
        ServerState *state = serverFor(*next, name, now);
        if (state == nullptr) {
            // In a keyed queue, and where nobody is open, no other request can go either.
            if (!name.empty() || next->avoid.empty()) {
                return;
            }
            passedOver.insert(next->ticket);
            continue;
        }
        place(*next, *state, now);
        queue.erase(next);
    }
}

void Dispatcher::dropLate(Queue &queue, TimePoint now)
{
    std::erase_if(queue, [this, now](const WorkItem &item) {
        const Seconds least = expectedWork(item) * 0.5; ///< half of the mean: faster servers exist
        const bool isLate = now + toDuration(least) > item.deadline;
        if (isLate) {
            reject(item, RejectReason::TooLate, expectedWork(item));
        }
        return isLate;
    });
}

void Dispatcher::advance(TimePoint now)
{
    for (auto &[id, state] : m_servers) {
        if (state.busy == 0 && now - state.lastUsedAt > std::chrono::milliseconds(500)) {
            state.slowness.forget(now - state.lastUsedAt - std::chrono::milliseconds(500));
            state.lastUsedAt = now - std::chrono::milliseconds(500);
        }
    }
    for (auto &[name, queue] : m_queues) {
        dropLate(queue, now);
        serveQueue(name, queue, now);
    }
    std::erase_if(m_queues, [](const auto &entry) {
        return entry.second.empty();
    });
}

void Dispatcher::finish(Ticket ticket, WorkEnd end, Duration took, TimePoint now)
{
    const auto running = m_running.find(ticket);
    if (running == m_running.end()) {
        for (auto &[name, queue] : m_queues) {
            std::erase_if(queue, [ticket](const WorkItem &item) {
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
    state.busy -= state.busy > 0 ? 1 : 0;
    switch (end) {
    case WorkEnd::Done:
        state.slowness.observe(m_times.observe(ended.workClass, took, state.slowness.factor()));
        state.outliers.onSuccess();
        break;
    case WorkEnd::Unreachable:
    case WorkEnd::Lost:
    case WorkEnd::Refused:
        state.outliers.onFailure(now);
        break;
    case WorkEnd::Abandoned:
        break;
    }
    advance(now);
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
    for (const auto &[name, queue] : m_queues) {
        count += queue.size();
    }
    return count;
}

std::size_t Dispatcher::running() const
{
    return m_running.size();
}

} // namespace snipevalve
