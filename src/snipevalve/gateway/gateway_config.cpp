#include "snipevalve/gateway/gateway_config.hpp"

#include <algorithm>

namespace snipevalve {

const GatewayRoute *GatewayConfig::routeFor(std::string_view host, std::string_view path) const
{
    const auto position = m_routesByHost.find(host);
    if (position == m_routesByHost.end()) {
        return nullptr;
    }
    for (const GatewayRoute &route : position->second) {
        if (path.substr(0, route.pathPrefix.size()) == route.pathPrefix) {
            return &route;
        }
    }
    return nullptr;
}

const GatewayService *GatewayConfig::service(const std::string &name) const
{
    const auto position = services.find(name);
    return position == services.end() ? nullptr : &position->second;
}

void GatewayConfig::addRoute(GatewayRoute route)
{
    std::vector<GatewayRoute> &routes = m_routesByHost[route.host];
    const auto isLonger = [](const GatewayRoute &left, const GatewayRoute &right) {
        return left.pathPrefix.size() > right.pathPrefix.size();
    };
    routes.insert(std::upper_bound(routes.begin(), routes.end(), route, isLonger), std::move(route));
}

} // namespace snipevalve
