#include <catch2/catch.hpp>

#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/gateway/server_directory.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

UpstreamServer server(const std::string &id, std::int64_t incarnation = 1)
{
    UpstreamServer entry;
    entry.id = id;
    entry.service = "ledger";
    entry.incarnation = incarnation;
    return entry;
}

} // namespace

TEST_CASE("entries that expired in an outage are dropped only if they do not reappear within the grace time")
{
    struct Case
    {
        std::string name;
        bool afterOutage;
        Milliseconds later;
        bool comesBack;
        std::size_t left;
    };
    const std::vector<Case> cases = {
        {"removed on a day without an outage", false, Milliseconds(0), false, 0},
        {"expired in an outage, within the grace time", true, Milliseconds(2'000), false, 1},
        {"expired in an outage, after the grace time", true, Milliseconds(2'300), false, 0},
        {"reappeared within the grace time", true, Milliseconds(2'300), true, 1},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        ServerDirectory directory;
        directory.onEntry("a", server("a"));
        if (each.afterOutage) {
            directory.onStoreRecovered(Start);
        }
        directory.onListed({}, Start + Milliseconds(1));
        if (each.comesBack) {
            directory.onEntry("a", server("a"));
        }
        directory.advance(Start + each.later);
        CHECK(directory.serversOf("ledger").size() == each.left);
    }
}

TEST_CASE("an entry that can't be read removes its server, and an older incarnation is ignored")
{
    ServerDirectory directory;
    directory.onEntry("a", server("a", 5));
    directory.onEntry("a", server("a", 4));
    CHECK(directory.serversOf("ledger").front().incarnation == 5);
    directory.onEntry("a", std::nullopt);
    CHECK(directory.size() == 0);
}

TEST_CASE("a shorter warm-up time alone does not count as a change")
{
    ServerDirectory directory;
    directory.onEntry("a", server("a"));
    CHECK(directory.advance(Start));
    UpstreamServer warmer = server("a");
    warmer.warmupLeft = Milliseconds(500);
    directory.onEntry("a", warmer);
    CHECK_FALSE(directory.advance(Start));
    UpstreamServer leaving = server("a");
    leaving.draining = true;
    directory.onEntry("a", leaving);
    CHECK(directory.advance(Start));
}

TEST_CASE("the longest matching prefix among the host's routes is selected")
{
    GatewayConfig config;
    for (const std::string prefix : {"/a/", "/a/b/", "/"}) {
        GatewayRoute route;
        route.name = prefix;
        route.host = "x.example";
        route.pathPrefix = prefix;
        config.addRoute(route);
    }
    struct Case
    {
        std::string host;
        std::string path;
        std::string route; ///< empty: none
    };
    const std::vector<Case> cases = {
        {"x.example", "/a/b/c", "/a/b/"},
        {"x.example", "/a/bc", "/a/"},
        {"x.example", "/z", "/"},
        {"y.example", "/a/", ""},
    };
    for (const Case &each : cases) {
        INFO(each.host << each.path);
        const GatewayRoute *route = config.routeFor(each.host, each.path);
        CHECK((route == nullptr ? "" : route->name) == each.route);
    }
}

} // namespace snipevalve
