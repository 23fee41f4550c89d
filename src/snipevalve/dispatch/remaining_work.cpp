#include "snipevalve/dispatch/remaining_work.hpp"

#include <algorithm>
#include <functional>

namespace snipevalve {

namespace {

/// A request that runs longer than expected still needs this share of its expected time: it may be one of the few that
/// take several times as long.
constexpr double MinRestShare = 0.15;

} // namespace

void RemainingWork::add(Ticket ticket, Seconds expected, bool hasSlot, TimePoint now)
{
    m_entries.push_back({ticket, expected, hasSlot, now});
}

void RemainingWork::start(Ticket ticket, TimePoint now)
{
    for (Entry &entry : m_entries) {
        if (entry.ticket == ticket) {
            entry.hasSlot = true;
            entry.since = now;
        }
    }
}

void RemainingWork::remove(Ticket ticket)
{
    std::erase_if(m_entries, [ticket](const Entry &entry) {
        return entry.ticket == ticket;
    });
}

Seconds RemainingWork::restOf(const Entry &entry, TimePoint now)
{
    const Seconds done = entry.hasSlot ? Seconds(now - entry.since) : Seconds(0);
    return std::max(entry.expected - done, entry.expected * MinRestShare);
}

/// The waiting requests get the slots in their order, each the one that is free first.
std::optional<Seconds> RemainingWork::untilSlot(unsigned slots, TimePoint now) const
{
    if (slots == 0 || m_entries.size() < slots) {
        return std::nullopt;
    }
    std::vector<Seconds> ends; // a heap with the earliest end in front
    ends.reserve(m_entries.size());
    for (const bool hasSlot : {true, false}) {
        for (const Entry &entry : m_entries) {
            if (entry.hasSlot != hasSlot) {
                continue;
            }
            Seconds begin(0);
            if (ends.size() >= slots) {
                std::pop_heap(ends.begin(), ends.end(), std::greater<>());
                begin = hasSlot ? Seconds(0) : ends.back();
                ends.pop_back();
            }
            ends.push_back(begin + restOf(entry, now));
            std::push_heap(ends.begin(), ends.end(), std::greater<>());
        }
    }
    return ends.front();
}

} // namespace snipevalve
