#ifndef SNIPEVALVE_OWNERSHIP_DEPUTY_CONSENTS_HPP
#define SNIPEVALVE_OWNERSHIP_DEPUTY_CONSENTS_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "snipevalve/ownership/key_plan.hpp"

namespace snipevalve {

/// @brief What a host has consented to as the deputy of leaders. No I/O, threads or clock.
///
/// A leader whose plan names a deputy grants long holds only with that deputy's consent. A deputy that takes the
/// service over without having consented therefore knows that its predecessor has granted none.
///
/// Load pattern: a leader is lost, and servers within seconds of it. Without a deputy, the keys of these servers wait
/// until the longest hold that the old leader may have granted has expired.
class DeputyConsents
{
public:
    /// @param run identifies this run of the process, as plans name it
    explicit DeputyConsents(std::string run)
        : m_run(std::move(run))
    {
    }

    /// @brief Consents to long holds of a leader.
    /// @return false when this host has taken over from that leader, or is not the deputy
    bool consent(const std::string &service, std::uint64_t term, const PlanDeputy &deputy)
    {
        const auto closed = m_closedTerms.find(service);
        const bool isClosed = closed != m_closedTerms.end() && term <= closed->second;
        if (isClosed || deputy.run != m_run) {
            return false;
        }
        m_consents.insert({service, term, deputy.epoch});
        return true;
    }

    /// @brief Refuses from now on to consent for this plan's term, which ends: this host takes the service over.
    /// @return whether the plan's leader has granted no long holds
    bool closeTerm(const std::string &service, const KeyPlan &plan)
    {
        std::uint64_t &closed = m_closedTerms[service];
        closed = std::max(closed, plan.term);
        return plan.deputy.run == m_run && !m_consents.contains({service, plan.term, plan.deputy.epoch});
    }

private:
    std::string m_run;
    std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> m_consents; ///< service, term and epoch
    std::map<std::string, std::uint64_t> m_closedTerms; ///< by service
};

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_DEPUTY_CONSENTS_HPP
