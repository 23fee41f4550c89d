#ifndef SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_STEPS_HPP
#define SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_STEPS_HPP

/// @file The steps that BasicGroupAuthority performs after an event, in the order of advance().
#include <algorithm>

#include "snipevalve/placement/group_authority.hpp"

namespace snipevalve {

template <typename Rules>
std::vector<AuthorityAction> BasicGroupAuthority<Rules>::advance(TimePoint now)
{
    Actions actions;
    if (m_resigned) {
        return actions;
    }
    updatePredecessor(now, actions);
    expireHolders(now);
    updateLost(now, actions);
    updateTargets(now, actions);
    updateWitnesses();
    confirmFromStore(now, actions);
    sendOrders(now, actions);
    writePlan(actions);
    publish(actions);
    return actions;
}

/// Determines when earlier leaders can no longer issue grants, and when none of their grants is in force.
///
/// Before that, an earlier leader may declare a server lost and grant its slots to a server that this leader has not
/// reached. This leader therefore must not renew any grant yet, not even for a server that has accepted its term.
template <typename Rules>
void BasicGroupAuthority<Rules>::updatePredecessor(TimePoint now, Actions &actions)
{
    if (m_predecessorGrantsEnded) {
        return;
    }
    if (!m_majorityFencedAt && majorityFenced()) {
        m_majorityFencedAt = now;
        addLogMessage(actions, "a majority of the witnesses has accepted this term");
    }
    if (!m_majorityFencedAt) {
        m_predecessorFencedOff = !Rules::FenceOffPredecessor;
        return;
    }
    const auto isFenced = [](const Member &member) {
        return member.fenced;
    };
    const bool allFenced = std::all_of(m_members.begin(), m_members.end(), isFenced);
    const TimePoint authorityExpiredAt = *m_majorityFencedAt + withDriftMargin(m_times.evidenceLifetime);
    const TimePoint grantsExpiredAt = authorityExpiredAt + withDriftMargin(m_times.grantLifetime);
    m_predecessorFencedOff = !Rules::FenceOffPredecessor || allFenced || now >= authorityExpiredAt;
    if (allFenced || now >= grantsExpiredAt || !Rules::WaitForPredecessorGrants) {
        m_predecessorFencedOff = true;
        m_predecessorGrantsEnded = true;
        for (std::size_t at = 0; at < m_slots.size(); ++at) {
            if (m_slots[at].holder == Holder::Unknown) {
                freeSlot(at);
            }
        }
        addLogMessage(actions, "no grant of an earlier term is in force");
    }
}

template <typename Rules>
void BasicGroupAuthority<Rules>::expireHolders(TimePoint now)
{
    for (std::size_t at = 0; at < m_slots.size(); ++at) {
        Slot &slot = m_slots[at];
        const bool isExpired = slot.holder == Holder::Known && now > slot.expiry;
        const bool isReassigned =
            !Rules::WaitForGrantExpiry && slot.holder == Holder::Known && m_plan.targets[at] != slot.server;
        if (isExpired || isReassigned) {
            freeSlot(at);
        }
    }
}

/// Marks a slot as held by no server, and has the next order sent to its target soon.
template <typename Rules>
void BasicGroupAuthority<Rules>::freeSlot(std::size_t at)
{
    m_slots[at].holder = Holder::None;
    m_slots[at].accepted = false;
    m_tableDirty = true;
    const ServerIndex target = m_plan.targets[at];
    if (target < m_members.size()) {
        m_members[target].changed = true;
    }
}

template <typename Rules>
bool BasicGroupAuthority<Rules>::holdsAny(ServerIndex server) const
{
    const auto isHolder = [&](const Slot &slot) {
        return slot.holder == Holder::Known && slot.server == server;
    };
    return std::any_of(m_slots.begin(), m_slots.end(), isHolder);
}

template <typename Rules>
void BasicGroupAuthority<Rules>::updateLost(TimePoint now, Actions &actions)
{
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        Member &member = m_members[index];
        const TimePoint lastConfirmedAt = member.confirmedAt.value_or(m_termStart);
        const bool hasTimedOut = now - lastConfirmedAt > m_times.lostAfter;
        if (hasTimedOut && !member.lost) {
            member.lost = true;
            addLogMessage(actions, m_plan.servers[index] + " does not answer");
        }
    }
}

