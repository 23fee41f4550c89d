#include "snipevalve/dispatch/slot_shares.hpp"

#include <cmath>

namespace snipevalve {

namespace {

/// The wait for the next of n slots is about work / n; with exponential waits, one in twenty is three times as long.
constexpr double LongWaitFactor = 3.0;
/// Slots are reserved only against requests that can wait: their target is this much longer than the urgent one. Where
/// targets were 0.2 s and 0.5 s, a reserve of one of two slots cost more requests their target than it saved.
constexpr double MinTargetRatio = 4.0;
/// Share of the urgent requests that may wait longer than their slack while all other slots are taken. With 0.02, a
/// burst of long requests got 0.05 less of its work done for less than 0.01 of the urgent requests; with 0.05, two
/// plays in eight missed the bound of the test.
constexpr double AcceptedMisses = 0.03;
/// Slots that urgent requests have to need before one is reserved; a reserved slot is idle for the rest of the time.
constexpr double MinDemand = 0.05;
/// Slots that are assumed to remain for less urgent requests when urgent ones need all of them.
constexpr double MinLeftSlots = 0.25;
/// Lower bound of the slack, as a share of the target: on a slow server the work alone may exceed the target.
constexpr double MinSlackShare = 0.25;
/// Priorities without requests for this long are forgotten.
constexpr Seconds KindLifetime(10.0);
/// Bounds the time that many servers take; an urgent arrival updates the reserve of its own server at once.
constexpr Milliseconds UpdateInterval(100);
constexpr double NegligibleRate = 0.01; ///< requests per second; the demand of a pool below it is forgotten
constexpr double MaxBalanceWeight = 2.0;
constexpr double MeanReserveWeight = 0.05; ///< at each update; averages over two seconds
constexpr double TargetWeight = 0.02; ///< moving average over about fifty requests
constexpr double WorkWeight = 0.1; ///< each is an average already; a new leader's changes with the first answers

/// Whether waiting for a slot that such work holds would cost a request its target. Server speeds are left out: their
/// estimates are too noisy to switch a reserve on and off.
bool isLong(Seconds work, unsigned slots, Seconds slack)
{
    return work * LongWaitFactor / slots > slack;
}

/// The probability that an arrival finds all slots taken (Erlang C).
double waitProbability(unsigned slots, double demand)
{
    if (demand >= slots) {
        return 1.0;
    }
    double blocked = 1.0; // Erlang B, by its recursion
    for (unsigned at = 1; at <= slots; ++at) {
        blocked = demand * blocked / (at + demand * blocked);
    }
    return blocked / (1.0 - (demand / slots) * (1.0 - blocked));
}

/// The fewest slots with which enough urgent requests start within their slack while others take the remaining slots.
unsigned slotsFor(double rate, double demand, Seconds slack, Seconds otherWork, unsigned slots)
{
    const double urgentEndsPerSlot = rate / demand;
    for (unsigned reserved = 1; reserved + 1 < slots; ++reserved) {
        const double ends = reserved * urgentEndsPerSlot + (slots - reserved) / otherWork.count();
        const double misses =
            ends <= rate ? 1.0 : waitProbability(reserved, demand) * std::exp(-(ends - rate) * slack.count());
        if (misses <= AcceptedMisses) {
            return reserved;
        }
    }
    return slots - 1;
}

/// The number of running requests that are as urgent as this priority or less.
unsigned heldBy(const std::map<int, unsigned> &running, int priority)
{
    unsigned held = 0;
    for (auto position = running.lower_bound(priority); position != running.end(); ++position) {
        held += position->second;
    }
    return held;
}

void decrement(std::map<int, unsigned> &running, int priority)
{
    const auto position = running.find(priority);
    if (position != running.end() && --position->second == 0) {
        running.erase(position);
    }
}

} // namespace

const std::string SlotShares::Service;

void SlotShares::setPool(const std::string &pool, unsigned slots, double slowness)
{
    const auto position = m_kinds.size() < 2 ? m_pools.end() : m_pools.find(pool);
    if (position != m_pools.end()) {
        if (slots < position->second.slots) {
            position->second.reserves.clear(); // may be all slots that are left; computed anew by advance()
        }
        position->second.slots = slots;
        position->second.slowness = slowness;
    }
}

void SlotShares::onDemand(const std::string &pool, const WorkItem &item, Seconds work, TimePoint now)
{
    if (m_observedSince == TimePoint()) {
        m_observedSince = now;
    }
    const Seconds target = item.targetBy - now;
    const auto [kind, isNew] = m_kinds.try_emplace(item.priority, Kind{target, work, now, 1});
    kind->second.seenAt = now;
    if (!isNew && !item.repeat) {
        const double first = 1.0 / ++kind->second.count;
        kind->second.target += std::max(TargetWeight, first) * (target - kind->second.target);
        kind->second.work += std::max(WorkWeight, first) * (work - kind->second.work);
    }
    Pool &state = m_pools[pool];
    state.demand.try_emplace(item.priority, m_observedSince).first->second.add(work, now);
    if (pool != Service) {
        m_pools[Service].demand.try_emplace(item.priority, m_observedSince).first->second.add(work, now);
    }
    if (state.slots > 0 && item.priority < m_kinds.rbegin()->first) {
        updateReserves(state, now);
        m_isAnyActive = m_isAnyActive || !state.reserves.empty();
    }
}

void SlotShares::onStart(Ticket ticket, const std::string &server, int priority)
{
    if (!m_started.try_emplace(ticket, Started{server, priority}).second) {
        return;
    }
    ++m_pools[server].running[priority];
    ++m_pools[Service].running[priority];
}

void SlotShares::onEnd(Ticket ticket)
{
    const auto position = m_started.find(ticket);
    if (position == m_started.end()) {
        return;
    }
    decrement(m_pools[position->second.server].running, position->second.priority);
    decrement(m_pools[Service].running, position->second.priority);
    m_started.erase(position);
}

void SlotShares::advance(TimePoint now)
{
    if (now - m_updatedAt < UpdateInterval) {
        return;
    }
    m_updatedAt = now;
    const auto isOld = [now](TimePoint seenAt) {
        return Seconds(now - seenAt) > KindLifetime;
    };
    std::erase_if(m_kinds, [&isOld](const auto &kind) {
        return isOld(kind.second.seenAt);
    });
    m_isAnyActive = false;
    for (auto &[name, pool] : m_pools) {
        std::erase_if(pool.demand, [this, now](const auto &demand) {
            return !m_kinds.contains(demand.first) || demand.second.averageRate(now) < NegligibleRate;
        });
        updateReserves(pool, now);
        updateMeans(pool);
        m_isAnyActive = m_isAnyActive || !pool.reserves.empty();
    }
    std::erase_if(m_pools, [](const auto &pool) {
        return pool.second.demand.empty() && pool.second.running.empty();
    });
}

/// The pool's average rate, corrected by the trend of the whole service, which shows within a few milliseconds, and by
/// the pool's own last few hundred milliseconds.
double SlotShares::currentRate(const Pool &pool, int priority, TimePoint now) const
{
    const RecentDemand &own = pool.demand.at(priority);
    const double average = own.averageRate(now);
    const Pool *service = find(Service);
    const auto total = service == nullptr ? pool.demand.end() : service->demand.find(priority);
    if (service == nullptr || total == service->demand.end()) {
        return own.currentRate(average, now);
    }
    const double totalAverage = total->second.averageRate(now);
    const double trend = totalAverage <= 0 ? 1.0 : total->second.currentRate(totalAverage, now) / totalAverage;
    return own.currentRate(average * trend, now);
}

void SlotShares::updateReserves(Pool &pool, TimePoint now) const
{
    pool.reserves.clear();
    if (pool.slots < 2 || m_kinds.size() < 2) {
        return;
    }
    double rate = 0;
    Reserve reserve;
    Seconds acceptedWait(0); // the slack on this pool's servers
    Seconds urgentTarget(0);
    for (const auto &[priority, kind] : m_kinds) {
        const Seconds work = kind.work * pool.slowness;
        const bool canWait = kind.target >= urgentTarget * MinTargetRatio;
        if (reserve.demand >= MinDemand && canWait && isLong(kind.work, pool.slots, reserve.slack)) {
            reserve.slots = slotsFor(rate, reserve.demand, acceptedWait, work, pool.slots);
            pool.reserves[priority] = reserve;
        }
        if (!pool.demand.contains(priority)) {
            continue;
        }
        const double ownRate = currentRate(pool, priority, now);
        const Seconds wait = std::max(kind.target - work, kind.target * MinSlackShare);
        const Seconds slack = std::max(kind.target - kind.work, kind.target * MinSlackShare);
        urgentTarget = rate > 0 ? std::min(urgentTarget, kind.target) : kind.target;
        acceptedWait = rate > 0 ? std::min(acceptedWait, wait) : wait;
        reserve.slack = rate > 0 ? std::min(reserve.slack, slack) : slack;
        reserve.demand += ownRate * pool.demand.at(priority).meanWork().count() * pool.slowness;
        rate += ownRate;
    }
}

/// A reserve changes several times a second; requests that wait for seconds get its mean.
void SlotShares::updateMeans(Pool &pool) const
{
    for (const auto &[priority, reserve] : pool.reserves) {
        pool.meanReserves.try_emplace(priority, MeanReserve{static_cast<double>(reserve.slots), reserve.demand});
    }
    for (auto &[priority, mean] : pool.meanReserves) {
        const auto position = pool.reserves.find(priority);
        const Reserve present = position == pool.reserves.end() ? Reserve() : position->second;
        mean.slots += MeanReserveWeight * (present.slots - mean.slots);
        mean.demand += MeanReserveWeight * (present.demand - mean.demand);
    }
}

const SlotShares::Pool *SlotShares::find(const std::string &pool) const
{
    const auto position = m_pools.find(pool);
    return position == m_pools.end() ? nullptr : &position->second;
}

const SlotShares::Reserve *SlotShares::reserveAgainst(const Pool &pool, int priority, Seconds work) const
{
    const auto position = pool.reserves.find(priority);
    if (position == pool.reserves.end()) {
        return nullptr;
    }
    const Reserve &reserve = position->second;
    return isLong(work, pool.slots, reserve.slack) ? &reserve : nullptr;
}

bool SlotShares::isAnyActive() const
{
    return m_isAnyActive;
}

bool SlotShares::isActive(const std::string &pool) const
{
    const Pool *state = m_isAnyActive ? find(pool) : nullptr;
    return state != nullptr && !state->reserves.empty();
}

unsigned SlotShares::reservedAgainst(const std::string &pool, int priority) const
{
    const Pool *state = find(pool);
    const auto reserve = state == nullptr ? std::map<int, Reserve>::const_iterator() : state->reserves.find(priority);
    return state == nullptr || reserve == state->reserves.end() ? 0 : reserve->second.slots;
}

bool SlotShares::admits(const std::string &pool, int priority, Seconds work, bool mustWait) const
{
    const Pool *state = m_isAnyActive ? find(pool) : nullptr;
    const Reserve *reserve = state == nullptr ? nullptr : reserveAgainst(*state, priority, work);
    if (reserve == nullptr) {
        return true;
    }
    // A request that waits at a server takes the next free slot there, before any urgent request that comes later.
    return !mustWait && heldBy(state->running, priority) + reserve->slots < state->slots;
}

/// The expected time until one of the running requests ends.
Seconds SlotShares::untilAnySlot(const Pool &pool) const
{
    double endsPerSecond = 0;
    for (const auto &[priority, count] : pool.running) {
        const auto kind = m_kinds.find(priority);
        if (kind != m_kinds.end() && kind->second.work.count() > 0) {
            endsPerSecond += count / (kind->second.work.count() * pool.slowness);
        }
    }
    return endsPerSecond > 0 ? Seconds(1.0 / endsPerSecond) : Seconds(0);
}

SlotShares::Outlook SlotShares::outlook(const std::string &pool, int priority, Seconds work) const
{
    Outlook result;
    const Pool *state = m_isAnyActive ? find(pool) : nullptr;
    if (state == nullptr || state->reserves.empty()) {
        return result;
    }
    if (const Reserve *reserve = reserveAgainst(*state, priority, work)) {
        result.isLimited = true;
        result.competesFrom = state->reserves.begin()->first;
        const auto mean = state->meanReserves.find(priority);
        const double reserved = mean == state->meanReserves.end() ? reserve->slots : mean->second.slots;
        const double left = state->slots - std::max(reserved, reserve->demand);
        result.capacityShare = std::max(MinLeftSlots, left) / state->slots;
        const unsigned allowed = state->slots - reserve->slots;
        const bool isSlotLeft = heldBy(state->running, priority) < allowed;
        result.slotInterval = work * state->slowness / allowed;
        result.untilSlot = isSlotLeft ? Seconds(0) : result.slotInterval;
        return result;
    }
    result.isProtected = state->reserves.rbegin()->first > priority;
    const bool isFree = heldBy(state->running, std::numeric_limits<int>::min()) < state->slots;
    result.untilSlot = isFree ? Seconds(0) : untilAnySlot(*state);
    return result;
}

double SlotShares::serviceDemand(int priority, TimePoint now) const
{
    double demand = 0;
    const Pool *service = find(Service);
    if (service == nullptr) {
        return demand;
    }
    for (const auto &[each, recent] : service->demand) {
        demand += each > priority ? 0 : currentRate(*service, each, now) * recent.meanWork().count();
    }
    return demand;
}

double SlotShares::balanceWeight(const std::string &pool, int priority) const
{
    const Pool *state = m_isAnyActive ? find(pool) : nullptr;
    if (state == nullptr || state->reserves.empty()) {
        return 1.0;
    }
    const int limited = state->reserves.rbegin()->first;
    const auto mean = state->meanReserves.find(limited);
    if (priority >= limited || mean == state->meanReserves.end()) {
        return 1.0;
    }
    // Below one slot of demand, the ratio would mostly follow the noise of the demand.
    return std::clamp(mean->second.slots / std::max(1.0, mean->second.demand), 1.0, MaxBalanceWeight);
}

SlotShares::Summary SlotShares::summary() const
{
    Summary result;
    for (const auto &[name, pool] : m_pools) {
        if (pool.reserves.empty()) {
            continue;
        }
        const Reserve &largest = pool.reserves.rbegin()->second; // against the least urgent priority
        ++result.pools;
        result.slots += largest.slots;
        result.demand += largest.demand;
    }
    return result;
}

} // namespace snipevalve
