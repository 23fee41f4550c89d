#include "standins/grant_book.hpp"

namespace snipevalve::standins {

GrantBook::GrantBook(GrantBookOptions options)
    : m_options(options)
{
}

bool GrantBook::isHeld(const Slot &slot, ServerClock now)
{
    return now <= slot.expiry && (!slot.released || slot.requestsInProgress > 0);
}

const GrantBook::Slot *GrantBook::find(const GroupId &group, std::uint32_t slot) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return nullptr;
    }
    const auto position = found->second.slots.find(slot);
    return position == found->second.slots.end() ? nullptr : &position->second;
}

/// Releases all slots of a group. Slots with requests in progress are kept until these have ended; they
/// count as held until then, or until the grant expires if that is earlier.
void GrantBook::release(Group &group, ServerClock now)
{
    for (auto slot = group.slots.begin(); slot != group.slots.end();) {
        slot->second.released = true;
        slot = isHeld(slot->second, now) || slot->second.requestsInProgress > 0 ? std::next(slot)
                                                                                : group.slots.erase(slot);
    }
}

GrantAnswer GrantBook::apply(const GrantOrder &order, ServerClock now)
{
    Group &group = m_groups[order.group];
    GrantAnswer answer;
    answer.clock = now;
    answer.accepted = !m_options.checksTokens || order.token > group.highest;
    if (answer.accepted) {
        group.highest = order.token;
    }
    answer.highest = group.highest;
    if (answer.accepted && !order.probe) {
        const auto lifetime = std::chrono::duration_cast<ServerClock>(order.lifetime);
        const ServerClock expiry = (m_options.countsFromAnchor ? order.anchor : now) + lifetime;
        std::map<std::uint32_t, Slot> before = group.slots;
        release(group, now);
        for (const std::uint32_t number : order.slots) {
            if (expiry < now) {
                break;
            }
            Slot &slot = group.slots[number];
            const auto old = before.find(number);
            const bool wasHeld = old != before.end() && !old->second.released && now <= old->second.expiry;
            slot.acquired = wasHeld ? old->second.acquired : order.token;
            slot.expiry = expiry;
            slot.released = false;
        }
    }
    answer.held = held(order.group, now);
    return answer;
}

bool GrantBook::owns(const GroupId &group, std::uint32_t slot, const Token &token, ServerClock now) const
{
    const Slot *found = find(group, slot);
    return found != nullptr && !found->released && now <= found->expiry
        && (!m_options.checksTokens || token >= found->acquired);
}

bool GrantBook::mayTakeEffect(const GroupId &group, std::uint32_t slot, ServerClock now) const
{
    const Slot *found = find(group, slot);
    return found != nullptr && now <= found->expiry;
}

Token GrantBook::acquired(const GroupId &group, std::uint32_t slot) const
{
    const Slot *found = find(group, slot);
    return found == nullptr ? Token() : found->acquired;
}

void GrantBook::beginWork(const GroupId &group, std::uint32_t slot)
{
    ++m_groups[group].slots[slot].requestsInProgress;
}

void GrantBook::endWork(const GroupId &group, std::uint32_t slot)
{
    Group &found = m_groups[group];
    Slot &entry = found.slots[slot];
    --entry.requestsInProgress;
    if (entry.released && entry.requestsInProgress == 0) {
        found.slots.erase(slot);
    }
}

std::vector<std::uint32_t> GrantBook::held(const GroupId &group, ServerClock now) const
{
    std::vector<std::uint32_t> slots;
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return slots;
    }
    for (const auto &[number, slot] : found->second.slots) {
        if (isHeld(slot, now)) {
            slots.push_back(number);
        }
    }
    return slots;
}

} // namespace snipevalve::standins
