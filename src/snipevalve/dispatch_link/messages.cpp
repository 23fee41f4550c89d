#include "snipevalve/dispatch_link/messages.hpp"

#include <algorithm>
#include <map>
#include <optional>

namespace snipevalve {

namespace {

std::int64_t millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

proto::Server toProto(const UpstreamServer &server)
{
    proto::Server message;
    message.set_id(server.id);
    message.set_address(server.endpoint.address);
    message.set_port(server.endpoint.port);
    message.set_zone(server.zone);
    message.set_slots(server.slots);
    message.set_draining(server.draining);
    message.set_warmup_ms(static_cast<std::uint32_t>(server.warmupLeft.count()));
    message.set_incarnation(server.incarnation);
    message.set_evacuated(server.evacuated);
    return message;
}

/// @return the server; without an endpoint when the other host's can't be read, so that no connection is opened to it
UpstreamServer fromProto(const proto::Server &message, const std::string &service)
{
    UpstreamServer server;
    server.id = message.id();
    server.service = service;
    server.endpoint = makeEndpoint(message.address(), message.port()).value_or(Endpoint());
    server.zone = message.zone();
    server.slots = message.slots();
    server.draining = message.draining();
    server.warmupLeft = Milliseconds(message.warmup_ms());
    server.incarnation = message.incarnation();
    server.evacuated = message.evacuated();
    return server;
}

/// @return empty when there are no such keys
std::optional<KeyRange> toKeys(std::uint32_t from, std::uint32_t to)
{
    if (from > to || to >= KeyCount) {
        return std::nullopt;
    }
    return KeyRange{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(to)};
}

proto::Route toProto(const GatewayRoute &route)
{
    proto::Route message;
    message.set_name(route.name);
    message.set_host(route.host);
    message.set_path_prefix(route.pathPrefix);
    message.set_kind(static_cast<std::uint32_t>(route.kind));
    message.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
    message.set_target_latency_ms(static_cast<std::uint32_t>(route.targetLatency.count()));
    message.set_priority(route.priority);
    message.set_max_attempts(static_cast<std::uint32_t>(route.maxAttempts));
    for (const WeightedService &share : route.services) {
        proto::RouteShare *out = message.add_services();
        out->set_service(share.service);
        out->set_weight(share.weight);
    }
    return message;
}

GatewayRoute fromProto(const proto::Route &message)
{
    GatewayRoute route;
    route.name = message.name();
    route.host = message.host();
    route.pathPrefix = message.path_prefix();
    // An unknown kind, sent by a host with a newer version, is treated as one that must not run more than once.
    const bool isKnown = message.kind() <= static_cast<std::uint32_t>(RequestKind::Download);
    route.kind = isKnown ? static_cast<RequestKind>(message.kind()) : RequestKind::Unsafe;
    route.timeout = Milliseconds(message.timeout_ms());
    route.targetLatency = Milliseconds(message.target_latency_ms());
    route.priority = message.priority();
    route.maxAttempts = static_cast<int>(message.max_attempts());
    for (const proto::RouteShare &share : message.services()) {
        route.services.push_back({share.service(), share.weight()});
    }
    return route;
}

} // namespace

proto::Ask toProto(const std::string &service, const WorkItem &item, TimePoint now)
{
    proto::Ask ask;
    ask.set_ticket(item.ticket);
    ask.set_service(service);
    ask.set_work_class(item.workClass);
    ask.set_priority(static_cast<std::uint32_t>(item.priority));
    ask.set_repeat(item.repeat);
    if (item.key) {
        ask.set_key(*item.key);
    }
    ask.set_target_ms(static_cast<std::int32_t>(millisecondsBetween(now, item.targetBy)));
    ask.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, millisecondsBetween(now, item.deadline))));
    for (const std::string &server : item.avoid) {
        ask.add_avoid(server);
    }
    return ask;
}

WorkItem fromProto(const proto::Ask &ask, const std::string &zone, TimePoint now)
{
    WorkItem item;
    item.workClass = ask.work_class();
    item.priority = static_cast<int>(ask.priority());
    item.repeat = ask.repeat();
    if (ask.has_key()) {
        item.key = static_cast<std::uint16_t>(ask.key());
    }
    item.zone = zone;
    item.targetBy = now + Milliseconds(ask.target_ms());
    item.deadline = now + Milliseconds(ask.deadline_ms());
    item.avoid.assign(ask.avoid().begin(), ask.avoid().end());
    return item;
}

proto::Permit toProto(const Placement &placement)
{
    proto::Permit permit;
    permit.set_ticket(placement.ticket);
    *permit.mutable_server() = toProto(placement.server);
    const auto expected = std::chrono::duration_cast<std::chrono::microseconds>(placement.expected);
    permit.set_expected_us(static_cast<std::uint32_t>(expected.count()));
    return permit;
}

