#include <catch2/catch.hpp>

#include "snipevalve/gateway/evacuations.hpp"

namespace snipevalve {

namespace {

using Zones = std::set<std::string>;
using State = EvacuationState;

Evacuations list(std::uint64_t era, std::uint64_t revision, Zones zones)
{
    return {era, revision, std::move(zones)};
}

UpstreamServer serverIn(const std::string &zone, bool marked = false)
{
    UpstreamServer server;
    server.id = zone;
    server.zone = zone;
    server.evacuated = marked;
    return server;
}

} // namespace

TEST_CASE("evacuations are ordered by the era of the store first, since revisions are given out again")
{
    struct Example
    {
        std::string name;
        Evacuations left;
        Evacuations right;
        bool isNewer; ///< the left one
    };
    const std::vector<Example> examples = {
        {"a later revision", list(1, 12, {}), list(1, 11, {"a"}), true},
        {"the same revision", list(1, 12, {"a"}), list(1, 12, {}), false},
        {"an earlier revision of a later era", list(2, 3, {}), list(1, 12, {"a"}), true},
        {"a later revision of an earlier era", list(1, 12, {"a"}), list(2, 3, {}), false},
        {"an empty list against none", list(0, 4, {}), {}, true},
    };
    for (const Example &example : examples) {
        INFO(example.name);
        CHECK(example.left.isNewerThan(example.right) == example.isNewer);
        EvacuatedZones zones;
        CHECK(zones.update(example.right) == example.right.isKnown());
        CHECK(zones.update(example.left) == example.isNewer);
        CHECK(zones.evacuations() == (example.isNewer ? example.left : example.right));
    }
}

TEST_CASE("a zone's servers are evacuated unless no server of any zone would be left")
{
    struct Example
    {
        std::string name;
        Evacuations evacuations;
        Zones occupied;
        UpstreamServer server;
        bool isEvacuated;
    };
    const std::vector<Example> examples = {
        {"a zone of the list", list(1, 5, {"a"}), {"a", "b"}, serverIn("a"), true},
        {"another zone", list(1, 5, {"a"}), {"a", "b"}, serverIn("b"), false},
        {"before any server is known", list(1, 5, {"a"}), {}, serverIn("a"), true},
        {"two of three zones", list(1, 5, {"a", "b"}), {"a", "b", "c"}, serverIn("b"), true},
        {"all zones", list(1, 5, {"a", "b"}), {"a", "b"}, serverIn("a"), false},
        {"all zones that have servers", list(1, 5, {"a"}), {"a"}, serverIn("a"), false},
        {"all zones that this host knows, but the leader knows more",
         list(1, 5, {"a"}),
         {"a"},
         serverIn("a", true),
         true},
        {"a zone that a leader's old view still marks", list(1, 6, {}), {"a", "b"}, serverIn("a", true), false},
        {"a leader's mark while this host knows no list", {}, {"a", "b"}, serverIn("a", true), true},
        {"an unknown zone beside a known one", list(1, 5, {"a", "x"}), {"a", "b"}, serverIn("a"), true},
    };
    for (const Example &example : examples) {
        INFO(example.name);
        EvacuatedZones zones;
        zones.setOccupied(example.occupied);
        zones.update(example.evacuations);
        CHECK(zones.isEvacuated(example.server) == example.isEvacuated);
        std::vector<UpstreamServer> servers{example.server};
        CHECK(zones.markIn(servers) == (example.server.evacuated != example.isEvacuated));
        CHECK(servers.front().evacuated == example.isEvacuated);
    }
}

TEST_CASE("each change of an evacuation's state is reported once")
{
    EvacuatedZones zones;
    using Reports = std::vector<EvacuationReport>;
    zones.setOccupied({"a", "b"});
    CHECK(zones.takeReports().empty());
    zones.update({1, 5, {"a", "x"}});
    CHECK(zones.takeReports() == Reports{{"a", State::InForce, 5}, {"x", State::UnknownZone, 5}});
    CHECK(zones.takeReports().empty());
    zones.update({1, 6, {"a", "b", "x"}});
    CHECK(zones.takeReports() == Reports{{"a", State::LeavesNoServer, 6}, {"b", State::LeavesNoServer, 6}});
    CHECK(zones.setOccupied({"a", "b", "x", "c"})); // servers come to two more zones
    CHECK(zones.takeReports() == Reports{{"a", State::InForce, 6}, {"b", State::InForce, 6}, {"x", State::InForce, 6}});
    zones.update({2, 2, {"b", "x"}});
    CHECK(zones.takeReports() == Reports{{"a", State::Ended, 2}});
    CHECK(evacuationLogText({"a b", State::UnknownZone, 7}, "leader")
          == "servers: event=evacuation zone=a%20b state=unknown_zone revision=7 by=leader");
}

} // namespace snipevalve
