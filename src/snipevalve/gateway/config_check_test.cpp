#include <functional>

#include <catch2/catch.hpp>

#include "snipevalve/gateway/config_check.hpp"

namespace snipevalve {

namespace {

DraftRoute draftRoute(const std::string &name, const std::string &prefix)
{
    DraftRoute draft;
    draft.place = "at-" + name;
    draft.route = {name, "h", prefix, RequestKind::Safe, Milliseconds(1'500), Milliseconds(500), 0, 1, {{"s", 1}}};
    draft.namedServices = {{"s", draft.place + ".services"}};
    return draft;
}

ConfigDraft validDraft()
{
    ConfigDraft draft;
    draft.version = 7;
    draft.routes = {draftRoute("a", "/a/"), draftRoute("b", "/")};
    draft.services = {{{"s", "/health", 100}, "at-s"}};
    draft.limits = {{CallerLimits(), "at-limits"}};
    return draft;
}

struct Example
{
    std::string name;
    std::function<void(ConfigDraft &)> change;
    std::vector<std::string> errors; ///< places, in order
    std::vector<std::string> warnings;
};

struct Difference
{
    std::string name;
    std::function<void(ConfigDraft &)> change;
    std::string difference; ///< one of the lines; empty for none at all
    bool isError;
    bool isWarning;
};

std::vector<std::string> placesOf(const Findings &findings)
{
    std::vector<std::string> places;
    for (const Finding &each : findings.all()) {
        places.push_back(each.place);
    }
    return places;
}

} // namespace

// Guards against a configuration that passes the check although hosts would drop, refuse or never use a part of it.
TEST_CASE("the check names the place of each error and warning")
{
    const auto example = GENERATE(values<Example>({
        {"valid", [](ConfigDraft &) {}, {}, {}},
        {"a finding of the parser",
         [](ConfigDraft &draft) {
             draft.findings.add("x", "y");
         },
         {"x"},
         {}},
        {"a part that is not read",
         [](ConfigDraft &draft) {
             draft.unread.add("x", "y");
         },
         {},
         {"x"}},
        {"an unknown service",
         [](ConfigDraft &draft) {
             draft.routes[1].namedServices = {{"t", "p"}};
         },
         {"p"},
         {}},
        {"a repeated service",
         [](ConfigDraft &draft) {
             draft.services.push_back({{"s"}, "x"});
         },
         {"x.name"},
         {}},
        {"an unnamed service",
         [](ConfigDraft &draft) {
             draft.services.push_back({{}, "x"});
         },
         {"x.name"},
         {}},
        {"a repeated name",
         [](ConfigDraft &draft) {
             draft.routes[1].route.name = "a";
         },
         {"at-b.name"},
         {}},
        {"unnamed routes",
         [](ConfigDraft &draft) {
             draft.routes[0].route.name = draft.routes[1].route.name = "";
         },
         {},
         {}},
        {"a repeated place",
         [](ConfigDraft &draft) {
             draft.routes[1].route.pathPrefix = "/a/";
         },
         {"at-b.prefix"},
         {}},
        {"the same prefix of another host",
         [](ConfigDraft &draft) {
             draft.routes[1].route = {"b", "i", "/a/", {}, Milliseconds(9)};
         },
         {},
         {}},
        {"no slash at the end",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/a";
         },
         {"at-a.prefix"},
         {}},
        {"no slash at the start",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "a/";
         },
         {"at-a.prefix"},
         {}},
        {"no prefix",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "";
         },
         {},
         {"at-a.prefix"}},
        {"a query",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/a?b/";
         },
         {},
         {"at-a.prefix"}},
        {"a blank",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/a b/";
         },
         {},
         {"at-a.prefix"}},
        {"dot segments",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/b/../a/";
         },
         {},
         {"at-a.prefix"}},
        {"dot segments above the root",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/../a/";
         },
         {},
         {"at-a.prefix"}},
        {"an escaped letter",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/%61/";
         },
         {},
         {"at-a.prefix"}},
        {"bytes above ASCII",
         [](ConfigDraft &draft) {
             draft.routes[0].route.pathPrefix = "/\xc3\xa4/";
         },
         {},
         {}},
        {"no host",
         [](ConfigDraft &draft) {
             draft.routes[0].route.host = "";
         },
         {},
         {"at-a.host"}},
        {"a host with a port",
         [](ConfigDraft &draft) {
             draft.routes[0].route.host = "h:80";
         },
         {},
         {"at-a.host"}},
        {"weights of zero",
         [](ConfigDraft &draft) {
             draft.routes[0].route.services = {{"s", 0}, {"s", 0}};
         },
         {"at-a.services"},
         {}},
        {"one weight of zero",
         [](ConfigDraft &draft) {
             draft.routes[0].route.services = {{"s", 0}, {"s", 1}};
         },
         {},
         {}},
        {"a target above the timeout",
         [](ConfigDraft &draft) {
             draft.routes[0].route.targetLatency *= 4;
         },
         {},
         {"at-a.target_latency"}},
        {"a target at the timeout",
         [](ConfigDraft &draft) {
             draft.routes[0].route.targetLatency *= 3;
         },
         {},
         {}},
        {"a pace without a time",
         [](ConfigDraft &draft) {
             draft.services[0].service.warmupPerSecond = 4;
         },
         {},
         {"at-s.warmup_per_second"}},
        {"idle below header",
         [](ConfigDraft &draft) {
             draft.limits[0].limits.idleTimeout = Milliseconds(2'999);
         },
         {},
         {"at-limits.idle_timeout"}},
        {"limits twice",
         [](ConfigDraft &draft) {
             draft.limits.push_back({{}, "x"});
         },
         {"x"},
         {}},
        {"several at once",
         [](ConfigDraft &draft) {
             draft.routes[0].route.targetLatency *= 4;
             draft.routes[1].route.pathPrefix = "/b";
             draft.services.clear();
         },
         {"at-a.services", "at-b.prefix", "at-b.services"},
         {"at-a.target_latency"}},
    }));
    INFO(example.name);
    ConfigDraft draft = validDraft();
    example.change(draft);
    const ConfigReport report = checkConfig(draft, nullptr);
    CHECK(placesOf(report.errors) == example.errors);
    CHECK(placesOf(report.warnings) == example.warnings);
    CHECK(report.differences.empty());
}

