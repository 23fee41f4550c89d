#include "snipevalve/gateway/evacuations.hpp"

#include <algorithm>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

std::string_view describe(EvacuationState state)
{
    switch (state) {
    case EvacuationState::InForce:
        return "in_force";
    case EvacuationState::UnknownZone:
        return "unknown_zone";
    case EvacuationState::LeavesNoServer:
        return "ignored_leaves_no_server";
    case EvacuationState::Ended:
        return "ended";
    }
    return "";
}

std::string evacuationLogText(const EvacuationReport &report, std::string_view by)
{
    std::string text = "servers: event=evacuation zone=";
    text.append(escapeLogValue(report.zone)).append(" state=").append(describe(report.state));
    text.append(" revision=").append(std::to_string(report.revision)).append(" by=").append(by);
    return text;
}

bool EvacuatedZones::update(const Evacuations &evacuations)
{
    if (!evacuations.isNewerThan(m_evacuations)) {
        return false;
    }
    m_evacuations = evacuations;
    setOccupied(std::move(m_occupied));
    return true;
}

bool EvacuatedZones::setOccupied(std::set<std::string> zones)
{
    m_occupied = std::move(zones);
    const bool leavesServers =
        m_occupied.empty() || std::any_of(m_occupied.begin(), m_occupied.end(), [this](const std::string &zone) {
            return !m_evacuations.zones.contains(zone);
        });
    return std::exchange(m_leavesServers, leavesServers) != leavesServers;
}

bool EvacuatedZones::isEvacuated(const UpstreamServer &server) const
{
    if (!m_evacuations.isKnown()) {
        return server.evacuated;
    }
    return m_evacuations.zones.contains(server.zone) && (m_leavesServers || server.evacuated);
}

bool EvacuatedZones::markIn(std::vector<UpstreamServer> &servers) const
{
    bool changed = false;
    for (UpstreamServer &server : servers) {
        const bool evacuated = isEvacuated(server);
        changed = changed || evacuated != server.evacuated;
        server.evacuated = evacuated;
    }
    return changed;
}

const Evacuations &EvacuatedZones::evacuations() const
{
    return m_evacuations;
}

EvacuationState EvacuatedZones::stateOf(const std::string &zone) const
{
    if (!m_occupied.empty() && !m_occupied.contains(zone)) {
        return EvacuationState::UnknownZone;
    }
    return m_leavesServers ? EvacuationState::InForce : EvacuationState::LeavesNoServer;
}

std::vector<EvacuationReport> EvacuatedZones::takeReports()
{
    std::vector<EvacuationReport> reports;
    for (auto zone = m_reported.begin(); zone != m_reported.end();) {
        if (m_evacuations.zones.contains(zone->first)) {
            ++zone;
            continue;
        }
        reports.push_back({zone->first, EvacuationState::Ended, m_evacuations.revision});
        zone = m_reported.erase(zone);
    }
    for (const std::string &zone : m_evacuations.zones) {
        const EvacuationState state = stateOf(zone);
        const auto known = m_reported.find(zone);
        if (known == m_reported.end() || known->second != state) {
            m_reported[zone] = state;
            reports.push_back({zone, state, m_evacuations.revision});
        }
    }
    return reports;
}

} // namespace snipevalve
