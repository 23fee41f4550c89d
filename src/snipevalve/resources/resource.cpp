#include "snipevalve/resources/resource.hpp"

#include <algorithm>
#include <cctype>
#include <map>

#include <nlohmann/json.hpp>

#include "snipevalve/resources/document_reader.hpp"

namespace snipevalve {

namespace {

using detail::DocumentReader;
using Json = nlohmann::json;

constexpr std::size_t MaxNameLength = 63;
constexpr std::uint64_t MaxGroups = 4096;
constexpr std::uint64_t MaxSlots = 65536;
constexpr std::uint64_t MaxConcurrency = 10'000;
constexpr std::uint64_t MaxDeadlineMs = 600'000;
constexpr std::uint64_t MaxBodyBytes = 4ULL << 30;

bool isValidName(const std::string &name)
{
    const auto isAllowed = [](unsigned char character) {
        return std::islower(character) != 0 || std::isdigit(character) != 0 || character == '-';
    };
    return !name.empty() && name.size() <= MaxNameLength && std::all_of(name.begin(), name.end(), isAllowed);
}

std::string readName(DocumentReader &reader, const std::string &field, bool required = true)
{
    std::string name = reader.text(field, {}, required);
    if (!name.empty() && !isValidName(name)) {
        reader.addFinding(field, "must be 1 to 63 lower-case letters, digits or hyphens");
    }
    return name;
}

Service readService(DocumentReader &spec)
{
    Service service;
    const std::string mode = spec.text("mode", "pool");
    if (mode != "keyed" && mode != "pool") {
        spec.addFinding("mode", "must be 'keyed' or 'pool'");
    }
    service.mode = mode == "keyed" ? ServiceMode::Keyed : ServiceMode::Pool;
    service.groups = static_cast<std::uint32_t>(spec.number("groups", service.groups, 1, MaxGroups));
    service.slots = static_cast<std::uint32_t>(spec.number("slots", service.slots, 1, MaxSlots));
    service.checksTokens = spec.flag("checksTokens", service.checksTokens);
    return service;
}

Server readServer(DocumentReader &spec)
{
    Server server;
    server.service = readName(spec, "service");
    server.group = static_cast<std::uint32_t>(spec.number("group", 0, 0, MaxGroups - 1));
    const std::string endpoint = spec.text("endpoint", {}, true);
    const auto parsed = parseEndpoint(endpoint);
    if (!endpoint.empty() && !parsed) {
        spec.addFinding("endpoint", "must be an IPv4 address and a port, such as 127.0.2.1:8000");
    }
    server.endpoint = parsed.value_or(Endpoint());
    server.zone = spec.text("zone", {});
    server.concurrency = static_cast<std::uint32_t>(spec.number("concurrency", 1, 1, MaxConcurrency));
    server.draining = spec.flag("draining", false);
    return server;
}

Route readRoute(DocumentReader &spec)
{
    Route route;
    route.pathPrefix = spec.text("pathPrefix", {}, true);
    const bool isValidPrefix = route.pathPrefix.starts_with('/') && route.pathPrefix.ends_with('/');
    if (!route.pathPrefix.empty() && !isValidPrefix) {
        spec.addFinding("pathPrefix", "must begin and end with '/'");
    }
    route.service = readName(spec, "service");
    route.keyHeader = spec.text("keyHeader", {});
    route.postIsIdempotent = spec.flag("postIsIdempotent", false);
    const auto defaultDeadlineMs = static_cast<std::uint64_t>(route.deadline.count());
    route.deadline = Milliseconds(spec.number("deadlineMs", defaultDeadlineMs, 1, MaxDeadlineMs));
    route.maxBodyBytes = spec.number("maxBodyBytes", route.maxBodyBytes, 0, MaxBodyBytes);
    return route;
}

Json specOf(const Service &service)
{
    return {{"mode", service.mode == ServiceMode::Keyed ? "keyed" : "pool"},
            {"groups", service.groups},
            {"slots", service.slots},
            {"checksTokens", service.checksTokens}};
}

Json specOf(const Server &server)
{
    return {{"service", server.service},
            {"group", server.group},
            {"endpoint", toString(server.endpoint)},
            {"zone", server.zone},
            {"concurrency", server.concurrency},
            {"draining", server.draining}};
}

Json specOf(const Route &route)
{
    return {{"pathPrefix", route.pathPrefix},       {"service", route.service},
            {"keyHeader", route.keyHeader},         {"postIsIdempotent", route.postIsIdempotent},
            {"deadlineMs", route.deadline.count()}, {"maxBodyBytes", route.maxBodyBytes}};
}

} // namespace

std::string_view kindOf(const Resource &resource)
{
    constexpr std::string_view Kinds[] = {"service", "server", "route"};
    return Kinds[resource.index()];
}

const std::string &nameOf(const Resource &resource)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return value.name;
        },
        resource);
}

