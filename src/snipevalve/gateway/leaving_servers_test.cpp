#include <catch2/catch.hpp>

#include "snipevalve/gateway/leaving_servers.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

UpstreamServer server(const std::string &id, std::int64_t incarnation, bool draining = false)
{
    UpstreamServer entry;
    entry.id = id;
    entry.service = "ledger";
    entry.incarnation = incarnation;
    entry.draining = draining;
    return entry;
}

LeavingServer leaving(const std::string &id, std::int64_t incarnation, LeavingSource source = LeavingSource::Answer,
                      TimePoint since = Start)
{
    return {"ledger", {id, incarnation}, source, since};
}

} // namespace

TEST_CASE("a server that said that it leaves gets requests again only in a later incarnation", "[promise-6]")
{
    struct Case
    {
        std::string name;
        std::vector<LeavingServer> told;
        UpstreamServer listed;
        bool isDraining;
    };
    const std::vector<Case> cases = {
        {"nothing told", {}, server("a", 1), false},
        {"told by an answer, listed as ready", {leaving("a", 1)}, server("a", 1), true},
        {"told by the list, listed as ready by an older copy",
         {leaving("a", 1, LeavingSource::List)},
         server("a", 1),
         true},
        {"told by nothing but the list", {}, server("a", 1, true), true},
        {"another server told", {leaving("b", 1)}, server("a", 1), false},
        {"back with a later start", {leaving("a", 1)}, server("a", 2), false},
        {"the entry of an earlier life", {leaving("a", 2)}, server("a", 1), true},
        {"both lives told", {leaving("a", 1), leaving("a", 2)}, server("a", 2), true},
        {"a late answer of the earlier life", {leaving("a", 2), leaving("a", 1)}, server("a", 2), true},
        {"a late answer of the earlier life alone", {leaving("a", 1)}, server("a", 2), false},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LeavingServers known;
        for (const LeavingServer &told : each.told) {
            known.add(told);
        }
        std::vector<UpstreamServer> servers{each.listed};
        CHECK(known.markIn(servers) == (each.isDraining && !each.listed.draining));
        CHECK(servers.front().draining == each.isDraining);
    }
}

TEST_CASE("what tells first that a server leaves is kept, with its time")
{
    LeavingServers known;
    CHECK(known.add(leaving("a", 1, LeavingSource::Answer, Start)));
    CHECK_FALSE(known.add(leaving("a", 1, LeavingSource::List, Start + Milliseconds(500))));
    REQUIRE(known.find({"a", 1}) != nullptr);
    CHECK(known.find({"a", 1})->source == LeavingSource::Answer);
    CHECK(known.find({"a", 1})->since == Start);
    CHECK(known.serversOf("ledger").size() == 1);
    CHECK(known.serversOf("debits").empty());
}

TEST_CASE("the number of servers that are known to leave is bounded, and the oldest record goes first")
{
    LeavingServers known;
    for (std::size_t at = 0; at <= LeavingServers::MaxRecords; ++at) {
        known.add(leaving("s" + std::to_string(at), 1, LeavingSource::Answer, Start + Milliseconds(at)));
    }
    CHECK(known.size() == LeavingServers::MaxRecords);
    CHECK(known.find({"s0", 1}) == nullptr);
    CHECK(known.find({"s1", 1}) != nullptr);
}

} // namespace snipevalve
