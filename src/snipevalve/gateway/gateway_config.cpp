#include "snipevalve/gateway/gateway_config.hpp"

namespace snipevalve {

/// Every prefix ends with a slash, so only those prefixes of the path are looked up, the longest first.
const GatewayRoute *GatewayConfig::routeFor(std::string_view host, std::string_view path) const
{
    const auto position = m_routesByHost.find(host);
    if (position == m_routesByHost.end()) {
        return nullptr;
    }
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto route = position->second.find(path.substr(0, end + 1));
        if (route != position->second.end()) {
            return route->second.get();
        }
        if (end == 0) {
            break;
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
    HostRoutes &routes = m_routesByHost[route.host];
    std::string prefix = route.pathPrefix;
    routes.try_emplace(std::move(prefix), std::make_shared<const GatewayRoute>(std::move(route)));
}

void GatewayConfig::removeRoute(const RoutePlace &place)
{
    const auto position = m_routesByHost.find(place.host);
    if (position == m_routesByHost.end()) {
        return;
    }
    position->second.erase(place.pathPrefix);
    if (position->second.empty()) {
        m_routesByHost.erase(position);
    }
}

const GatewayRoute *GatewayConfig::routeAt(const RoutePlace &place) const
{
    const auto position = m_routesByHost.find(place.host);
    if (position == m_routesByHost.end()) {
        return nullptr;
    }
    const auto route = position->second.find(place.pathPrefix);
    return route == position->second.end() ? nullptr : route->second.get();
}

} // namespace snipevalve