// Guards against a change that the comparison leaves out, and against a version that hosts would take for the old one.
TEST_CASE("the check tells what differs from the version in force")
{
    const auto example = GENERATE(values<Difference>({
        {"the same",
         [](ConfigDraft &draft) {
             draft.version = 7;
         },
         "", false, false},
        {"only the version", [](ConfigDraft &) {}, "version: changed: 7 -> 8", false, false},
        {"a lower version",
         [](ConfigDraft &draft) {
             draft.version = 6;
         },
         "version: changed: 7 -> 6", false, true},
        {"the same version with other content",
         [](ConfigDraft &draft) {
             draft.version = 7;
             draft.routes.pop_back();
         },
         "route h/: removed", true, false},
        {"a new route",
         [](ConfigDraft &draft) {
             draft.routes.push_back(draftRoute("c", "/c/"));
         },
         "route h/c/: added", false, false},
        {"a changed route",
         [](ConfigDraft &draft) {
             draft.routes[0].route.maxAttempts = 3;
         },
         "route h/a/: changed: max_attempts 1 -> 3", false, false},
        {"changed weights",
         [](ConfigDraft &draft) {
             draft.routes[0].route.services = {{"s", 1}, {"s", 9}};
         },
         "route h/a/: changed: services [s:1] -> [s:1 s:9]", false, false},
        {"a new service",
         [](ConfigDraft &draft) {
             draft.services.push_back({{"t"}, "x"});
         },
         "service t: added", false, false},
        {"a changed service",
         [](ConfigDraft &draft) {
             draft.services[0].service.keyed = true;
             draft.services[0].service.warmTime = Milliseconds(5);
         },
         "service s: changed: keyed false -> true, warm_time 0 ms -> 5 ms", false, false},
        {"changed limits",
         [](ConfigDraft &draft) {
             draft.limits[0].limits.maxBodyBytes = 9;
         },
         "limits: changed: max_body_bytes 67108864 -> 9", false, false},
    }));
    INFO(example.name);
    const ConfigDraft inForce = validDraft();
    ConfigDraft draft = validDraft();
    draft.version = 8;
    example.change(draft);
    const ConfigReport report = checkConfig(draft, &inForce);
    INFO(report.differences.toString() << report.errors.toString());
    CHECK(report.differences.empty() == example.difference.empty());
    CHECK(report.differences.toString().find(example.difference) != std::string::npos);
    CHECK(report.errors.empty() != example.isError);
    CHECK(report.warnings.empty() != example.isWarning);
}

} // namespace snipevalve