template <typename Rules>
void BasicGroupAuthority<Rules>::updateTargets(TimePoint now, Actions &actions)
{
    const bool isDue = !m_balancedAt || now - *m_balancedAt >= m_times.balanceInterval;
    bool hasOrphans = false;
    std::vector<BalanceServer> servers(m_members.size());
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member &member = m_members[index];
        servers[index].eligible = isEligible(member);
        servers[index].draining = member.configured && member.draining && !member.lost;
        // A server that has not answered yet in this term keeps its slots until it counts as lost.
        const bool isAwaited = member.configured && !member.draining && !member.fenced && !member.lost;
        servers[index].eligible = servers[index].eligible || isAwaited;
    }
    for (const ServerIndex target : m_plan.targets) {
        hasOrphans = hasOrphans || target >= servers.size() || (!servers[target].eligible && !servers[target].draining);
    }
    if (!isDue && !hasOrphans) {
        return;
    }
    const bool hasEligible = std::any_of(m_members.begin(), m_members.end(), [&](const Member &m) {
        return isEligible(m);
    });
    if (!hasEligible) {
        return;
    }
    m_balancedAt = now;
    std::vector<ServerIndex> targets = balance(m_plan.targets, m_loads, servers);
    if (targets == m_plan.targets) {
        return;
    }
    std::size_t moved = 0;
    for (std::size_t slot = 0; slot < targets.size(); ++slot) {
        const ServerIndex from = m_plan.targets[slot];
        if (from == targets[slot]) {
            continue;
        }
        ++moved;
        m_members[targets[slot]].changed = true;
        if (from < m_members.size()) {
            m_members[from].changed = true;
        }
    }
    m_plan.targets = std::move(targets);
    m_planDirty = true;
    addLogMessage(actions, "reassigns " + std::to_string(moved) + " slots");
}

/// Changes the witnesses towards the configured servers by one server per plan, so that successive majorities overlap.
template <typename Rules>
void BasicGroupAuthority<Rules>::updateWitnesses()
{
    if (m_planInFlight || m_plan.witnesses != m_writtenWitnesses) {
        return;
    }
    std::vector<std::string> configuredNames;
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        if (m_members[index].configured) {
            configuredNames.push_back(m_plan.servers[index]);
        }
    }
    std::sort(configuredNames.begin(), configuredNames.end());
    std::vector<std::string> &witnesses = m_plan.witnesses;
    if (witnesses.empty() && !configuredNames.empty()) {
        witnesses = configuredNames;
        m_planDirty = true;
        return;
    }
    const auto isNew = [&](const std::string &name) {
        return !std::count(witnesses.begin(), witnesses.end(), name);
    };
    const auto isNoLongerConfigured = [&](const std::string &name) {
        return !std::count(configuredNames.begin(), configuredNames.end(), name);
    };
    const auto added = std::find_if(configuredNames.begin(), configuredNames.end(), isNew);
    const auto removed = std::find_if(witnesses.begin(), witnesses.end(), isNoLongerConfigured);
    if (removed != witnesses.end() && witnesses.size() > 1) {
        witnesses.erase(removed);
        m_planDirty = true;
    } else if (added != configuredNames.end()) {
        witnesses.push_back(*added);
        m_planDirty = true;
    }
}

template <typename Rules>
void BasicGroupAuthority<Rules>::sendOrders(TimePoint now, Actions &actions)
{
    const bool authority = hasAuthority(now);
    for (std::size_t index = 0; index < m_members.size(); ++index) {
        const Member &member = m_members[index];
        const bool isRemoved = !member.configured && m_predecessorGrantsEnded;
        if (member.orderInFlight || (isRemoved && !holdsAny(static_cast<ServerIndex>(index)))) {
            continue;
        }
        const bool isDue = !member.lastSentAt || now - *member.lastSentAt >= m_times.renewInterval;
        const bool hasPendingChange = authority && member.fenced && member.changed && !member.lost;
        if (isDue || hasPendingChange) {
            sendOrder(static_cast<ServerIndex>(index), authority, now, actions);
        }
    }
}

