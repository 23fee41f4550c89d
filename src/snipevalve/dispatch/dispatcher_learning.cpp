/// @file What the dispatcher learns from answers: how long requests take, and how fast servers are.

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

} // namespace snipevalve