Placement fromProto(const proto::Permit &permit)
{
    Placement placement;
    placement.ticket = permit.ticket();
    placement.server = fromProto(permit.server(), {});
    placement.expected = std::chrono::microseconds(permit.expected_us());
    placement.byLeader = true;
    return placement;
}

proto::Refusal toProto(const Rejection &rejection)
{
    proto::Refusal refusal;
    refusal.set_ticket(rejection.ticket);
    refusal.set_reason(static_cast<std::uint32_t>(rejection.reason));
    const auto retryAfter = std::chrono::duration_cast<Milliseconds>(rejection.retryAfter);
    refusal.set_waiting(rejection.waiting);
    refusal.set_retry_after_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, retryAfter.count())));
    return refusal;
}

Rejection fromProto(const proto::Refusal &refusal)
{
    Rejection rejection;
    rejection.ticket = refusal.ticket();
    const auto last = static_cast<std::uint32_t>(RejectReason::Paused);
    rejection.reason = static_cast<RejectReason>(std::min(refusal.reason(), last));
    rejection.retryAfter = Milliseconds(refusal.retry_after_ms());
    rejection.waiting = refusal.waiting();
    rejection.byLeader = true;
    return rejection;
}

proto::View toProto(const ServiceView &view)
{
    proto::View message;
    message.set_service(view.service);
    message.set_keyed(view.keyed);
    std::map<std::string, std::uint32_t> serverIndices;
    for (const UpstreamServer &server : view.servers) {
        serverIndices[server.id] = static_cast<std::uint32_t>(message.servers_size());
        *message.add_servers() = toProto(server);
    }
    for (const OwnedRange &range : view.owners.ranges()) {
        const auto position = serverIndices.find(range.owner);
        if (position == serverIndices.end()) {
            continue;
        }
        proto::OwnedRange *out = message.add_ranges();
        out->set_from(range.keys.from);
        out->set_to(range.keys.to);
        out->set_server(position->second);
    }
    return message;
}

ServiceView fromProto(const proto::View &message)
{
    ServiceView view;
    view.service = message.service();
    view.keyed = message.keyed();
    for (const proto::Server &server : message.servers()) {
        view.servers.push_back(fromProto(server, view.service));
    }
    std::vector<OwnedRange> ranges;
    for (const proto::OwnedRange &range : message.ranges()) {
        const auto keys = toKeys(range.from(), range.to());
        if (keys && range.server() < view.servers.size()) {
            ranges.push_back({*keys, view.servers[range.server()].id});
        }
    }
    view.owners = KeyOwners(std::move(ranges));
    return view;
}

proto::KnownView toProto(const KnownView &known)
{
    proto::KnownView message;
    *message.mutable_view() = toProto(known.view);
    message.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, known.age.count())));
    return message;
}

KnownView fromProto(const proto::KnownView &message)
{
    return {fromProto(message.view()), Milliseconds(message.age_ms())};
}

proto::ViewChange toProto(const ViewChange &change)
{
    proto::ViewChange message;
    message.set_service(change.service);
    message.set_keyed(change.keyed);
    for (const UpstreamServer &server : change.servers) {
        *message.add_servers() = toProto(server);
    }
    for (const std::string &id : change.removed) {
        message.add_removed(id);
    }
    std::map<std::string, std::uint32_t> ownerNumbers;
    for (const OwnedRange &range : change.owners) {
        proto::OwnerChange *out = message.add_ranges();
        out->set_from(range.keys.from);
        out->set_to(range.keys.to);
        if (range.owner.empty()) {
            continue;
        }
        const auto next = static_cast<std::uint32_t>(message.owners_size() + 1);
        const auto [ownerNumber, isNew] = ownerNumbers.try_emplace(range.owner, next);
        if (isNew) {
            message.add_owners(range.owner);
        }
        out->set_owner(ownerNumber->second);
    }
    return message;
}

ViewChange fromProto(const proto::ViewChange &message)
{
    ViewChange change;
    change.service = message.service();
    change.keyed = message.keyed();
    for (const proto::Server &server : message.servers()) {
        change.servers.push_back(fromProto(server, change.service));
    }
    change.removed.assign(message.removed().begin(), message.removed().end());
    for (const proto::OwnerChange &range : message.ranges()) {
        const bool hasOwner = range.owner() > 0 && range.owner() <= static_cast<std::uint32_t>(message.owners_size());
        const auto keys = toKeys(range.from(), range.to());
        if (keys) {
            change.owners.push_back(
                {*keys, hasOwner ? message.owners(static_cast<int>(range.owner()) - 1) : std::string()});
        }
    }
    return change;
}

