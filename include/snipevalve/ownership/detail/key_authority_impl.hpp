#ifndef SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP
#define SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP

/// @file Members of BasicKeyAuthority. Included by its source file, and by tests that instantiate it without one of the
/// safety rules.

#include <algorithm>

#include "snipevalve/ownership/key_authority.hpp"

namespace snipevalve {

namespace detail {

/// A fencing token holds the term in its upper bits and a sequence number in the lower ones. Together they stay within
/// the 53 bits that a JSON number represents exactly.
inline constexpr unsigned FenceSequenceBits = 24;

/// More terms than a service can have within one era: each takes milliseconds at least, and a copy is seconds old.
inline constexpr std::uint64_t TermsPerEra = 1U << 16U;
/// The term must fit into the 29 bits that a fencing token has for it.
inline constexpr std::uint64_t MaxEra = (1U << 13U) - 1;

inline std::string describe(const KeyRange &keys)
{
    return std::to_string(keys.from) + "-" + std::to_string(keys.to);
}

/// By key: the higher one of its averages.
inline std::vector<float> highestLoads(const std::vector<float> &fast, const std::vector<float> &slow)
{
    std::vector<float> highest = slow;
    for (std::size_t key = 0; key < highest.size(); ++key) {
        highest[key] = std::max(highest[key], fast[key]);
    }
    return highest;
}

inline bool mayGetKeys(const UpstreamServer &server)
{
    return !server.draining && !server.evacuated;
}

} // namespace detail

template <typename Rules>
BasicKeyAuthority<Rules>::BasicKeyAuthority(KeyPlan plan, KeyAuthorityTimes times, TimePoint now, bool noLongHolds)
    : BasicKeyAuthority(PredecessorKnowledge{.plan = std::move(plan), .noLongHolds = noLongHolds}, times, now)
{
}

template <typename Rules>
BasicKeyAuthority<Rules>::BasicKeyAuthority(PredecessorKnowledge known, KeyAuthorityTimes times, TimePoint now)
    : m_times(times)
    , m_leaseEnd(now)
    , m_balancedAt(now)
    , m_mergedAt(now)
{
    known.isPlanComplete = known.isPlanComplete || !Rules::DistrustOldPlan;
    const bool isFirstTerm = known.plan.term == 0 && known.isPlanComplete;
    const Milliseconds longestHold = known.noLongHolds ? m_times.hold : m_times.longHold;
    const Milliseconds activeFor = Rules::CountActivePredecessor ? known.activeFor : Milliseconds(0);
    const TimePoint predecessorHoldEnd = now + activeFor + m_times.maxArrivalDelay + withClockDrift(longestHold);
    m_longHoldEnd = known.noLongHolds || isFirstTerm ? TimePoint() : predecessorHoldEnd;
    m_ownerChangesFrom = isFirstTerm || !Rules::DelayOwnerChanges ? TimePoint() : now + m_times.ownerChangeDelay;
    if (known.isPlanComplete) {
        inheritOwners(known.plan, predecessorHoldEnd);
    } else {
        waitForAllHolds(known.plan, predecessorHoldEnd);
        confirmOwners(known.ownGrants);
    }
    inheritLosses(known.plan.recentLosses, now);
    m_plan = std::move(known.plan);
    m_plan.term = std::max(m_plan.term + 1, Rules::RaiseTermWithEra ? known.leastTerm : 1);
    m_plan.version = 0;
    m_plan.deputy = {};
}

/// The plan names every owner but those of `unknownOwners`.
/// @param holdEnd every grant of earlier leaders has expired by then
template <typename Rules>
void BasicKeyAuthority<Rules>::inheritOwners(const KeyPlan &plan, TimePoint holdEnd)
{
    for (const PlannedRange &range : plan.ranges) {
        Segment segment;
        segment.keys = range.keys;
        segment.state = State::Granting;
        segment.owner = range.owner;
        segment.holdEnd = holdEnd;
        segment.inherited = true;
        m_segments.push_back(std::move(segment));
    }
    for (const KeyRange &keys : plan.unknownOwners) {
        addUnknownOwner(keys, {}, holdEnd);
    }
    std::sort(m_segments.begin(), m_segments.end(), [](const Segment &left, const Segment &right) {
        return left.keys.from < right.keys.from;
    });
    fillGaps();
}

/// Any server may own any key until `holdEnd`. The servers that the plan names are preferred as owners then.
template <typename Rules>
void BasicKeyAuthority<Rules>::waitForAllHolds(const KeyPlan &plan, TimePoint holdEnd)
{
    inheritOwners(plan, holdEnd);
    for (Segment &segment : m_segments) {
        segment.holdEnd = holdEnd;
        forgetOwner(segment);
    }
}

/// The owners of grants that still run are asked whether a later leader has reached them.
template <typename Rules>
void BasicKeyAuthority<Rules>::confirmOwners(const RunningGrants &own)
{
    for (const RunningGrant &grant : own.grants) {
        split(grant.keys.from);
        split(grant.keys.to + 1U);
        for (Segment &segment : m_segments) {
            if (grant.keys.contains(segment.keys.from)) {
                segment.state = State::Confirming;
                segment.owner = grant.owner;
                segment.fence = Rules::ConfirmWithOldFence ? own.fence : 0;
                segment.grantedUntil = grant.until;
                segment.released = false;
                segment.inherited = true;
            }
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::updateConfirmation(Segment &segment, TimePoint now)
{
    const bool isTooLate = Rules::ConfirmInTime && now + m_times.confirmTime >= segment.grantedUntil;
    if (isTooLate || liveServer(segment.owner) == nullptr) {
        m_decisions.push_back("keys " + detail::describe(segment.keys) + " wait: " + segment.owner.id
                              + " has not confirmed its grant");
        forgetOwner(segment);
    }
}

/// Any server may own the keys until `holdEnd`.
template <typename Rules>
void BasicKeyAuthority<Rules>::forgetOwner(Segment &segment)
{
    segment.state = State::Orphaned;
    segment.nextOwner = segment.owner.id;
    segment.owner = {};
    segment.fence = 0;
    segment.released = true;
    segment.inherited = false;
}

/// Adds keys that any server may own until `holdEnd`.
/// @param nextOwner the server that gets them then, if it is usable; empty for any
template <typename Rules>
void BasicKeyAuthority<Rules>::addUnknownOwner(const KeyRange &keys, const std::string &nextOwner, TimePoint holdEnd)
{
    Segment segment;
    segment.keys = keys;
    segment.state = State::Orphaned;
    segment.nextOwner = nextOwner;
    segment.holdEnd = holdEnd;
    segment.released = true;
    m_segments.push_back(std::move(segment));
}

/// Adds an unowned segment for each gap between the ranges of the plan.
template <typename Rules>
void BasicKeyAuthority<Rules>::fillGaps()
{
    std::vector<Segment> all;
    std::uint32_t next = 0;
    const auto addGap = [&all](std::uint32_t from, std::uint32_t end) {
        if (from < end) {
            Segment gap;
            gap.keys = {static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(end - 1)};
            all.push_back(std::move(gap));
        }
    };
    for (Segment &segment : m_segments) {
        addGap(next, segment.keys.from);
        next = static_cast<std::uint32_t>(segment.keys.to) + 1;
        all.push_back(std::move(segment));
    }
    addGap(next, KeyCount);
    m_segments = std::move(all);
}

template <typename Rules>
bool BasicKeyAuthority<Rules>::holdsLease(TimePoint now) const
{
    return now < m_leaseEnd || !Rules::CheckLease;
}

template <typename Rules>
Duration BasicKeyAuthority<Rules>::withClockDrift(Milliseconds hold) const
{
    if (!Rules::AllowForSlowClock) {
        return hold;
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double, std::milli>(hold) / (1.0 - m_times.maxClockDrift));
}

template <typename Rules>
const UpstreamServer *BasicKeyAuthority<Rules>::liveServer(const ServerIncarnation &life) const
{
    const auto position = m_servers.find(life.id);
    const bool isLive = position != m_servers.end() && position->second.incarnation == life.incarnation;
    return isLive ? &position->second : nullptr;
}

template <typename Rules>
std::uint64_t BasicKeyAuthority<Rules>::nextFence()
{
    return (m_plan.term << detail::FenceSequenceBits) + ++m_sequence;
}

template <typename Rules>
void BasicKeyAuthority<Rules>::setServers(const std::vector<UpstreamServer> &servers, TimePoint)
{
    m_servers.clear();
    for (const UpstreamServer &server : servers) {
        m_servers[server.id] = server;
    }
    std::erase_if(m_unanswered, [this](const auto &entry) {
        return !m_servers.contains(entry.first);
    });
}

template <typename Rules>
void BasicKeyAuthority<Rules>::setLeaderLease(TimePoint until, bool storeAnswers)
{
    const bool wasAnswering = m_storeAnswers;
    m_leaseEnd = until;
    m_storeAnswers = storeAnswers;
    if (wasAnswering && !storeAnswers) {
        renewAllAtOnce();
    }
}

/// Every server has to get the long hold before this leader's lease ends.
template <typename Rules>
void BasicKeyAuthority<Rules>::renewAllAtOnce()
{
    for (Segment &segment : m_segments) {
        segment.sendAt = segment.state == State::Held ? TimePoint() : segment.sendAt;
    }
}

/// Whether every plan that may be in the store allows long holds: it names no deputy, or one that has consented.
template <typename Rules>
bool BasicKeyAuthority<Rules>::mayGrantLongHolds() const
{
    const auto allows = [this](const PlanDeputy &deputy) {
        return deputy.run.empty() || m_consents.contains(deputy.epoch);
    };
    return !Rules::WaitForConsent || (allows(m_plan.deputy) && allows(m_savedDeputy));
}

/// Whether a server may still have a long hold of this or an earlier leader.
template <typename Rules>
bool BasicKeyAuthority<Rules>::mayLongHoldsLast(TimePoint now) const
{
    const bool isInFlight = std::any_of(m_segments.begin(), m_segments.end(), [this](const Segment &segment) {
        return segment.call != 0 && segment.callHold > m_times.hold;
    });
    return Rules::NameDeputyLate && (now < m_longHoldEnd || isInFlight);
}

/// A successor relies on what the plan says of its deputy, so a plan may name a deputy only when no long hold lasts. A
/// deputy that has consented is named anew, with another epoch, once these holds have ended.
template <typename Rules>
void BasicKeyAuthority<Rules>::setDeputy(const std::string &run, TimePoint now)
{
    const bool isCurrent = run == m_deputy.run && !m_consents.contains(m_deputy.epoch);
    if (isCurrent || !m_storeAnswers) {
        return;
    }
    const bool isNamed = !run.empty() && !mayLongHoldsLast(now);
    const bool isRemoved = run != m_deputy.run && !m_deputy.run.empty();
    if (!isNamed && !isRemoved) {
        return;
    }
    m_deputy = isNamed ? PlanDeputy{run, ++m_lastEpoch} : PlanDeputy{};
    m_ownersChanged = true;
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onDeputyConsent(std::uint64_t term, std::uint64_t epoch)
{
    const bool isNew = term == m_plan.term && m_consents.insert(epoch).second;
    if (isNew && !m_storeAnswers) {
        renewAllAtOnce();
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::askDeputies(TimePoint now, Actions &actions)
{
    if (m_storeAnswers || now < m_askDeputyAt || mayGrantLongHolds()) {
        return;
    }
    m_askDeputyAt = now + m_times.askDeputyInterval;
    for (const PlanDeputy &deputy : {m_savedDeputy, m_plan.deputy}) {
        if (!deputy.run.empty() && !m_consents.contains(deputy.epoch)) {
            actions.push_back(AskDeputy{m_plan.term, deputy});
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::setUnowned(Segment &segment)
{
    segment.state = State::Unowned;
    segment.released = false;
    segment.inherited = false;
    segment.sendAt = {};
}

/// The owner gets the keys once a plan that names it has been saved.
template <typename Rules>
void BasicKeyAuthority<Rules>::planGrant(Segment &segment, TimePoint now)
{
    segment.state = State::Planned;
    segment.released = false;
    segment.inherited = false;
    segment.nextOwner.clear();
    segment.fence = 0;
    segment.sendAt = now;
    m_ownersChanged = true;
}

template <typename Rules>
void BasicKeyAuthority<Rules>::noteLoss(const Segment &segment, TimePoint now)
{
    if (!segment.owner.id.empty()) {
        m_recentOwners.add(segment.keys, segment.owner.id, now + m_times.returnDelay);
    }
}

/// The ages count from the start of this term, which is later than the plan, so keys stay away for long enough.
template <typename Rules>
void BasicKeyAuthority<Rules>::inheritLosses(std::vector<KeyLoss> losses, TimePoint now)
{
    std::stable_sort(losses.begin(), losses.end(), [](const KeyLoss &left, const KeyLoss &right) {
        return left.age > right.age;
    });
    for (const KeyLoss &loss : losses) {
        if (loss.age < m_times.returnDelay) {
            m_recentOwners.add(loss.keys, loss.server, now + (m_times.returnDelay - loss.age));
        }
    }
}

template <typename Rules>
std::vector<KeyLoss> BasicKeyAuthority<Rules>::recentLosses(TimePoint now) const
{
    std::vector<KeyLoss> recent;
    for (const auto &[server, losses] : m_recentOwners.losses()) {
        for (const RecentOwners::Loss &loss : losses) {
            if (now < loss.until) {
                const auto age = std::chrono::floor<Milliseconds>(now + m_times.returnDelay - loss.until);
                recent.push_back({server, loss.keys, age});
            }
        }
    }
    return plannedLosses(std::move(recent));
}

template <typename Rules>
void BasicKeyAuthority<Rules>::release(Segment &segment, const std::string &nextOwner, TimePoint now)
{
    segment.state = State::Releasing;
    segment.nextOwner = nextOwner;
    segment.handover.clear();
    segment.sendAt = now;
}

/// Updates a segment's state after its owner has restarted, left, returned or begun to drain, or its hold has expired.
/// A restarted server stays the owner: grants for its previous run may reach it until it has seen a higher fence.
template <typename Rules>
void BasicKeyAuthority<Rules>::updateOwnerState(Segment &segment, TimePoint now)
{
    const bool hasOwner = segment.state == State::Granting || segment.state == State::Held
        || segment.state == State::Releasing || segment.state == State::Orphaned;
    if (segment.state == State::Confirming && segment.call == 0) {
        updateConfirmation(segment, now);
    }
    if (!hasOwner || segment.call != 0) {
        return;
    }
    const auto position = m_servers.find(segment.owner.id);
    const bool hasRestarted = position != m_servers.end() && position->second.incarnation > segment.owner.incarnation;
    if (hasRestarted && Rules::KeepRestartedOwner) {
        m_decisions.push_back("keys " + detail::describe(segment.keys) + " are granted anew: " + segment.owner.id
                              + " has restarted");
        segment.owner = incarnationOf(position->second);
        planGrant(segment, now);
        return;
    }
    if (hasRestarted) {
        setUnowned(segment);
        return;
    }
    if (segment.state == State::Orphaned) {
        if (now >= std::max(segment.holdEnd, segment.lateHoldEnd) || !Rules::WaitForExpiry) {
            const std::string owner = segment.isOwnerUnknown() ? "an unknown owner" : segment.owner.id;
            m_decisions.push_back("keys " + detail::describe(segment.keys) + " are unowned: the grant to " + owner
                                  + " has run out");
            noteLoss(segment, now);
            setUnowned(segment);
        } else if (!segment.released && liveServer(segment.owner) != nullptr) {
            m_decisions.push_back("keys " + detail::describe(segment.keys) + " are granted again: " + segment.owner.id
                                  + " is back");
            segment.state = State::Granting;
            segment.sendAt = now;
        }
        return;
    }
    const UpstreamServer *server = liveServer(segment.owner);
    if (server == nullptr) {
        m_decisions.push_back("keys " + detail::describe(segment.keys) + " are orphaned and wait: " + segment.owner.id
                              + " is gone");
        segment.state = State::Orphaned;
    } else if (server->draining && segment.state == State::Held && now >= m_ownerChangesFrom) {
        release(segment, {}, now);
    }
}

/// The server with the fewest keys per slot among those that may get keys, preferably one that has not lost the
/// keys recently.
template <typename Rules>
std::string BasicKeyAuthority<Rules>::leastLoaded(const KeyRange &keys) const
{
    std::string best;
    std::pair<bool, double> bestRank;
    for (const auto &[id, server] : m_servers) {
        const auto position = m_keyCounts.find(id);
        const double share = (position == m_keyCounts.end() ? 0.0 : position->second) / server.slots;
        const std::pair<bool, double> rank(m_recentOwners.contains(keys, id), share);
        if (detail::mayGetKeys(server) && (best.empty() || rank < bestRank)) {
            best = id;
            bestRank = rank;
        }
    }
    return best;
}

/// The next owner if it is usable and has not lost the keys recently, or else the least loaded server.
template <typename Rules>
std::string BasicKeyAuthority<Rules>::chooseOwner(const Segment &segment) const
{
    const auto preferred = m_servers.find(segment.nextOwner);
    const bool isPreferredUsable = preferred != m_servers.end() && detail::mayGetKeys(preferred->second)
        && !m_recentOwners.contains(segment.keys, segment.nextOwner);
    return isPreferredUsable ? segment.nextOwner : leastLoaded(segment.keys);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::split(std::uint32_t from)
{
    for (auto segment = m_segments.begin(); segment != m_segments.end(); ++segment) {
        if (segment->keys.from < from && from <= segment->keys.to) {
            Segment rest = *segment;
            rest.keys.from = static_cast<std::uint16_t>(from);
            segment->keys.to = static_cast<std::uint16_t>(from - 1);
            m_segments.insert(std::next(segment), std::move(rest));
            return;
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::assignUnowned(TimePoint now)
{
    if (now < m_ownerChangesFrom) {
        return;
    }
    const bool isAnyUnowned = std::any_of(m_segments.begin(), m_segments.end(), [](const Segment &segment) {
        return segment.state == State::Unowned;
    });
    if (!isAnyUnowned) {
        return;
    }
    m_recentOwners.expire(now);
    m_keyCounts.clear();
    std::size_t usableServers = 0;
    for (const auto &[id, server] : m_servers) {
        usableServers += detail::mayGetKeys(server) ? 1 : 0;
    }
    if (usableServers == 0) {
        return;
    }
    for (const Segment &segment : m_segments) {
        if (segment.state != State::Unowned && segment.state != State::Orphaned) {
            m_keyCounts[segment.owner.id] += segment.keys.size();
        }
    }
    // A wide unowned range is split, so that it does not go to a single server.
    const std::uint32_t maxWidth = std::max<std::uint32_t>(1, KeyCount / static_cast<std::uint32_t>(usableServers));
    for (std::size_t at = 0; at < m_segments.size(); ++at) {
        if (m_segments[at].state != State::Unowned) {
            continue;
        }
        if (m_segments[at].keys.size() > maxWidth) {
            split(m_segments[at].keys.from + maxWidth);
        }
        std::string target = chooseOwner(m_segments[at]);
        if (m_recentOwners.contains(m_segments[at].keys, target)) {
            // Each usable server has lost some of the keys; another one may take a part of them.
            split(m_recentOwners.uniformStart(m_segments[at].keys).to + 1U);
            target = chooseOwner(m_segments[at]);
        }
        Segment &segment = m_segments[at];
        const ServerIncarnation life = incarnationOf(m_servers.at(target));
        if (m_recentOwners.contains(segment.keys, target)) {
            m_decisions.push_back("keys " + detail::describe(segment.keys) + " return early to " + target);
        }
        segment.owner = life;
        planGrant(segment, now);
        m_keyCounts[target] += segment.keys.size();
    }
}

/// Joins adjacent segments with the same owner, so that past load does not leave needless ranges.
template <typename Rules>
void BasicKeyAuthority<Rules>::coalesceNeighbours(TimePoint now)
{
    std::vector<Segment> merged;
    for (Segment &segment : m_segments) {
        const bool canJoin = !merged.empty() && isSettled(segment, now) && isSettled(merged.back(), now)
            && merged.back().owner == segment.owner;
        if (!canJoin) {
            merged.push_back(std::move(segment));
            continue;
        }
        Segment &left = merged.back();
        left.keys.to = segment.keys.to;
        left.holdEnd = std::max(left.holdEnd, segment.holdEnd);
        left.sendAt = std::min(left.sendAt, segment.sendAt);
        left.grantedUntil = std::min(left.grantedUntil, segment.grantedUntil);
        left.fence = 0; // the joined segment gets a new fencing token with its next renewal
    }
    m_segments = std::move(merged);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::savePlan(TimePoint now, Actions &actions)
{
    const bool isCurrent = m_planSaved && !m_ownersChanged;
    if (m_planInFlight || isCurrent) {
        return;
    }
    m_ownersChanged = false;
    if (!(m_deputy == m_plan.deputy) && mayLongHoldsLast(now)) {
        m_deputy = {}; // a long hold has been granted since the deputy was chosen
    }
    std::vector<PlannedRange> ranges;
    std::vector<KeyRange> unknownOwners;
    for (const Segment &segment : m_segments) {
        if (segment.isOwnerUnknown() && Rules::RecordUnknownOwners) {
            appendKeys(unknownOwners, segment.keys);
        }
        if (segment.owner.id.empty() || segment.state == State::Confirming) {
            continue;
        }
        const bool extendsLast = !ranges.empty() && ranges.back().owner == segment.owner
            && static_cast<std::uint32_t>(ranges.back().keys.to) + 1 == segment.keys.from;
        if (extendsLast) {
            ranges.back().keys.to = segment.keys.to;
        } else {
            ranges.push_back({segment.keys, segment.owner});
        }
    }
    const bool isUnchanged =
        ranges == m_plan.ranges && unknownOwners == m_plan.unknownOwners && m_deputy == m_plan.deputy;
    if (isUnchanged && m_planSaved) {
        startPlannedGrants(now); // keys that return to their last owner change nothing in the plan
        return;
    }
    m_plan.ranges = std::move(ranges);
    m_plan.unknownOwners = std::move(unknownOwners);
    m_plan.deputy = m_deputy;
    m_plan.recentLosses = recentLosses(now); // these alone are no reason for a write
    ++m_plan.version;
    m_planInFlight = true;
    actions.push_back(SaveKeyPlan{m_plan});
}

template <typename Rules>
bool BasicKeyAuthority<Rules>::isPlanned(const Segment &segment) const
{
    const auto endsBefore = [](const PlannedRange &range, std::uint16_t key) {
        return range.keys.to < key;
    };
    const auto range = std::lower_bound(m_plan.ranges.begin(), m_plan.ranges.end(), segment.keys.from, endsBefore);
    return range != m_plan.ranges.end() && range->owner == segment.owner && range->keys.contains(segment.keys.from)
        && range->keys.contains(segment.keys.to);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onPlanSaved(TimePoint now)
{
    m_planInFlight = false;
    m_planSaved = true;
    m_savedPlan = m_plan;
    m_savedDeputy = m_plan.deputy;
    startPlannedGrants(now);
}

/// To be called when `m_plan` has been saved.
template <typename Rules>
void BasicKeyAuthority<Rules>::startPlannedGrants(TimePoint now)
{
    for (Segment &segment : m_segments) {
        if (segment.state == State::Planned && isPlanned(segment)) {
            segment.state = State::Granting;
            segment.sendAt = now;
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::countCalls()
{
    m_calls.clear();
    for (const Segment &segment : m_segments) {
        if (segment.call != 0) {
            Calls &calls = m_calls[segment.owner.id];
            ++(segment.state == State::Releasing ? calls.releases : calls.grants);
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::send(Segment &segment, TimePoint now, Actions &actions)
{
    const bool isGrant = segment.state == State::Granting || segment.state == State::Held
        || segment.state == State::Confirming || (segment.state == State::Planned && !Rules::SavePlanFirst);
    const bool isDue = segment.call == 0 && now >= segment.sendAt && (isGrant || segment.state == State::Releasing);
    const UpstreamServer *server = isDue ? liveServer(segment.owner) : nullptr;
    if (server == nullptr) {
        return;
    }
    int &calls = isGrant ? m_calls[server->id].grants : m_calls[server->id].releases;
    const bool isSilent = m_unanswered.contains(server->id);
    const int maxCalls = isGrant ? MaxGrantCalls : MaxReleaseCalls;
    if (calls >= (isSilent ? 1 : maxCalls)) {
        return;
    }
    ++calls;
    if (segment.fence == 0) {
        segment.fence = nextFence();
    }
    segment.call = ++m_lastCall;
    if (!isGrant) {
        actions.push_back(ReleaseKeys{segment.call, *server, segment.keys, segment.fence});
        return;
    }
    segment.callHold = m_storeAnswers || !mayGrantLongHolds() ? m_times.hold : m_times.longHold;
    segment.sentAt = now;
    GrantKeys grant{segment.call, *server, segment.keys, segment.fence, segment.callHold, segment.handover};
    if (segment.state == State::Confirming) {
        grant.sendBefore = segment.grantedUntil - m_times.confirmTime;
    }
    actions.push_back(std::move(grant));
}

template <typename Rules>
bool BasicKeyAuthority<Rules>::onCallOutcome(std::uint64_t call, KeyCallOutcome end, const std::string &handover,
                                             TimePoint now)
{
    bool isMoreToDo = false;
    for (Segment &segment : m_segments) {
        if (segment.call != call) {
            continue;
        }
        segment.call = 0;
        recordOutcome(segment.owner.id, end);
        const bool isRenewal = segment.state == State::Held && end == KeyCallOutcome::Accepted;
        isMoreToDo = isMoreToDo || !isRenewal;
        if (segment.state == State::Releasing) {
            onReleaseEnd(segment, end, handover, now);
        } else {
            onGrantEnd(segment, end, now);
        }
    }
    return isMoreToDo;
}

/// Counts consecutive unanswered calls for the backoff of `retryDelay`. Guards against the load pattern "a third of the
/// servers stop answering": without backoff, their ranges were retried four at a time and again 60 ms later, about a
/// thousand calls per second, and the leader could handle none of its calls in time.
template <typename Rules>
void BasicKeyAuthority<Rules>::recordOutcome(const std::string &server, KeyCallOutcome end)
{
    const bool isAnswered = end == KeyCallOutcome::Accepted || end == KeyCallOutcome::Refused;
    if (isAnswered) {
        m_unanswered.erase(server);
    } else {
        ++m_unanswered[server];
    }
}

template <typename Rules>
Milliseconds BasicKeyAuthority<Rules>::retryDelay(const std::string &server) const
{
    constexpr int MaxDoublings = 6;
    const auto position = m_unanswered.find(server);
    const int doublings = position == m_unanswered.end() ? 0 : std::min(position->second - 1, MaxDoublings);
    return std::min(m_times.retryInterval * (1 << doublings), m_times.maxRetryInterval);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onGrantEnd(Segment &segment, KeyCallOutcome end, TimePoint now)
{
    if (segment.callHold > m_times.hold) {
        m_longHoldEnd = std::max(m_longHoldEnd, now + m_times.maxArrivalDelay + withClockDrift(segment.callHold));
    }
    switch (end) {
    case KeyCallOutcome::Accepted:
        segment.grantedUntil = segment.sentAt + segment.callHold;
        if (segment.state == State::Confirming) {
            segment.holdEnd = std::max(segment.holdEnd, now + withClockDrift(segment.callHold));
            planGrant(segment, now);
            segment.inherited = true;
            break;
        }
        segment.state = State::Held;
        segment.inherited = false;
        segment.handover.clear();
        segment.holdEnd = std::max(segment.holdEnd, now + withClockDrift(segment.callHold));
        segment.sendAt = now + m_times.renewInterval;
        break;
    case KeyCallOutcome::Refused:
        m_decisions.push_back("the grant of keys " + detail::describe(segment.keys) + " was refused by "
                              + segment.owner.id + ", which has seen a higher fence than "
                              + std::to_string(segment.fence));
        if (segment.state == State::Confirming) {
            forgetOwner(segment);
            break;
        }
        segment.fence = 0;
        segment.sendAt = now + retryDelay(segment.owner.id);
        break;
    case KeyCallOutcome::NoAnswer:
        if (Rules::CountLateGrants) {
            // An earlier unanswered grant may have had a longer hold.
            segment.lateHoldEnd =
                std::max(segment.lateHoldEnd, now + m_times.maxArrivalDelay + withClockDrift(segment.callHold));
        }
        segment.grantedUntil = std::min(segment.grantedUntil, segment.sentAt + segment.callHold);
        segment.sendAt = now + retryDelay(segment.owner.id);
        break;
    case KeyCallOutcome::NotSent:
        segment.sendAt = now + retryDelay(segment.owner.id);
        break;
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onReleaseEnd(Segment &segment, KeyCallOutcome end, const std::string &handover,
                                            TimePoint now)
{
    if (end != KeyCallOutcome::Accepted) {
        segment.sendAt = now + retryDelay(segment.owner.id);
        if (now >= std::max(segment.holdEnd, segment.lateHoldEnd)) {
            noteLoss(segment, now);
            setUnowned(segment);
        }
        return;
    }
    segment.handover = handover;
    if (now < segment.lateHoldEnd) {
        // An unanswered grant may still take effect at the previous owner.
        segment.holdEnd = segment.lateHoldEnd;
        segment.state = State::Orphaned;
        segment.released = true;
        return;
    }
    noteLoss(segment, now);
    setUnowned(segment);
}

template <typename Rules>
bool BasicKeyAuthority<Rules>::isSettled(const Segment &segment, TimePoint now) const
{
    return segment.state == State::Held && segment.call == 0 && segment.lateHoldEnd < now;
}

template <typename Rules>
std::vector<OwnedRange> BasicKeyAuthority<Rules>::movableRanges(TimePoint now) const
{
    std::vector<OwnedRange> movable;
    for (const Segment &segment : m_segments) {
        if (isSettled(segment, now)) {
            movable.push_back({segment.keys, segment.owner.id});
        }
    }
    return movable;
}

/// The other ranges with the servers that have or get them; without those that have none or none yet.
template <typename Rules>
std::vector<OwnedRange> BasicKeyAuthority<Rules>::unmovableRanges(TimePoint now) const
{
    std::vector<OwnedRange> unmovable;
    for (const Segment &segment : m_segments) {
        const bool isReleasing = segment.state == State::Releasing;
        const bool hasOwner = segment.state == State::Planned || segment.state == State::Granting
            || (segment.state == State::Held && !isSettled(segment, now));
        if (hasOwner || (isReleasing && !segment.nextOwner.empty())) {
            unmovable.push_back({segment.keys, isReleasing ? segment.nextOwner : segment.owner.id});
        }
    }
    return unmovable;
}

template <typename Rules>
void BasicKeyAuthority<Rules>::move(const KeyMove &move, const std::string &reason, TimePoint now)
{
    split(move.keys.from);
    split(static_cast<std::uint32_t>(move.keys.to) + 1);
    for (Segment &segment : m_segments) {
        const bool isInside = move.keys.contains(segment.keys.from) && move.keys.contains(segment.keys.to);
        if (isInside && segment.state == State::Held && segment.call == 0) {
            release(segment, move.to, now);
        }
    }
    m_decisions.push_back("keys " + detail::describe(move.keys) + " move from " + move.from + " to " + move.to + " "
                          + reason);
}

/// The capacities of the servers that may get keys.
template <typename Rules>
std::map<std::string, double> BasicKeyAuthority<Rules>::usableCapacities(const Demand &demand) const
{
    std::map<std::string, double> usable;
    for (const auto &[id, server] : m_servers) {
        const auto position = demand.capacities.find(id);
        if (detail::mayGetKeys(server) && position != demand.capacities.end()) {
            usable[id] = position->second;
        }
    }
    return usable;
}

/// Releases the keys of evacuated servers, the busiest first, as many at a time as calls may be in flight. Requests for
/// these keys wait from the evacuation on, so there is no reason to release them more slowly. If no other server may
/// get keys, they stay: nobody could serve them, and they are at once served again when the zone is taken back.
template <typename Rules>
void BasicKeyAuthority<Rules>::evacuate(const Demand &demand, TimePoint now)
{
    const bool mayMove = m_planSaved && holdsLease(now) && m_storeAnswers && now >= m_ownerChangesFrom;
    const bool isAnyEvacuated = std::any_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
        return entry.second.evacuated;
    });
    if (!mayMove || !isAnyEvacuated) {
        return;
    }
    const std::map<std::string, double> capacities = usableCapacities(demand);
    if (capacities.empty()) {
        return;
    }
    std::vector<OwnedRange> leaving;
    std::vector<OwnedRange> staying = unmovableRanges(now);
    std::map<std::string, int> releases;
    for (const Segment &segment : m_segments) {
        const UpstreamServer *owner = liveServer(segment.owner);
        const bool isIdle = segment.state == State::Held && segment.call == 0;
        if (owner != nullptr && owner->evacuated && isIdle) {
            leaving.push_back({segment.keys, segment.owner.id});
        } else if (isSettled(segment, now)) {
            staying.push_back({segment.keys, segment.owner.id});
        }
        releases[segment.owner.id] += segment.state == State::Releasing ? 1 : 0;
    }
    if (leaving.empty()) {
        return;
    }
    m_recentOwners.expire(now);
    const std::vector<float> highest = detail::highestLoads(demand.fastAverage, demand.slowAverage);
    for (const KeyMove &keyMove : planKeyExits(leaving, staying, highest, capacities, m_recentOwners)) {
        if (++releases[keyMove.from] <= MaxReleaseCalls) {
            move(keyMove, "as its zone is evacuated", now);
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::balance(const Demand &demand, TimePoint now)
{
    evacuate(demand, now);
    const bool isDue = now - m_balancedAt >= m_times.balanceInterval && m_planSaved && !m_planInFlight
        && holdsLease(now) && m_storeAnswers && now >= m_ownerChangesFrom;
    if (!isDue) {
        return;
    }
    m_balancedAt = now;
    m_recentOwners.expire(now);
    const std::map<std::string, double> capacities = usableCapacities(demand);
    const std::vector<OwnedRange> movable = movableRanges(now);
    const std::vector<OwnedRange> unmovable = unmovableRanges(now);
    KeyBalanceOptions options;
    options.maxMoves = maxMovesPerRound(capacities.size());
    options.meanWork = demand.meanWork;
    // The slow average is more precise; the fast one shows recent changes that the slow one does not show yet.
    options.window = demand.slowWindow;
    std::vector<KeyMove> moves =
        planKeyMoves(movable, demand.slowAverage, capacities, options, m_recentOwners, unmovable);
    if (moves.empty()) {
        options.window = demand.fastWindow;
        moves = planKeyMoves(movable, demand.fastAverage, capacities, options, m_recentOwners, unmovable);
    }
    for (const KeyMove &keyMove : moves) {
        move(keyMove, "to balance the load", now);
    }
    const bool isFragmented = movable.size() > FragmentedRangesPerServer * capacities.size();
    const bool isMergeDue = now - m_mergedAt >= (isFragmented ? m_times.fastMergeInterval : m_times.mergeInterval);
    if (!isMergeDue || (!moves.empty() && !isFragmented)) {
        return;
    }
    m_mergedAt = now;
    const std::vector<float> highest = detail::highestLoads(demand.fastAverage, demand.slowAverage);
    for (const KeyMove &keyMove :
         planKeyMerges(movableRanges(now), highest, capacities, m_recentOwners, unmovableRanges(now))) {
        move(keyMove, "to merge with an adjacent range", now);
    }
}

template <typename Rules>
std::vector<KeyAction> BasicKeyAuthority<Rules>::advance(TimePoint now)
{
    Actions actions;
    for (Segment &segment : m_segments) {
        updateOwnerState(segment, now);
    }
    if (now - m_coalescedAt >= m_times.coalesceInterval) {
        m_coalescedAt = now;
        coalesceNeighbours(now);
    }
    assignUnowned(now);
    if (holdsLease(now)) {
        savePlan(now, actions);
        askDeputies(now, actions);
        countCalls();
        for (Segment &segment : m_segments) {
            if (m_planSaved || !Rules::SavePlanFirst) {
                send(segment, now, actions);
            }
        }
    }
    for (std::string &note : m_decisions) {
        actions.push_back(OwnershipNote{std::move(note)});
    }
    m_decisions.clear();
    return actions;
}

template <typename Rules>
KeyOwners BasicKeyAuthority<Rules>::owners(TimePoint now) const
{
    std::vector<OwnedRange> ranges;
    for (const Segment &segment : m_segments) {
        const bool isInherited = segment.inherited
            && (segment.state == State::Granting || segment.state == State::Planned
                || segment.state == State::Confirming);
        const bool isHeld = (segment.state == State::Held && now < segment.holdEnd) || isInherited;
        if (!isHeld) {
            continue;
        }
        const bool extendsLast = !ranges.empty() && ranges.back().owner == segment.owner.id
            && static_cast<std::uint32_t>(ranges.back().keys.to) + 1 == segment.keys.from;
        if (extendsLast) {
            ranges.back().keys.to = segment.keys.to;
        } else {
            ranges.push_back({segment.keys, segment.owner.id});
        }
    }
    return KeyOwners(std::move(ranges));
}

template <typename Rules>
std::vector<OrphanedRange> BasicKeyAuthority<Rules>::orphanedRanges(TimePoint now) const
{
    std::vector<OrphanedRange> dark;
    for (const Segment &segment : m_segments) {
        const TimePoint end = std::max(segment.holdEnd, segment.lateHoldEnd);
        if (segment.state != State::Orphaned || now >= end) {
            continue;
        }
        const bool extendsLast =
            !dark.empty() && dark.back().keys.to + 1U == segment.keys.from && dark.back().until == end;
        if (extendsLast) {
            dark.back().keys.to = segment.keys.to;
        } else {
            dark.push_back({segment.keys, end});
        }
    }
    return dark;
}

template <typename Rules>
const KeyPlan &BasicKeyAuthority<Rules>::plan() const
{
    return m_plan;
}

/// Another leader may exist once this leader's lease has ended. It leaves all keys with the owners in the last saved
/// plan for `ownerChangeDelay`.
template <typename Rules>
std::optional<KeyPlan> BasicKeyAuthority<Rules>::knownPlan(TimePoint leaseEnd, TimePoint now) const
{
    const bool isKnown = now < leaseEnd + m_times.ownerChangeDelay || !Rules::LimitKnownPlan;
    if (!m_planSaved || !isKnown) {
        return std::nullopt;
    }
    KeyPlan known = m_planInFlight ? commonPlan(m_savedPlan, m_plan) : m_savedPlan;
    known.recentLosses = recentLosses(now);
    return known;
}

template <typename Rules>
RunningGrants BasicKeyAuthority<Rules>::runningGrants(TimePoint now) const
{
    RunningGrants running;
    running.fence = (m_plan.term << detail::FenceSequenceBits) + m_sequence + 1;
    for (const Segment &segment : m_segments) {
        const TimePoint until = segment.call == 0 ? segment.grantedUntil
                                                  : std::min(segment.grantedUntil, segment.sentAt + segment.callHold);
        if (segment.state == State::Held && (now < until || !Rules::ConfirmInTime)) {
            running.grants.push_back({segment.keys, segment.owner, until});
        }
    }
    return running;
}

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP
