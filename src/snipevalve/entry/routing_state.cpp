#include "snipevalve/entry/routing_state.hpp"

#include <algorithm>

namespace snipevalve {

namespace {

using ServerMap = std::map<std::string, std::shared_ptr<const Server>>;

std::shared_ptr<const GroupRouting> buildGroupRouting(const SlotTable &table, const ServerMap &servers,
                                                      std::shared_ptr<SlotCounter> counter)
{
    auto routing = std::make_shared<GroupRouting>();
    routing->group = table.group;
    routing->name = toString(table.group);
    routing->version = table.version;
    routing->owners = table.owners;
    routing->counter = std::move(counter);
    for (const std::string &name : table.servers) {
        const auto server = servers.find(name);
        routing->servers.push_back(server == servers.end() ? nullptr : server->second);
    }
    return routing;
}

} // namespace

const Route *RoutingState::routeFor(std::string_view path) const
{
    for (const Route &route : routes) {
        if (path.starts_with(route.pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

const ServiceRouting *RoutingState::service(const std::string &name) const
{
    const auto position = services.find(name);
    return position == services.end() ? nullptr : &position->second;
}

bool RoutingBuilder::apply(const Item &item)
{
    if (item.key.kind == ItemKind::Resource) {
        m_catalog.apply(item);
        return true;
    }
    return item.key.kind == ItemKind::Table && applyTable(item);
}

bool RoutingBuilder::applyTable(const Item &item)
{
    auto table = decodeTable(item.payload);
    if (!table) {
        return false;
    }
    std::shared_ptr<SlotCounter> &counter = m_counters[item.key.name];
    const auto known = m_tables.find(item.key.name);
    const bool isResized = known == m_tables.end() || known->second.owners.size() != table->owners.size();
    if (isResized) {
        counter = std::make_shared<SlotCounter>(table->owners.size());
    }
    m_tables[item.key.name] = std::move(*table);
    return true;
}

std::shared_ptr<const RoutingState> RoutingBuilder::build() const
{
    auto state = std::make_shared<RoutingState>();
    for (const auto &[name, route] : m_catalog.routes()) {
        state->routes.push_back(route);
    }
    const auto isLonger = [](const Route &left, const Route &right) {
        return left.pathPrefix.size() > right.pathPrefix.size();
    };
    std::stable_sort(state->routes.begin(), state->routes.end(), isLonger);
    for (const auto &[name, service] : m_catalog.services()) {
        ServiceRouting &routing = state->services[name];
        routing.service = service;
        ServerMap servers;
        for (Server &server : m_catalog.serversOf(name)) {
            const auto shared = std::make_shared<const Server>(std::move(server));
            servers[shared->name] = shared;
            routing.servers.push_back(shared);
        }
        for (std::uint32_t index = 0; service.mode == ServiceMode::Keyed && index < service.groups; ++index) {
            const std::string group = toString(GroupId{name, index});
            const auto table = m_tables.find(group);
            const bool isKnown = table != m_tables.end();
            routing.groups.push_back(isKnown ? buildGroupRouting(table->second, servers, m_counters.at(group))
                                             : nullptr);
        }
    }
    return state;
}

const std::map<std::string, std::shared_ptr<SlotCounter>> &RoutingBuilder::counters() const
{
    return m_counters;
}

} // namespace snipevalve