proto::LeavingServer toProto(const LeavingServer &leaving, TimePoint now)
{
    proto::LeavingServer message;
    message.set_service(leaving.service);
    message.set_id(leaving.server.id);
    message.set_incarnation(leaving.server.incarnation);
    const std::int64_t age = std::max<std::int64_t>(0, millisecondsBetween(leaving.since, now));
    message.set_age_ms(static_cast<std::uint32_t>(age));
    message.set_told_by_list(leaving.source == LeavingSource::List);
    return message;
}

LeavingServer fromProto(const proto::LeavingServer &message, TimePoint now)
{
    return {message.service(),
            {message.id(), message.incarnation()},
            message.told_by_list() ? LeavingSource::List : LeavingSource::Answer,
            now - Milliseconds(message.age_ms())};
}

proto::ConfigChange toProto(const ConfigChange &change)
{
    proto::ConfigChange message;
    message.set_base(change.base);
    message.set_version(change.version);
    message.set_max_header_bytes(change.limits.maxHeaderBytes);
    message.set_max_body_bytes(change.limits.maxBodyBytes);
    message.set_header_timeout_ms(static_cast<std::uint32_t>(change.limits.headerTimeout.count()));
    message.set_idle_timeout_ms(static_cast<std::uint32_t>(change.limits.idleTimeout.count()));
    for (const auto &[name, service] : change.services) {
        proto::Service *out = message.add_services();
        out->set_name(name);
        out->set_health_path(service.healthPath);
        out->set_max_connections(service.maxConnections);
        out->set_keyed(service.keyed);
        out->set_warm_ms(static_cast<std::uint32_t>(service.warmTime.count()));
        out->set_warmup_ms(static_cast<std::uint32_t>(service.warmupTime.count()));
        out->set_warmup_per_second(service.warmupPerSecond);
    }
    for (const GatewayRoute &route : change.routes) {
        *message.add_routes() = toProto(route);
    }
    for (const RoutePlace &place : change.removed) {
        proto::RoutePlace *out = message.add_removed();
        out->set_host(place.host);
        out->set_path_prefix(place.pathPrefix);
    }
    return message;
}

ConfigChange fromProto(const proto::ConfigChange &message)
{
    ConfigChange change;
    change.base = message.base();
    change.version = message.version();
    change.limits.maxHeaderBytes = message.max_header_bytes();
    change.limits.maxBodyBytes = message.max_body_bytes();
    change.limits.headerTimeout = Milliseconds(message.header_timeout_ms());
    change.limits.idleTimeout = Milliseconds(message.idle_timeout_ms());
    for (const proto::Service &service : message.services()) {
        change.services[service.name()] = {service.name(),
                                           service.health_path(),
                                           service.max_connections(),
                                           service.keyed(),
                                           Milliseconds(service.warm_ms()),
                                           Milliseconds(service.warmup_ms()),
                                           service.warmup_per_second()};
    }
    for (const proto::Route &route : message.routes()) {
        change.routes.push_back(fromProto(route));
    }
    for (const proto::RoutePlace &place : message.removed()) {
        change.removed.push_back({place.host(), place.path_prefix()});
    }
    return change;
}

proto::Leaders toProto(const LeaderTable &table)
{
    proto::Leaders message;
    message.set_revision(table.revision);
    message.set_era(table.era);
    for (const auto &[service, leader] : table.leaders) {
        proto::Leader *out = message.add_leaders();
        out->set_service(service);
        out->set_address(leader.endpoint.address);
        out->set_port(leader.endpoint.port);
        out->set_revision(leader.revision);
    }
    return message;
}

LeaderTable fromProto(const proto::Leaders &message)
{
    LeaderTable table;
    table.revision = message.revision();
    table.era = message.era();
    for (const proto::Leader &leader : message.leaders()) {
        auto endpoint = makeEndpoint(leader.address(), leader.port());
        if (endpoint) {
            table.leaders[leader.service()] = {*std::move(endpoint), leader.revision()};
        }
    }
    return table;
}

proto::Evacuations toProto(const Evacuations &evacuations)
{
    proto::Evacuations message;
    message.set_revision(evacuations.revision);
    message.set_era(evacuations.era);
    for (const std::string &zone : evacuations.zones) {
        message.add_zones(zone);
    }
    return message;
}

Evacuations fromProto(const proto::Evacuations &message)
{
    return {message.era(), message.revision(), {message.zones().begin(), message.zones().end()}};
}

WorkEnd toWorkEnd(std::uint32_t number)
{
    const auto last = static_cast<std::uint32_t>(WorkEnd::Abandoned);
    return static_cast<WorkEnd>(std::min(number, last));
}

} // namespace snipevalve
