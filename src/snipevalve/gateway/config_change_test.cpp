#include <catch2/catch.hpp>

#include <rapidcheck.h>

#include "snipevalve/gateway/config_change.hpp"

namespace snipevalve {

namespace {

GatewayRoute routeAt(const std::string &host, const std::string &prefix, const std::string &service)
{
    GatewayRoute route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.services = {{service, 1}};
    return route;
}

std::shared_ptr<GatewayConfig> randomConfig(std::uint64_t version)
{
    auto config = std::make_shared<GatewayConfig>();
    config->version = version;
    config->services["a"] = {"a", "/health", 100, *rc::gen::arbitrary<bool>(), Milliseconds(0)};
    config->limits.maxHeaderBytes = *rc::gen::inRange(1, 9);
    const int count = *rc::gen::inRange(0, 30);
    for (int at = 0; at < count; ++at) {
        const std::string host = "h" + std::to_string(*rc::gen::inRange(0, 3));
        const std::string prefix = "/p" + std::to_string(*rc::gen::inRange(0, 9)) + "/";
        config->addRoute(routeAt(host, prefix, "s" + std::to_string(*rc::gen::inRange(0, 3))));
    }
    return config;
}

std::vector<GatewayRoute> routesOf(const GatewayConfig &config)
{
    std::vector<GatewayRoute> routes;
    config.forEachRoute([&routes](const GatewayRoute &route) {
        routes.push_back(route);
    });
    return routes;
}

} // namespace

TEST_CASE("applying the change between two versions yields the later one, also from a snapshot")
{
    CHECK(rc::check([]() {
        const auto base = randomConfig(4);
        const auto next = randomConfig(9);
        const auto changed = applyChange(base.get(), changeBetween(base.get(), *next));
        const auto whole = applyChange(nullptr, changeBetween(nullptr, *next));
        for (const auto &result : {changed, whole}) {
            RC_ASSERT(result != nullptr);
            RC_ASSERT(result->version == 9U);
            RC_ASSERT(routesOf(*result) == routesOf(*next));
            RC_ASSERT(result->limits.maxHeaderBytes == next->limits.maxHeaderBytes);
            RC_ASSERT(result->services.at("a").keyed == next->services.at("a").keyed);
        }
    }));
}

TEST_CASE("a change is rejected when it applies to another version")
{
    GatewayConfig base;
    base.version = 4;
    GatewayConfig next;
    next.version = 9;
    const ConfigChange change = changeBetween(&base, next);
    GatewayConfig other;
    other.version = 5;
    CHECK(applyChange(&other, change) == nullptr);
    CHECK(applyChange(nullptr, change) == nullptr);
    CHECK(applyChange(&base, change) != nullptr);
}

TEST_CASE("the route with the longest prefix of the path is selected")
{
    GatewayConfig config;
    config.addRoute(routeAt("h", "/", "root"));
    config.addRoute(routeAt("h", "/a/", "a"));
    config.addRoute(routeAt("h", "/a/b/", "ab"));
    config.addRoute(routeAt("other", "/a/b/c/", "abc"));
    config.addRoute(routeAt("h", "/a/", "second at one place"));
    struct Case
    {
        std::string host;
        std::string path;
        std::string service; ///< empty: no route
    };
    const std::vector<Case> cases = {{"h", "/", "root"},      {"h", "/x", "root"},     {"h", "/a", "root"},
                                     {"h", "/a/", "a"},       {"h", "/a/x/y", "a"},    {"h", "/a/b", "a"},
                                     {"h", "/a/b/", "ab"},    {"h", "/a/b/c/d", "ab"}, {"other", "/a/b/c/", "abc"},
                                     {"other", "/a/b/c", ""}, {"unknown", "/", ""},    {"h", "", ""},
                                     {"h", "//", "root"}};
    for (const Case &each : cases) {
        INFO(each.host << " " << each.path);
        const GatewayRoute *route = config.routeFor(each.host, each.path);
        CHECK((route == nullptr ? "" : route->services.front().service) == each.service);
    }
}

} // namespace snipevalve
