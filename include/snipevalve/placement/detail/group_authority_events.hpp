#ifndef SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_EVENTS_HPP
#define SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_EVENTS_HPP

/// @file The events of BasicGroupAuthority and what it tells.
#include <algorithm>

#include "snipevalve/placement/group_authority.hpp"

namespace snipevalve {

namespace detail {

/// A slot that nobody asked for still counts a little, so that idle slots spread evenly.
inline constexpr double IdleSlotLoad = 1.0;

} // namespace detail

template <typename Rules>
BasicGroupAuthority<Rules>::BasicGroupAuthority(GroupId group, GroupPlan plan, std::uint32_t slots,
                                                AuthorityTimes times, TimePoint now)
    : m_group(std::move(group))
    , m_plan(std::move(plan))
    , m_times(times)
    , m_slots(slots)
    , m_loads(slots, detail::IdleSlotLoad)
    , m_termStart(now)
    , m_writtenVersion(m_plan.version)
    , m_writtenWitnesses(m_plan.witnesses)
    , m_writtenServers(m_plan.servers.size())
{
    m_plan.targets.resize(slots, NoServer);
    m_members.resize(m_plan.servers.size());
    if (m_plan.witnesses.empty()) {
        m_predecessorSilenced = true;
        m_predecessorGone = true;
        for (Slot &slot : m_slots) {
            slot.holder = Holder::None;
        }
    }
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onMembers(const std::vector<GroupMember> &members,
                                                                   TimePoint now)
{
    for (Member &member : m_members) {
        member.configured = false;
    }
    for (const GroupMember &member : members) {
        Member &known = m_members[indexOf(member.name)];
        known.configured = true;
        known.draining = member.draining;
    }
    return advance(now);
}

template <typename Rules>
void BasicGroupAuthority<Rules>::onLoads(const std::vector<double> &loads)
{
    for (std::size_t slot = 0; slot < m_loads.size() && slot < loads.size(); ++slot) {
        m_loads[slot] = loads[slot] + detail::IdleSlotLoad;
    }
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onAnswer(const std::string &server, const Token &token,
                                                                  const GrantAnswer &answer, TimePoint now)
{
    const ServerIndex index = indexOf(server);
    Member &member = m_members[index];
    if (m_resigned || !member.orderInFlight || member.inFlight != token) {
        return {};
    }
    member.orderInFlight = false;
    if (!answer.accepted) {
        if (answer.highest.term > m_plan.term) {
            m_resigned = true;
            return {Resign{server + " knows the higher term " + std::to_string(answer.highest.term)}};
        }
        m_sequence = std::max(m_sequence, answer.highest.sequence);
        return advance(now);
    }
    Actions actions;
    const bool isFirst = !member.fenced;
    const bool wasLost = member.lost;
    member.fenced = true;
    member.anchor = answer.clock;
    member.anchorAt = now;
    member.confirmedAt = member.inFlightSentAt;
    if (member.lost) {
        member.lost = false;
        note(actions, server + " answers again");
    }
    const bool changedHolders = takeHeld(index, answer.held, isFirst, now);
    if (!isFirst && !wasLost && !changedHolders) {
        // A plain renewal; what is due by time waits for the next tick, which keeps large groups cheap.
        return actions;
    }
    Actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onNoAnswer(const std::string &server, const Token &token,
                                                                    TimePoint now)
{
    Member &member = m_members[indexOf(server)];
    if (m_resigned || !member.orderInFlight || member.inFlight != token) {
        return {};
    }
    member.orderInFlight = false;
    return advance(now);
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onPlanWritten(std::uint64_t version, TimePoint now)
{
    m_planInFlight = false;
    m_writtenVersion = std::max(m_writtenVersion, version);
    m_writtenWitnesses = m_inFlightWitnesses;
    m_writtenServers = m_inFlightServers;
    m_tableDirty = true;
    return advance(now);
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onPlanNotWritten(bool superseded, TimePoint now)
{
    m_planInFlight = false;
    m_planDirty = true;
    if (superseded && !m_resigned) {
        m_resigned = true;
        return {Resign{"another leader's plan stands in the store"}};
    }
    return advance(now);
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onTermRead(TimePoint sentAt, std::optional<std::uint64_t> term,
                                                                    TimePoint now)
{
    m_storeReadInFlight = false;
    if (m_resigned || !term) {
        return {};
    }
    if (*term != m_plan.term) {
        m_resigned = true;
        return {Resign{"the store has the term " + std::to_string(*term)}};
    }
    m_storeConfirmedAt = sentAt;
    return advance(now);
}

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::onTick(TimePoint now)
{
    return advance(now);
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::isResigned() const
{
    return m_resigned;
}

template <typename Rules>
std::uint64_t BasicGroupAuthority<Rules>::term() const
{
    return m_plan.term;
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::hasAuthority(TimePoint now) const
{
    if (m_resigned || m_writtenWitnesses.empty()) {
        return false;
    }
    if (!Rules::NeedEvidence) {
        return true;
    }
    const TimePoint since = now - m_times.evidenceLifetime;
    return (m_storeConfirmedAt && *m_storeConfirmedAt >= since) || majorityConfirmedSince(since);
}

template <typename Rules>
std::string BasicGroupAuthority<Rules>::holderOf(std::uint32_t slot) const
{
    const Slot &state = m_slots.at(slot);
    return state.holder == Holder::Known && state.accepted ? m_plan.servers[state.server] : std::string();
}

template <typename Rules>
const GroupPlan &BasicGroupAuthority<Rules>::plan() const
{
    return m_plan;
}

template <typename Rules>
Duration BasicGroupAuthority<Rules>::withClockError(Duration duration) const
{
    const double factor = Rules::AllowForClockRate ? 1.0 + m_times.clockRateError : 1.0;
    const double scaled = static_cast<double>(duration.count()) * factor;
    return Duration(static_cast<Duration::rep>(scaled) + 1);
}

template <typename Rules>
ServerIndex BasicGroupAuthority<Rules>::indexOf(const std::string &server)
{
    const auto position = std::find(m_plan.servers.begin(), m_plan.servers.end(), server);
    if (position != m_plan.servers.end()) {
        return static_cast<ServerIndex>(position - m_plan.servers.begin());
    }
    m_plan.servers.push_back(server);
    m_members.emplace_back();
    m_planDirty = true;
    return static_cast<ServerIndex>(m_plan.servers.size() - 1);
}

template <typename Rules>
Token BasicGroupAuthority<Rules>::nextToken()
{
    return {m_plan.term, ++m_sequence};
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::majorityConfirmedSince(TimePoint since) const
{
    std::size_t confirmed = 0;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const bool isWitness = std::count(m_writtenWitnesses.begin(), m_writtenWitnesses.end(), m_plan.servers[index]);
        const auto &at = m_members[index].confirmedAt;
        confirmed += isWitness && at && *at >= since ? 1 : 0;
    }
    return confirmed * 2 > m_writtenWitnesses.size();
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::majorityFenced() const
{
    return majorityConfirmedSince(TimePoint::min());
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::isFit(const Member &member) const
{
    return member.configured && !member.draining && member.fenced && !member.lost;
}

template <typename Rules>
void BasicGroupAuthority<Rules>::note(Actions &actions, std::string text) const
{
    actions.push_back(LogMessage{toString(m_group) + " term " + std::to_string(m_plan.term) + ": " + text});
}

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_EVENTS_HPP
