#ifndef SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP
#define SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP

/// @file Members of BasicKeyAuthority. Included by its source file and by tests that make broken variants.

#include <algorithm>

#include "snipevalve/ownership/key_authority.hpp"

namespace snipevalve {

namespace detail {

/// A fence is the term in front of a sequence number; both stay below the 53 bits that JSON numbers carry exactly.
inline constexpr unsigned FenceSequenceBits = 24;

inline std::string describe(const KeyRange &keys)
{
    return std::to_string(keys.from) + "-" + std::to_string(keys.to);
}

} // namespace detail

template <typename Rules>
BasicKeyAuthority<Rules>::BasicKeyAuthority(KeyPlan plan, KeyAuthorityTimes times, TimePoint now)
    : m_times(times)
    , m_plan(std::move(plan))
    , m_authorityUntil(now)
    , m_balancedAt(now)
{
    ++m_plan.term;
    m_plan.version = 0;
    // An earlier leader's last grant was sent before this term began.
    const TimePoint earlierEnd = now + m_times.arrivalSlack + longest(m_times.longHold);
    for (const PlannedRange &range : m_plan.ranges) {
        Segment segment;
        segment.keys = range.keys;
        segment.state = State::Granting;
        segment.owner = range.owner;
        segment.holdEnd = earlierEnd;
        segment.inherited = true;
        segment.sendAt = now;
        m_segments.push_back(std::move(segment));
    }
    coverAllKeys();
}

/// Keys that no plan has named yet are free.
template <typename Rules>
void BasicKeyAuthority<Rules>::coverAllKeys()
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
bool BasicKeyAuthority<Rules>::hasAuthority(TimePoint now) const
{
    return now < m_authorityUntil || !Rules::CheckAuthority;
}

template <typename Rules>
Duration BasicKeyAuthority<Rules>::longest(Milliseconds hold) const
{
    if (!Rules::AllowForSlowClock) {
        return hold;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(hold)
                                                * (1.0 + m_times.clockError));
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
    m_authorityUntil = until;
    m_storeAnswers = storeAnswers;
    if (wasAnswering && !storeAnswers) {
        // The long hold has to reach every server before this leader's right to send ends.
        for (Segment &segment : m_segments) {
            segment.sendAt = segment.state == State::Held ? TimePoint() : segment.sendAt;
        }
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::setFree(Segment &segment)
{
    segment.state = State::Free;
    segment.released = false;
    segment.inherited = false;
    segment.sendAt = {};
}

template <typename Rules>
void BasicKeyAuthority<Rules>::release(Segment &segment, const std::string &next, TimePoint now)
{
    segment.state = State::Releasing;
    segment.next = next;
    segment.handover.clear();
    segment.sendAt = now;
}

/// Moves a segment's state on for what is known of its owner's life.
template <typename Rules>
void BasicKeyAuthority<Rules>::followServers(Segment &segment, TimePoint now)
{
    const bool hasOwner = segment.state == State::Granting || segment.state == State::Held
        || segment.state == State::Releasing || segment.state == State::Orphaned;
    if (!hasOwner || segment.call != 0) {
        return;
    }
    const auto position = m_servers.find(segment.owner.id);
    const bool hasRestarted = position != m_servers.end() && position->second.incarnation > segment.owner.incarnation;
    if (hasRestarted) {
        m_notes.push_back("keys " + detail::describe(segment.keys) + " are free: " + segment.owner.id
                          + " has restarted");
        setFree(segment);
        return;
    }
    if (segment.state == State::Orphaned) {
        if (now >= std::max(segment.holdEnd, segment.lateEnd) || !Rules::WaitForHold) {
            m_notes.push_back("keys " + detail::describe(segment.keys) + " are free: the hold of " + segment.owner.id
                              + " has run out");
            setFree(segment);
        } else if (!segment.released && liveServer(segment.owner) != nullptr) {
            m_notes.push_back("keys " + detail::describe(segment.keys) + " stay: " + segment.owner.id + " is back");
            segment.state = State::Granting;
            segment.sendAt = now;
        }
        return;
    }
    const UpstreamServer *server = liveServer(segment.owner);
    if (server == nullptr) {
        m_notes.push_back("keys " + detail::describe(segment.keys) + " wait: " + segment.owner.id + " is gone");
        segment.state = State::Orphaned;
    } else if (server->draining && segment.state == State::Held) {
        release(segment, {}, now);
    }
}

/// The usable server with the fewest keys for each of its slots.
template <typename Rules>
std::string BasicKeyAuthority<Rules>::leastLoaded() const
{
    std::string best;
    double bestShare = 0;
    for (const auto &[id, server] : m_servers) {
        const auto position = m_keyCounts.find(id);
        const double share = (position == m_keyCounts.end() ? 0.0 : position->second) / server.slots;
        if (!server.draining && (best.empty() || share < bestShare)) {
            best = id;
            bestShare = share;
        }
    }
    return best;
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
void BasicKeyAuthority<Rules>::assignFree(TimePoint now)
{
    const bool isAnyFree = std::any_of(m_segments.begin(), m_segments.end(), [](const Segment &segment) {
        return segment.state == State::Free;
    });
    if (!isAnyFree) {
        return;
    }
    m_keyCounts.clear();
    std::size_t usable = 0;
    for (const auto &[id, server] : m_servers) {
        usable += server.draining ? 0 : 1;
    }
    if (usable == 0) {
        return;
    }
    for (const Segment &segment : m_segments) {
        if (segment.state != State::Free && segment.state != State::Orphaned) {
            m_keyCounts[segment.owner.id] += segment.keys.size();
        }
    }
    // A wide free range is dealt out in parts, so that it does not fall to one server.
    const std::uint32_t widest = std::max<std::uint32_t>(1, KeyCount / static_cast<std::uint32_t>(usable));
    for (std::size_t at = 0; at < m_segments.size(); ++at) {
        if (m_segments[at].state != State::Free) {
            continue;
        }
        if (m_segments[at].keys.size() > widest) {
            split(m_segments[at].keys.from + widest);
        }
        Segment &segment = m_segments[at];
        const auto wanted = m_servers.find(segment.next);
        const bool isWantedUsable = wanted != m_servers.end() && !wanted->second.draining;
        const std::string target = isWantedUsable ? segment.next : leastLoaded();
        const ServerIncarnation life = incarnationOf(m_servers.at(target));
        segment.state = State::Planned;
        segment.owner = life;
        m_ownersChanged = true;
        segment.next.clear();
        segment.fence = 0;
        segment.sendAt = now;
        m_keyCounts[target] += segment.keys.size();
    }
}

/// Joins neighbours with one owner, so that the number of ranges follows the load and not its history.
template <typename Rules>
void BasicKeyAuthority<Rules>::mergeNeighbours(TimePoint now)
{
    std::vector<Segment> merged;
    for (Segment &segment : m_segments) {
        const auto isCalm = [now](const Segment &each) {
            return each.state == State::Held && each.call == 0 && each.lateEnd < now;
        };
        const bool joins =
            !merged.empty() && isCalm(segment) && isCalm(merged.back()) && merged.back().owner == segment.owner;
        if (!joins) {
            merged.push_back(std::move(segment));
            continue;
        }
        Segment &left = merged.back();
        left.keys.to = segment.keys.to;
        left.holdEnd = std::max(left.holdEnd, segment.holdEnd);
        left.sendAt = std::min(left.sendAt, segment.sendAt);
        left.fence = 0; // the joined range gets a fence of its own with its next renewal
    }
    m_segments = std::move(merged);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::savePlan(Actions &actions)
{
    const bool isCurrent = m_planSaved && !m_ownersChanged;
    if (m_planInFlight || isCurrent) {
        return;
    }
    m_ownersChanged = false;
    std::vector<PlannedRange> ranges;
    for (const Segment &segment : m_segments) {
        if (segment.owner.id.empty()) {
            continue;
        }
        const bool extends = !ranges.empty() && ranges.back().owner == segment.owner
            && static_cast<std::uint32_t>(ranges.back().keys.to) + 1 == segment.keys.from;
        if (extends) {
            ranges.back().keys.to = segment.keys.to;
        } else {
            ranges.push_back({segment.keys, segment.owner});
        }
    }
    if (ranges == m_plan.ranges && m_planSaved) {
        return;
    }
    m_plan.ranges = std::move(ranges);
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
        || (segment.state == State::Planned && !Rules::SavePlanFirst);
    const bool isDue = segment.call == 0 && now >= segment.sendAt && (isGrant || segment.state == State::Releasing);
    const UpstreamServer *server = isDue ? liveServer(segment.owner) : nullptr;
    if (server == nullptr) {
        return;
    }
    int &calls = isGrant ? m_calls[server->id].grants : m_calls[server->id].releases;
    const bool isSilent = m_unanswered.contains(server->id);
    const int mostCalls = isGrant ? MostGrants : MostReleases;
    if (calls >= (isSilent ? 1 : mostCalls)) {
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
    segment.callHold = m_storeAnswers ? m_times.hold : m_times.longHold;
    actions.push_back(
        GrantKeys{segment.call, *server, segment.keys, segment.fence, segment.callHold, segment.handover});
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
        noteAnswer(segment.owner.id, end);
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

/// Answers the load pattern "a third of the servers falls silent": each of their ranges was tried four at a time and
/// again 60 ms later, a thousand calls a second, of which the leader could serve none in time.
template <typename Rules>
void BasicKeyAuthority<Rules>::noteAnswer(const std::string &server, KeyCallOutcome end)
{
    const bool isAnswered = end == KeyCallOutcome::Accepted || end == KeyCallOutcome::Refused;
    if (isAnswered) {
        m_unanswered.erase(server);
    } else {
        ++m_unanswered[server];
    }
}

template <typename Rules>
Milliseconds BasicKeyAuthority<Rules>::retryPause(const std::string &server) const
{
    constexpr int MostDoublings = 6;
    const auto position = m_unanswered.find(server);
    const int doublings = position == m_unanswered.end() ? 0 : std::min(position->second - 1, MostDoublings);
    return std::min(m_times.retryInterval * (1 << doublings), m_times.longestRetryInterval);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onGrantEnd(Segment &segment, KeyCallOutcome end, TimePoint now)
{
    switch (end) {
    case KeyCallOutcome::Accepted:
        segment.state = State::Held;
        segment.inherited = false;
        segment.handover.clear();
        segment.holdEnd = std::max(segment.holdEnd, now + longest(segment.callHold));
        segment.sendAt = now + m_times.renewInterval;
        break;
    case KeyCallOutcome::Refused:
        m_notes.push_back("the grant of keys " + detail::describe(segment.keys) + " was refused by " + segment.owner.id
                          + ", which has seen a higher fence than " + std::to_string(segment.fence));
        segment.fence = 0;
        segment.sendAt = now + retryPause(segment.owner.id);
        break;
    case KeyCallOutcome::NoAnswer:
        if (Rules::CountLateGrants) {
            // An earlier one may have asked for a longer hold.
            segment.lateEnd = std::max(segment.lateEnd, now + m_times.arrivalSlack + longest(segment.callHold));
        }
        segment.sendAt = now + retryPause(segment.owner.id);
        break;
    case KeyCallOutcome::NotSent:
        segment.sendAt = now + retryPause(segment.owner.id);
        break;
    }
}

template <typename Rules>
void BasicKeyAuthority<Rules>::onReleaseEnd(Segment &segment, KeyCallOutcome end, const std::string &handover,
                                            TimePoint now)
{
    if (end != KeyCallOutcome::Accepted) {
        segment.sendAt = now + retryPause(segment.owner.id);
        if (now >= std::max(segment.holdEnd, segment.lateEnd)) {
            setFree(segment);
        }
        return;
    }
    segment.handover = handover;
    if (now < segment.lateEnd) {
        // A grant that was never answered may still take effect at the old holder.
        segment.holdEnd = segment.lateEnd;
        segment.state = State::Orphaned;
        segment.released = true;
        return;
    }
    setFree(segment);
}

template <typename Rules>
std::vector<OwnedRange> BasicKeyAuthority<Rules>::movableRanges(TimePoint now) const
{
    std::vector<OwnedRange> movable;
    for (const Segment &segment : m_segments) {
        const bool isCalm = segment.state == State::Held && segment.call == 0 && segment.lateEnd < now;
        if (isCalm) {
            movable.push_back({segment.keys, segment.owner.id});
        }
    }
    return movable;
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
    m_notes.push_back("keys " + detail::describe(move.keys) + " move from " + move.from + " to " + move.to + " "
                      + reason);
}

template <typename Rules>
void BasicKeyAuthority<Rules>::balance(const Demand &demand, TimePoint now)
{
    const bool isDue = now - m_balancedAt >= m_times.balanceInterval && m_planSaved && !m_planInFlight
        && hasAuthority(now) && m_storeAnswers;
    if (!isDue) {
        return;
    }
    m_balancedAt = now;
    std::map<std::string, double> usable;
    for (const auto &[id, server] : m_servers) {
        const auto position = demand.capacities.find(id);
        if (!server.draining && position != demand.capacities.end()) {
            usable[id] = position->second;
        }
    }
    const std::vector<OwnedRange> movable = movableRanges(now);
    KeyBalanceOptions options;
    options.maxMoves = movesInRound(usable.size());
    options.meanWork = demand.meanWork;
    // The slow average shows best where the load lies; the fast one shows what it does not know yet.
    options.window = demand.slowWindow;
    std::vector<KeyMove> moves = planKeyMoves(movable, demand.slow, usable, options);
    if (moves.empty()) {
        options.window = demand.fastWindow;
        moves = planKeyMoves(movable, demand.fast, usable, options);
    }
    for (const KeyMove &each : moves) {
        move(each, "for their load", now);
    }
    const bool isFragmented = movable.size() > ManyRanges * usable.size();
    const bool isMergeDue = now - m_mergedAt >= (isFragmented ? m_times.fastMergeInterval : m_times.mergeInterval);
    if (!isMergeDue || (!moves.empty() && !isFragmented)) {
        return;
    }
    m_mergedAt = now;
    std::vector<float> highest = demand.slow;
    for (std::size_t key = 0; key < highest.size(); ++key) {
        highest[key] = std::max(highest[key], demand.fast[key]);
    }
    for (const KeyMove &each : planKeyMerges(movableRanges(now), highest, usable)) {
        move(each, "back to their neighbours", now);
    }
}

template <typename Rules>
std::vector<KeyAction> BasicKeyAuthority<Rules>::advance(TimePoint now)
{
    Actions actions;
    for (Segment &segment : m_segments) {
        followServers(segment, now);
    }
    if (now - m_joinedAt >= m_times.joinInterval) {
        m_joinedAt = now;
        mergeNeighbours(now);
    }
    assignFree(now);
    if (hasAuthority(now)) {
        savePlan(actions);
        countCalls();
        for (Segment &segment : m_segments) {
            if (m_planSaved || !Rules::SavePlanFirst) {
                send(segment, now, actions);
            }
        }
    }
    for (std::string &note : m_notes) {
        actions.push_back(OwnershipNote{std::move(note)});
    }
    m_notes.clear();
    return actions;
}

template <typename Rules>
KeyOwners BasicKeyAuthority<Rules>::owners(TimePoint now) const
{
    std::vector<OwnedRange> ranges;
    for (const Segment &segment : m_segments) {
        const bool isHeld = (segment.state == State::Held && now < segment.holdEnd)
            || (segment.state == State::Granting && segment.inherited);
        if (!isHeld) {
            continue;
        }
        const bool extends = !ranges.empty() && ranges.back().owner == segment.owner.id
            && static_cast<std::uint32_t>(ranges.back().keys.to) + 1 == segment.keys.from;
        if (extends) {
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
        const TimePoint end = std::max(segment.holdEnd, segment.lateEnd);
        if (segment.state == State::Orphaned && now < end) {
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

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_DETAIL_KEY_AUTHORITY_IMPL_HPP
