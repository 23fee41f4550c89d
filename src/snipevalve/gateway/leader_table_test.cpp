#include <catch2/catch.hpp>

#include "snipevalve/gateway/leader_table.hpp"

namespace snipevalve {

namespace {

const Endpoint Self{"127.0.0.1", 10};
const Endpoint Other{"127.0.0.2", 10};

} // namespace

TEST_CASE("a host that has restarted finds the entries that still name it as leader")
{
    struct Example
    {
        std::string name;
        std::map<std::string, ServiceLeaderEntry> leaders;
        std::set<std::string> led;
        std::vector<std::string> stale;
    };
    const auto example = GENERATE(values<Example>({
        {"entries of an earlier run of this process", {{"a", {Self, 3}}, {"b", {Self, 9}}}, {}, {"a", "b"}},
        {"services that this host leads", {{"a", {Self, 3}}, {"b", {Self, 9}}}, {"a", "b"}, {}},
        {"services of other hosts", {{"a", {Other, 3}}, {"b", {Other, 9}}}, {}, {}},
        {"a mix of all", {{"a", {Self, 3}}, {"b", {Other, 9}}, {"c", {Self, 4}}}, {"c"}, {"a"}},
        {"a leader of an earlier era of the store, which has no entry", {{"a", {Self, 0}}}, {}, {}},
    }));
    INFO(example.name);
    const LeaderTable table{1, 12, example.leaders};
    std::vector<std::string> found;
    for (const auto &[service, entry] : staleEntriesOf(table, Self, example.led)) {
        found.push_back(service);
        CHECK(entry == example.leaders.at(service));
    }
    CHECK(found == example.stale);
}

TEST_CASE("leader tables are ordered by the era of the store first, since revisions are given out again")
{
    struct Example
    {
        std::string name;
        LeaderTable left;
        LeaderTable right;
        bool isNewer; ///< the left one
    };
    const auto example = GENERATE(values<Example>({
        {"a later revision", {1, 12, {}}, {1, 11, {}}, true},
        {"the same revision", {1, 12, {}}, {1, 12, {}}, false},
        {"an earlier revision of a later era", {2, 3, {}}, {1, 12, {}}, true},
        {"a later revision of an earlier era", {1, 12, {}}, {2, 3, {}}, false},
    }));
    INFO(example.name);
    CHECK(example.left.isNewerThan(example.right) == example.isNewer);
}

TEST_CASE("a new era keeps the leaders of the earlier one without their entries")
{
    LeaderTable table{1, 12, {{"a", {Other, 3}}}};
    table.beginEra(2);
    CHECK(table.isNewerThan({1, 900, {}}));
    CHECK(table.leaders.at("a") == ServiceLeaderEntry{Other, 0});
}

TEST_CASE("keys in the store name the era")
{
    CHECK(eraKey("p/leader/", 7, "a/b") == "p/leader/7/a/b");
    struct Example
    {
        std::string key;
        bool isValid;
        std::uint64_t era;
        std::string service;
    };
    const auto example = GENERATE(values<Example>({
        {"p/leader/7/a", true, 7, "a"},
        {"p/leader/0/a/b", true, 0, "a/b"},
        {"p/leader/a", false, 0, ""},
        {"p/leader/7", false, 0, ""},
        {"p/leader/", false, 0, ""},
        {"p", false, 0, ""},
        {"p/leader/-1/a", false, 0, ""},
        {"p/leader/99999999999999999999/a", false, 0, ""},
    }));
    INFO(example.key);
    const auto parsed = parseEraKey("p/leader/", example.key);
    REQUIRE(parsed.has_value() == example.isValid);
    if (parsed) {
        CHECK(parsed->era == example.era);
        CHECK(parsed->service == example.service);
    }
}

} // namespace snipevalve
