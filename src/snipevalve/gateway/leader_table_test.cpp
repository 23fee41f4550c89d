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
    }));
    INFO(example.name);
    const LeaderTable table{12, example.leaders};
    std::vector<std::string> found;
    for (const auto &[service, entry] : staleEntriesOf(table, Self, example.led)) {
        found.push_back(service);
        CHECK(entry == example.leaders.at(service));
    }
    CHECK(found == example.stale);
}

} // namespace snipevalve
