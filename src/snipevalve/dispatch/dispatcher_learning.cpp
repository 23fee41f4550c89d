/// @file What the dispatcher learns from the ends of sends: how long requests take, how fast servers are, and what they
/// still have to do.

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve {

void Dispatcher::learn(const WorkItem &item, const std::string &server, Duration took,
                       const std::optional<ServerLoad> &load, TimePoint now)
{
    const auto position = m_servers.find(server);
    if (position != m_servers.end()) {
        LoadReports &loads = position->second.loads;
        if (load) {
            loads.add(*load, position->second.busy + 1, now);
        }
        took = loads.usualTime(now - took, now);
    }
    m_work.observe(traitsOf(item), took, Slowness());
}

/// @param work time for which the request had a slot
/// @param hasReport whether the answer came with a report of the server's load
void Dispatcher::learnFrom(ServerState &state, const Running &ended, Duration work, bool hasReport, TimePoint now)
{
    const Duration usual = state.loads.usualTime(now - work, now);
    const double usualSlowness = state.slowness.factor();
    const double slowness = m_work.observe(ended.traits, usual, state.slowness);
    if (hasReport && usual > Duration::zero()) {
        state.loads.observe(slowness / usualSlowness * (Seconds(work) / Seconds(usual)));
    }
    state.slowness.observe(slowness);
}

const WorkEstimates &Dispatcher::workEstimates() const
{
    return m_work;
}

/// The next send that waits at the server starts when another one ends there. Its wait does not count as service time.
void Dispatcher::onSlotFreed(ServerState &state, Ticket ended, TimePoint now)
{
    state.remaining.remove(ended);
    if (std::erase(state.queued, ended) > 0 || state.queued.empty()) {
        return;
    }
    const auto next = m_running.find(state.queued.front());
    state.queued.pop_front();
    if (next != m_running.end()) {
        next->second.isWaitingAtServer = false;
        next->second.slotSince = now;
        state.remaining.start(next->first, now);
    }
}

/// When a server that is full is expected to have a free slot, by what runs there and by its report.
/// @return empty when all requests are alike, so that one full server is as good as another, or when too little is
/// known
std::optional<Seconds> Dispatcher::untilSlotOf(const ServerState &state, TimePoint now) const
{
    if (m_work.areAlike()) {
        return std::nullopt;
    }
    const auto rest = state.remaining.untilSlot(limitOf(state), now);
    return rest ? std::optional(state.loads.timeOf(*rest, now)) : std::nullopt;
}

/// When the first of a queue's servers is expected to have a free slot, if none has one now.
/// @param usual the answer when all requests are alike
Seconds Dispatcher::timeUntilSlot(const std::string &name, Seconds usual, TimePoint now) const
{
    if (m_work.areAlike()) {
        return usual;
    }
    if (!name.empty()) {
        const auto owner = m_servers.find(name);
        return owner == m_servers.end() ? usual : untilSlotOf(owner->second, now).value_or(usual);
    }
    if (m_untilAnySlotAt != now || m_untilAnySlotRunning != m_running.size()) {
        m_untilAnySlot.reset();
        for (const auto &[id, state] : m_servers) {
            const auto rest = isUsable(state, now) ? untilSlotOf(state, now) : std::nullopt;
            if (rest && *rest < m_untilAnySlot.value_or(Seconds::max())) {
                m_untilAnySlot = rest;
            }
        }
        m_untilAnySlotAt = now;
        m_untilAnySlotRunning = m_running.size();
    }
    return m_untilAnySlot.value_or(usual);
}

} // namespace snipevalve
