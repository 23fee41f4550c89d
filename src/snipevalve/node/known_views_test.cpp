#include <catch2/catch.hpp>

#include "snipevalve/node/known_views.hpp"

namespace snipevalve {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

ServiceView viewOf(const std::string &service, unsigned slots)
{
    UpstreamServer server;
    server.id = "a";
    server.service = service;
    server.slots = slots;
    return {service, false, {server}, {}};
}

} // namespace

TEST_CASE("a host that has restarted asks for the views that it lacks while the store is away")
{
    KnownViews views;
    const std::vector<std::string> services{"ledger", "orders"};
    CHECK(views.missing(services, Start).empty()); // with the store in reach, it reads them itself
    CHECK(views.missing(services, Start + Milliseconds(300)).empty());
    CHECK(views.missing(services, Start + Milliseconds(400)) == services);
    CHECK(views.missing(services, Start + Milliseconds(450)).empty()); // the replies are under way
    views.set(viewOf("ledger", 2), Start + Milliseconds(500));
    CHECK(views.missing(services, Start + Milliseconds(700)) == std::vector<std::string>{"orders"});
    views.set(viewOf("orders", 2), Start + Milliseconds(800));
    CHECK(views.missing(services, Start + Milliseconds(2'000)).empty());
}

TEST_CASE("of two views the one that was confirmed last is used")
{
    struct Example
    {
        std::string name;
        Milliseconds ownAge;
        Milliseconds receivedAge;
        bool isTaken;
    };
    const auto example = GENERATE(values<Example>({
        {"a younger view", Milliseconds(5'000), Milliseconds(800), true},
        {"an older view", Milliseconds(800), Milliseconds(5'000), false},
        {"a view of the same age", Milliseconds(800), Milliseconds(800), false},
    }));
    INFO(example.name);
    KnownViews views;
    views.set(viewOf("ledger", 1), Start - example.ownAge);
    CHECK(views.adopt({viewOf("ledger", 2), example.receivedAge}, Start) == example.isTaken);
    CHECK(views.find("ledger")->servers.front().slots == (example.isTaken ? 2U : 1U));
}

TEST_CASE("a view keeps its age on its way through several hosts, and an old one is not passed on")
{
    KnownViews first;
    first.set(viewOf("ledger", 1), Start);
    first.confirm("ledger", Start + Milliseconds(1'000));
    KnownViews second;
    REQUIRE(second.adopt(first.offer({"ledger", "unknown"}, Start + Milliseconds(3'000)).at(0),
                         Start + Milliseconds(3'000)));
    CHECK(second.offer({"ledger"}, Start + Milliseconds(4'000)).at(0).age == Milliseconds(3'000));
    CHECK(second.offer({"ledger"}, Start + Milliseconds(31'001)).empty());
}

} // namespace snipevalve
