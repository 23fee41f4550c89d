#include "snipevalve/node/warmup_limits.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

WarmupLimits warmupLimitsOf(const GatewayService &service, const NodeSettings &settings)
{
    WarmupLimits limits;
    limits.perSecond = service.warmupPerSecond;
    limits.overage = settings.warmupOverage;
    limits.slack = settings.warmupSlack;
    limits.time = service.warmupTime;
    limits.heartbeat = settings.heartbeatInterval;
    return limits;
}

double localWarmupShare(std::uint32_t hosts)
{
    return hosts == 0 ? 0.0 : 0.5 / hosts;
}

void logWarmupEvents(const std::string &service, const std::vector<WarmupEvent> &events, const std::string &decidedBy)
{
    for (const WarmupEvent &event : events) {
        switch (event.kind) {
        case WarmupEvent::Kind::Cold:
            spdlog::info("servers: event=server_cold service={} server={} left_ms={} assumed={} decided_by={}",
                         escapeLogValue(service), escapeLogValue(event.server), event.left.count(), event.isAssumed,
                         decidedBy);
            break;
        case WarmupEvent::Kind::Warm:
            spdlog::info("servers: event=server_warm service={} server={} decided_by={}", escapeLogValue(service),
                         escapeLogValue(event.server), decidedBy);
            break;
        case WarmupEvent::Kind::Limited:
            spdlog::info("servers: event=pace_limit service={} server={} refused={} left_ms={} decided_by={}",
                         escapeLogValue(service), escapeLogValue(event.server), event.refused, event.left.count(),
                         decidedBy);
            break;
        }
    }
}

} // namespace snipevalve
