#include "snipevalve/node/estimate_log.hpp"

#include <utility>
#include <vector>

#include <spdlog/spdlog.h>

#include "snipevalve/core/hash.hpp"
#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds CheckInterval(1'000);
constexpr Milliseconds LogInterval(10'000);

/// @return the name of each of these classes: of the route whose requests form it, or its number
std::map<std::uint64_t, std::string> namesOf(const std::vector<WorkEstimates::Summary> &classes,
                                             const GatewayConfig *config)
{
    std::map<std::uint64_t, std::string> names;
    for (const WorkEstimates::Summary &each : classes) {
        names[each.workClass] = std::to_string(each.workClass);
    }
    if (config != nullptr) {
        config->forEachRoute([&names](const GatewayRoute &route) {
            const auto name = names.find(hashOf(route.name));
            if (name != names.end()) {
                name->second = route.name;
            }
        });
    }
    return names;
}

} // namespace

void EstimateLog::update(const std::string &service, const WorkEstimates &estimates, const GatewayConfig *config,
                         TimePoint now)
{
    if (now - m_checkedAt < CheckInterval) {
        return;
    }
    m_checkedAt = now;
    const bool isDue = now - m_loggedAt >= LogInterval;
    m_loggedAt = isDue ? now : m_loggedAt;
    std::vector<WorkEstimates::Summary> shown = estimates.summaries();
    std::erase_if(shown, [this, isDue](const WorkEstimates::Summary &each) {
        WorkEstimates::Refinement &logged = m_refinements[each.workClass];
        return std::exchange(logged, each.refinement) == each.refinement && !isDue;
    });
    if (shown.empty()) {
        return;
    }
    const std::map<std::uint64_t, std::string> names = namesOf(shown, config);
    for (const WorkEstimates::Summary &each : shown) {
        spdlog::info("work: event=estimate service={} route={} mean_ms={:.1f} refined_by={} error_left={:.2f}",
                     escapeLogValue(service), escapeLogValue(names.at(each.workClass)), each.mean.count() * 1e3,
                     describe(each.refinement), each.errorLeft);
    }
    std::erase_if(m_refinements, [&estimates](const auto &entry) {
        return !estimates.knows(entry.first);
    });
}

} // namespace snipevalve
