#include "snipevalve/gateway/config_change.hpp"

namespace snipevalve {

ConfigChange changeBetween(const GatewayConfig *base, const GatewayConfig &next)
{
    ConfigChange change;
    change.base = base == nullptr ? 0 : base->version;
    change.version = next.version;
    change.limits = next.limits;
    change.services = next.services;
    next.forEachRoute([&change, base](const GatewayRoute &route) {
        const GatewayRoute *before = base == nullptr ? nullptr : base->routeAt({route.host, route.pathPrefix});
        if (before == nullptr || !(*before == route)) {
            change.routes.push_back(route);
        }
    });
    if (base != nullptr) {
        base->forEachRoute([&change, &next](const GatewayRoute &route) {
            const RoutePlace place{route.host, route.pathPrefix};
            if (next.routeAt(place) == nullptr) {
                change.removed.push_back(place);
            }
        });
    }
    return change;
}

std::shared_ptr<const GatewayConfig> applyChange(const GatewayConfig *base, const ConfigChange &change)
{
    const bool isFull = change.base == 0;
    const bool fits = isFull || (base != nullptr && base->version == change.base);
    if (!fits) {
        return nullptr;
    }
    auto next = isFull ? std::make_shared<GatewayConfig>() : std::make_shared<GatewayConfig>(*base);
    next->version = change.version;
    next->limits = change.limits;
    next->services = change.services;
    for (const RoutePlace &place : change.removed) {
        next->removeRoute(place);
    }
    for (const GatewayRoute &route : change.routes) {
        next->removeRoute({route.host, route.pathPrefix});
        next->addRoute(route);
    }
    return next;
}

} // namespace snipevalve
