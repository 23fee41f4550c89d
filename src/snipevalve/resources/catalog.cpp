#include "snipevalve/resources/catalog.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace snipevalve {

namespace {

template <typename Value>
const Value *findByName(const std::map<std::string, Value> &values, const std::string &name)
{
    const auto position = values.find(name);
    return position == values.end() ? nullptr : &position->second;
}

} // namespace

void Catalog::apply(const Item &item)
{
    if (item.removed) {
        remove(item.key.name);
        return;
    }
    absl::StatusOr<Resource> resource = parseResource(item.payload);
    if (!resource.ok()) {
        spdlog::error("catalog: {} can't be read; the catalog is unchanged", item.key.name);
        return;
    }
    if (auto *service = std::get_if<Service>(&*resource)) {
        m_services[service->name] = std::move(*service);
    } else if (auto *server = std::get_if<Server>(&*resource)) {
        m_servers[server->name] = std::move(*server);
    } else if (auto *route = std::get_if<Route>(&*resource)) {
        m_routes[route->name] = std::move(*route);
    }
}

void Catalog::remove(const std::string &path)
{
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = path.substr(slash + 1);
    if (kind == "service") {
        m_services.erase(name);
    } else if (kind == "server") {
        m_servers.erase(name);
    } else if (kind == "route") {
        m_routes.erase(name);
    }
}

const Service *Catalog::service(const std::string &name) const
{
    return findByName(m_services, name);
}

const Server *Catalog::server(const std::string &name) const
{
    return findByName(m_servers, name);
}

const std::map<std::string, Service> &Catalog::services() const
{
    return m_services;
}

const std::map<std::string, Route> &Catalog::routes() const
{
    return m_routes;
}

const Route *Catalog::routeFor(std::string_view path) const
{
    const Route *longest = nullptr;
    for (const auto &[name, route] : m_routes) {
        const bool isLonger = longest == nullptr || route.pathPrefix.size() > longest->pathPrefix.size();
        if (path.starts_with(route.pathPrefix) && isLonger) {
            longest = &route;
        }
    }
    return longest;
}

std::vector<Server> Catalog::serversOf(const std::string &service) const
{
    std::vector<Server> servers;
    for (const auto &[name, server] : m_servers) {
        if (server.service == service) {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<Server> Catalog::membersOf(const GroupId &group) const
{
    std::vector<Server> members;
    for (const auto &[name, server] : m_servers) {
        if (server.service == group.service && server.group == group.index) {
            members.push_back(server);
        }
    }
    return members;
}

std::vector<GroupId> Catalog::groups() const
{
    std::vector<GroupId> groups;
    for (const auto &[name, service] : m_services) {
        for (std::uint32_t index = 0; service.mode == ServiceMode::Keyed && index < service.groups; ++index) {
            groups.push_back({name, index});
        }
    }
    return groups;
}

std::string toJson(const ResourceEnvelope &envelope)
{
    const auto document = nlohmann::json::parse(envelope.document, nullptr, false);
    return nlohmann::json(
               {{"writeId", envelope.writeId}, {"resource", document}, {"earlierWrites", envelope.earlierWrites}})
        .dump();
}

std::optional<ResourceEnvelope> parseEnvelope(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("resource") || !json.contains("writeId")) {
        return std::nullopt;
    }
    ResourceEnvelope envelope;
    envelope.writeId = json.value("writeId", "");
    envelope.document = json["resource"].dump();
    envelope.earlierWrites = json.value("earlierWrites", std::vector<std::string>());
    return envelope;
}

ResourceEnvelope envelopeAfter(const std::optional<ResourceEnvelope> &previous, std::string writeId,
                               std::string document)
{
    constexpr std::size_t MaxEarlierWrites = 16;
    ResourceEnvelope envelope;
    envelope.writeId = std::move(writeId);
    envelope.document = std::move(document);
    if (previous) {
        envelope.earlierWrites = previous->earlierWrites;
        envelope.earlierWrites.insert(envelope.earlierWrites.begin(), previous->writeId);
        envelope.earlierWrites.resize(std::min(envelope.earlierWrites.size(), MaxEarlierWrites));
    }
    return envelope;
}

} // namespace snipevalve
