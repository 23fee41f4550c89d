#include "snipevalve/dispatch_link/messages.hpp"

#include <algorithm>
#include <map>

namespace snipevalve {

namespace {

std::int64_t msBetween(TimePoint now, TimePoint later)
{
    return std::chrono::duration_cast<Milliseconds>(later - now).count();
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
    return message;
}

UpstreamServer fromProto(const proto::Server &message, const std::string &service)
{
    UpstreamServer server;
    server.id = message.id();
    server.service = service;
    server.endpoint = {message.address(), static_cast<std::uint16_t>(message.port())};
    server.zone = message.zone();
    server.slots = message.slots();
    server.draining = message.draining();
    server.warmupLeft = Milliseconds(message.warmup_ms());
    server.incarnation = message.incarnation();
    return server;
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
    ask.set_target_ms(static_cast<std::int32_t>(msBetween(now, item.targetBy)));
    ask.set_deadline_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, msBetween(now, item.deadline))));
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
    const auto last = static_cast<std::uint32_t>(RejectReason::RetryBudget);
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
    std::map<std::string, std::uint32_t> indices;
    for (const UpstreamServer &server : view.servers) {
        indices[server.id] = static_cast<std::uint32_t>(message.servers_size());
        *message.add_servers() = toProto(server);
    }
    for (const OwnedRange &range : view.owners.ranges()) {
        const auto position = indices.find(range.owner);
        if (position == indices.end()) {
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
        if (range.server() < view.servers.size()) {
            const KeyRange keys{static_cast<std::uint16_t>(range.from()), static_cast<std::uint16_t>(range.to())};
            ranges.push_back({keys, view.servers[range.server()].id});
        }
    }
    view.owners = KeyOwners(std::move(ranges));
    return view;
}

WorkEnd toWorkEnd(std::uint32_t number)
{
    const auto last = static_cast<std::uint32_t>(WorkEnd::Abandoned);
    return static_cast<WorkEnd>(std::min(number, last));
}

} // namespace snipevalve
