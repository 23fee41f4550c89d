#include <catch2/catch.hpp>

#include <random>

#include "snipevalve/dispatch_link/messages.hpp"
#include "snipevalve/node/view_change.hpp"

namespace snipevalve {

namespace {

std::string idOf(std::uint32_t number)
{
    return "s" + std::to_string(number);
}

/// A view of up to `servers` servers and `ranges` key ranges with random owners; some ranges are unowned.
ServiceView randomView(std::mt19937_64 &random, std::uint32_t servers, std::uint32_t ranges)
{
    ServiceView view{"ledger", true, {}, {}};
    for (std::uint32_t at = 0; at < servers; ++at) {
        UpstreamServer server;
        server.id = idOf(at);
        server.service = view.service;
        server.slots = 2 + static_cast<unsigned>(random() % 2);
        if (random() % 10 != 0) {
            view.servers.push_back(server);
        }
    }
    std::set<std::uint32_t> starts{0};
    while (starts.size() < ranges) {
        starts.insert(static_cast<std::uint32_t>(random() % KeyCount));
    }
    std::vector<OwnedRange> owned;
    for (auto start = starts.begin(); start != starts.end(); ++start) {
        const std::uint32_t end = std::next(start) == starts.end() ? KeyCount : *std::next(start);
        const std::string owner = idOf(static_cast<std::uint32_t>(random() % servers));
        const bool isOwned = random() % 8 != 0 && (owned.empty() || owned.back().owner != owner);
        if (isOwned) {
            owned.push_back({{static_cast<std::uint16_t>(*start), static_cast<std::uint16_t>(end - 1)}, owner});
        }
    }
    view.owners = KeyOwners(std::move(owned));
    return view;
}

std::map<std::string, UpstreamServer> byId(const ServiceView &view)
{
    std::map<std::string, UpstreamServer> servers;
    for (const UpstreamServer &server : view.servers) {
        servers[server.id] = server;
    }
    return servers;
}

} // namespace

TEST_CASE("applying a change to a view yields the later view, also after serialization")
{
    std::mt19937_64 random(7);
    for (int round = 0; round < 200; ++round) {
        const ServiceView from = randomView(random, 12, 1 + static_cast<std::uint32_t>(random() % 40));
        const ServiceView to = randomView(random, 12, 1 + static_cast<std::uint32_t>(random() % 40));
        const ViewChange change = changeBetween(from, to);
        CHECK(fromProto(toProto(change)) == change);
        const ServiceView result = applyChange(from, change);
        CHECK(byId(result) == byId(to));
        CHECK(result.owners == to.owners);
        const ViewChange none = changeBetween(to, to);
        CHECK((none.servers.empty() && none.removed.empty() && none.owners.empty()));
    }
}

TEST_CASE("the change for a few moved keys among hundreds of servers is a small part of the whole view")
{
    std::mt19937_64 random(9);
    const ServiceView from = randomView(random, 416, 900);
    std::vector<OwnedRange> ranges = from.owners.ranges();
    constexpr std::size_t Moves = 20;
    for (std::size_t move = 0; move < Moves; ++move) {
        ranges[move * 30].owner = idOf(static_cast<std::uint32_t>(move));
    }
    ServiceView to = from;
    to.owners = KeyOwners(ranges);
    const std::size_t whole = toProto(to).ByteSizeLong();
    const std::size_t changed = toProto(changeBetween(from, to)).ByteSizeLong();
    CHECK(changed * 20 < whole);
}

} // namespace snipevalve
