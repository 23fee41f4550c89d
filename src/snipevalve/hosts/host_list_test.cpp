#include <set>

#include <catch2/catch.hpp>

#include "snipevalve/hosts/host_list.hpp"

namespace snipevalve {

namespace {

HostList makeHosts(std::size_t count, std::size_t zones)
{
    HostList list;
    for (std::size_t index = 0; index < count; ++index) {
        const std::string number = std::to_string(index);
        list.push_back({"host-" + number, "127.0.0." + number, "zone-" + std::to_string(index % zones), false});
    }
    return list;
}

} // namespace

TEST_CASE("removing a host keeps the relative order of the others")
{
    const HostList before = rankHosts(makeHosts(12, 4), "kalender/0");
    HostList rest = makeHosts(12, 4);
    std::erase(rest, before[5]);
    HostList expected = before;
    std::erase(expected, before[5]);
    CHECK(rankHosts(rest, "kalender/0") == expected);
}

TEST_CASE("relays are in different availability zones")
{
    for (const std::size_t count : {1U, 2U, 4U}) {
        std::set<std::string> zones;
        for (const Host &relay : chooseRelays(makeHosts(12, 4), count)) {
            zones.insert(relay.zone);
        }
        CHECK(zones.size() == count);
    }
    CHECK(chooseRelays(makeHosts(1, 1), 3).size() == 1);
}

TEST_CASE("leaving hosts come last, and invalid lists are refused")
{
    HostList list = makeHosts(3, 1);
    list[0].leaving = true;
    CHECK(rankHosts(list, "x").back().name == "host-0");
    CHECK_FALSE(parseHostList("nonsense"));
    CHECK_FALSE(parseHostList(R"({"hosts":[{"name":1}]})"));
    const auto parsed = parseHostList(R"({"hosts":[{"name":"a","address":"127.0.0.1","state":"leaving"}]})");
    REQUIRE(parsed);
    CHECK(parsed->front().leaving);
}

} // namespace snipevalve