template <typename Rules>
void BasicGroupAuthority<Rules>::sendOrder(ServerIndex server, bool authority, TimePoint now, Actions &actions)
{
    Member &member = m_members[server];
    GrantOrder order;
    order.group = m_group;
    order.token = nextToken();
    const bool isWritten = server < m_writtenServers;
    order.probe = !authority || !m_predecessorFencedOff || !member.fenced || !member.anchor || !isWritten;
    if (!order.probe) {
        order.slots = grantable(server);
        order.anchor = *member.anchor;
        order.lifetime = m_times.grantLifetime;
        const TimePoint expiry = member.anchorAt + withDriftMargin(m_times.grantLifetime);
        for (const std::uint32_t slot : order.slots) {
            Slot &state = m_slots[slot];
            state.accepted = state.accepted && state.holder == Holder::Known && state.server == server;
            state.holder = Holder::Known;
            state.server = server;
            state.expiry = std::max(state.expiry, expiry);
        }
        member.changed = false;
    }
    member.orderInFlight = true;
    member.inFlight = order.token;
    member.inFlightSentAt = now;
    member.lastSentAt = now;
    actions.push_back(SendOrder{m_plan.servers[server], std::move(order)});
}

/// The slots that are assigned to a server and that no other server can hold.
template <typename Rules>
std::vector<std::uint32_t> BasicGroupAuthority<Rules>::grantable(ServerIndex server) const
{
    std::vector<std::uint32_t> slots;
    for (std::uint32_t at = 0; at < m_slots.size(); ++at) {
        const Slot &slot = m_slots[at];
        const bool isFree = slot.holder == Holder::None || (slot.holder == Holder::Known && slot.server == server);
        if (m_plan.targets[at] == server && isFree) {
            slots.push_back(at);
        }
    }
    return slots;
}

/// Updates the holders from the slots that a server reports as held; it holds no others.
/// @return whether a slot's holder or its acceptance has changed
template <typename Rules>
bool BasicGroupAuthority<Rules>::recordHeldSlots(ServerIndex server, const std::vector<std::uint32_t> &held,
                                                 bool isFirst, TimePoint now)
{
    bool changed = false;
    std::vector<bool> isHeld(m_slots.size(), false);
    for (const std::uint32_t slot : held) {
        if (slot < m_slots.size()) {
            isHeld[slot] = true;
        }
    }
    for (std::uint32_t at = 0; at < m_slots.size(); ++at) {
        Slot &slot = m_slots[at];
        const bool isRecordedHolder = slot.holder == Holder::Known && slot.server == server;
        if (isHeld[at] && slot.holder != Holder::Known) {
            slot.holder = Holder::Known;
            slot.server = server;
            slot.expiry = now + withDriftMargin(m_times.grantLifetime);
            slot.accepted = true;
            m_tableDirty = true;
            changed = true;
            if (isFirst && m_plan.targets[at] != server) {
                m_plan.targets[at] = server;
                m_planDirty = true;
            }
        } else if (isHeld[at] && isRecordedHolder && !slot.accepted) {
            slot.accepted = true;
            m_tableDirty = true;
            changed = true;
        } else if (!isHeld[at] && isRecordedHolder) {
            freeSlot(at);
            changed = true;
        }
    }
    return changed;
}

/// Reads the term from the store while the answers of the witnesses alone do not confirm it.
template <typename Rules>
void BasicGroupAuthority<Rules>::confirmFromStore(TimePoint now, Actions &actions)
{
    const TimePoint since = now - m_times.evidenceLifetime + m_times.renewInterval;
    const bool isDue = !m_storeReadAt || now - *m_storeReadAt >= m_times.renewInterval;
    if (m_storeReadInFlight || !isDue || majorityConfirmedSince(since)) {
        return;
    }
    m_storeReadInFlight = true;
    m_storeReadAt = now;
    actions.push_back(ConfirmTerm{});
}

template <typename Rules>
void BasicGroupAuthority<Rules>::writePlan(Actions &actions)
{
    if (!m_planDirty || m_planInFlight) {
        return;
    }
    m_planDirty = false;
    m_planInFlight = true;
    ++m_plan.version;
    m_inFlightWitnesses = m_plan.witnesses;
    m_inFlightServers = m_plan.servers.size();
    actions.push_back(WritePlan{m_plan});
}

template <typename Rules>
void BasicGroupAuthority<Rules>::publish(Actions &actions)
{
    if (!m_tableDirty) {
        return;
    }
    m_tableDirty = false;
    PublishTable table;
    table.version = nextToken();
    table.servers = m_plan.servers;
    table.committed = !m_planDirty && !m_planInFlight;
    table.owners.reserve(m_slots.size());
    for (const Slot &slot : m_slots) {
        const bool isHeld = slot.holder == Holder::Known && slot.accepted;
        table.owners.push_back(isHeld ? slot.server : NoServer);
    }
    actions.push_back(std::move(table));
}

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_DETAIL_GROUP_AUTHORITY_STEPS_HPP