const std::string &teamOf(const Resource &resource)
{
    return std::visit(
        [](const auto &value) -> const std::string & {
            return value.team;
        },
        resource);
}

std::string pathOf(const Resource &resource)
{
    return std::string(kindOf(resource)) + "/" + nameOf(resource);
}

absl::StatusOr<Resource> parseResource(std::string_view document)
{
    Findings findings;
    const Json json = Json::parse(document, nullptr, false);
    if (json.is_discarded()) {
        findings.add("document", "is not JSON");
        return findings.toStatus();
    }
    DocumentReader reader(json, {}, findings);
    const std::string kind = reader.text("kind", {}, true);
    const std::string name = readName(reader, "name");
    const std::string team = reader.text("team", "default");
    const Json *spec = reader.find("spec", true);
    reader.reportUnknownFields();
    if (kind != "service" && kind != "server" && kind != "route") {
        findings.add("kind", "must be 'service', 'server' or 'route'");
    }
    if (spec == nullptr || !findings.empty()) {
        return findings.toStatus();
    }
    DocumentReader specReader(*spec, "spec", findings);
    Resource resource;
    if (kind == "service") {
        resource = readService(specReader);
    } else if (kind == "server") {
        resource = readServer(specReader);
    } else {
        resource = readRoute(specReader);
    }
    specReader.reportUnknownFields();
    if (!findings.empty()) {
        return findings.toStatus();
    }
    const auto setIdentity = [&](auto &value) {
        value.name = name;
        value.team = team;
    };
    std::visit(setIdentity, resource);
    return resource;
}

std::string toJson(const Resource &resource)
{
    Json json = {{"kind", kindOf(resource)}, {"name", nameOf(resource)}, {"team", teamOf(resource)}};
    json["spec"] = std::visit(
        [](const auto &value) {
            return specOf(value);
        },
        resource);
    return json.dump();
}

Findings checkReferences(const std::vector<Resource> &resources)
{
    Findings findings;
    std::map<std::string, const Service *> services;
    for (const Resource &resource : resources) {
        if (const auto *service = std::get_if<Service>(&resource)) {
            services[service->name] = service;
        }
    }
    std::map<std::string, std::string> routeByPrefix;
    std::map<Endpoint, std::string> serverByEndpoint;
    for (const Resource &resource : resources) {
        if (const auto *server = std::get_if<Server>(&resource)) {
            const auto service = services.find(server->service);
            if (service == services.end()) {
                findings.add(pathOf(resource) + ".spec.service", "names no service: " + server->service);
            } else if (server->group >= service->second->groups) {
                findings.add(pathOf(resource) + ".spec.group", "must be below the service's groups");
            }
            const auto [existing, inserted] = serverByEndpoint.try_emplace(server->endpoint, server->name);
            if (!inserted) {
                findings.add(pathOf(resource) + ".spec.endpoint", "is the endpoint of " + existing->second + " too");
            }
        } else if (const auto *route = std::get_if<Route>(&resource)) {
            if (!services.contains(route->service)) {
                findings.add(pathOf(resource) + ".spec.service", "names no service: " + route->service);
            }
            const auto [existing, inserted] = routeByPrefix.try_emplace(route->pathPrefix, route->name);
            if (!inserted) {
                findings.add(pathOf(resource) + ".spec.pathPrefix", "is the prefix of " + existing->second + " too");
            }
        }
    }
    return findings;
}

} // namespace snipevalve
