#include "snipevalve/node/view_change.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace snipevalve {

namespace {

/// All range boundaries of both maps in ascending order, including 0 and KeyCount.
std::vector<std::uint32_t> boundariesOf(const KeyOwners &left, const KeyOwners &right)
{
    std::set<std::uint32_t> boundaries{0, KeyCount};
    for (const KeyOwners *owners : {&left, &right}) {
        for (const OwnedRange &range : owners->ranges()) {
            boundaries.insert(range.keys.from);
            boundaries.insert(static_cast<std::uint32_t>(range.keys.to) + 1);
        }
    }
    return {boundaries.begin(), boundaries.end()};
}

/// Appends the range [from, end), or extends the last range if that has the same owner and is adjacent.
void appendRange(std::vector<OwnedRange> &ranges, std::uint32_t from, std::uint32_t end, const std::string &owner)
{
    const auto last = static_cast<std::uint16_t>(end - 1);
    const bool extends = !ranges.empty() && ranges.back().owner == owner
        && static_cast<std::uint32_t>(ranges.back().keys.to) + 1 == from;
    if (extends) {
        ranges.back().keys.to = last;
    } else {
        ranges.push_back({{static_cast<std::uint16_t>(from), last}, owner});
    }
}

std::string ownerOrNone(const KeyOwners &owners, std::uint32_t key)
{
    const std::string *owner = owners.ownerOf(static_cast<std::uint16_t>(key));
    return owner == nullptr ? std::string() : *owner;
}

} // namespace

ViewChange changeBetween(const ServiceView &from, const ServiceView &to)
{
    ViewChange change;
    change.service = to.service;
    change.keyed = to.keyed;
    std::map<std::string, const UpstreamServer *> before;
    for (const UpstreamServer &server : from.servers) {
        before[server.id] = &server;
    }
    for (const UpstreamServer &server : to.servers) {
        const auto known = before.find(server.id);
        if (known == before.end() || !(*known->second == server)) {
            change.servers.push_back(server);
        }
        if (known != before.end()) {
            before.erase(known);
        }
    }
    for (const auto &[id, server] : before) {
        change.removed.push_back(id);
    }
    const std::vector<std::uint32_t> boundaries = boundariesOf(from.owners, to.owners);
    for (std::size_t at = 0; at + 1 < boundaries.size(); ++at) {
        const std::string owner = ownerOrNone(to.owners, boundaries[at]);
        if (ownerOrNone(from.owners, boundaries[at]) != owner) {
            appendRange(change.owners, boundaries[at], boundaries[at + 1], owner);
        }
    }
    return change;
}

ServiceView applyChange(const ServiceView &view, const ViewChange &change)
{
    ServiceView result;
    result.service = change.service;
    result.keyed = change.keyed;
    std::map<std::string, UpstreamServer> servers;
    for (const UpstreamServer &server : view.servers) {
        servers[server.id] = server;
    }
    for (const std::string &id : change.removed) {
        servers.erase(id);
    }
    for (const UpstreamServer &server : change.servers) {
        servers[server.id] = server;
    }
    for (auto &[id, server] : servers) {
        result.servers.push_back(std::move(server));
    }
    const KeyOwners changed(change.owners);
    const std::vector<std::uint32_t> boundaries = boundariesOf(view.owners, changed);
    std::vector<OwnedRange> ranges;
    for (std::size_t at = 0; at + 1 < boundaries.size(); ++at) {
        const std::string *next = changed.ownerOf(static_cast<std::uint16_t>(boundaries[at]));
        const std::string owner = next != nullptr ? *next : ownerOrNone(view.owners, boundaries[at]);
        if (!owner.empty()) {
            appendRange(ranges, boundaries[at], boundaries[at + 1], owner);
        }
    }
    result.owners = KeyOwners(std::move(ranges));
    return result;
}

} // namespace snipevalve
