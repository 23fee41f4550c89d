#include <functional>

#include <catch2/catch.hpp>

#include "snipevalve/gateway/config_check.hpp"

namespace snipevalve {

namespace {

using Change = std::function<void(ConfigDraft &)>;
using Places = std::vector<std::string>;

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

/// Sets a field of the first route.
template <typename Value>
Change route(Value GatewayRoute::*field, Value value)
{
    return [field, value](ConfigDraft &draft) {
        draft.routes[0].route.*field = value;
    };
}

Change prefix(const std::string &text)
{
    return route(&GatewayRoute::pathPrefix, text);
}

template <typename Value>
Change service(Value GatewayService::*field, Value value)
{
    return [field, value](ConfigDraft &draft) {
        draft.services[0].service.*field = value;
    };
}

template <typename Value>
Change limit(Value CallerLimits::*field, Value value)
{
    return [field, value](ConfigDraft &draft) {
        draft.limits[0].limits.*field = value;
    };
}

Change addService(const std::string &name)
{
    return [name](ConfigDraft &draft) {
        draft.services.push_back({{name}, "x"});
    };
}

Change addRoute(const DraftRoute &added)
{
    return [added](ConfigDraft &draft) {
        draft.routes.push_back(added);
    };
}

Change addLimits()
{
    return [](ConfigDraft &draft) {
        draft.limits.push_back({{}, "x"});
    };
}

Change version(std::uint64_t number)
{
    return [number](ConfigDraft &draft) {
        draft.version = number;
    };
}

struct Example
{
    std::vector<Change> changes;
    Places errors; ///< in order
    Places warnings;
};

struct Difference
{
    std::vector<Change> changes;
    std::string difference; ///< one of the lines; empty for none at all
    bool isError = false;
    bool isWarning = false;
};

Places placesOf(const Findings &findings)
{
    Places places;
    for (const Finding &each : findings.all()) {
        places.push_back(each.place);
    }
    return places;
}

void apply(const std::vector<Change> &changes, ConfigDraft &draft)
{
    for (const Change &each : changes) {
        each(draft);
    }
}

} // namespace

// Guards against a configuration that passes the check although hosts would drop, refuse or never use a part of it.
TEST_CASE("the check names the place of each error and warning")
{
    using Services = std::vector<WeightedService>;
    const DraftRoute unknownService{draftRoute("c", "/c/").route, "at-c", {{"t", "p"}}};
    const Milliseconds timeout(1'500);
    const auto example = GENERATE_COPY(values<Example>({
        {{}, {}, {}},
        {{addRoute(unknownService)}, {"p"}, {}},
        {{addService("s")}, {"x.name"}, {}},
        {{addService("")}, {"x.name"}, {}},
        {{addRoute(draftRoute("a", "/c/"))}, {"at-a.name"}, {}},
        {{route(&GatewayRoute::name, std::string()), addRoute(draftRoute("", "/c/"))}, {}, {}},
        {{addRoute(draftRoute("c", "/a/"))}, {"at-c.prefix"}, {}},
        {{route(&GatewayRoute::host, std::string("i")), addRoute(draftRoute("c", "/a/"))}, {}, {}},
        {{prefix("/a")}, {"at-a.prefix"}, {}},
        {{prefix("a/")}, {"at-a.prefix"}, {}},
        {{prefix("")}, {}, {"at-a.prefix"}},
        {{prefix("/a?b/")}, {}, {"at-a.prefix"}},
        {{prefix("/a b/")}, {}, {"at-a.prefix"}},
        {{prefix("/b/../a/")}, {}, {"at-a.prefix"}},
        {{prefix("/../a/")}, {}, {"at-a.prefix"}},
        {{prefix("/%61/")}, {}, {"at-a.prefix"}},
        {{prefix("/\xc3\xa4/")}, {}, {}},
        {{route(&GatewayRoute::host, std::string())}, {}, {"at-a.host"}},
        {{route(&GatewayRoute::host, std::string("h:80"))}, {}, {"at-a.host"}},
        {{route(&GatewayRoute::services, Services{{"s", 0}, {"s", 0}})}, {"at-a.services"}, {}},
        {{route(&GatewayRoute::services, Services{{"s", 0}, {"s", 1}})}, {}, {}},
        {{route(&GatewayRoute::targetLatency, timeout + Milliseconds(1))}, {}, {"at-a.target_latency"}},
        {{route(&GatewayRoute::targetLatency, timeout)}, {}, {}},
        {{service(&GatewayService::warmupPerSecond, 4.0)}, {}, {"at-s.warmup_per_second"}},
        {{limit(&CallerLimits::idleTimeout, Milliseconds(2'999))}, {}, {"at-limits.idle_timeout"}},
        {{addLimits()}, {"x"}, {}},
        {{prefix("/a"), addService("s"), limit(&CallerLimits::idleTimeout, Milliseconds(1))},
         {"x.name", "at-a.prefix"},
         {"at-limits.idle_timeout"}},
    }));
    ConfigDraft draft = validDraft();
    apply(example.changes, draft);
    const ConfigReport report = checkConfig(draft, nullptr);
    INFO("first route: " << draft.routes[0].route.host << draft.routes[0].route.pathPrefix);
    CHECK(placesOf(report.errors) == example.errors);
    CHECK(placesOf(report.warnings) == example.warnings);
    CHECK(report.differences.empty());
}

// Guards against a change that the comparison leaves out, and against a version that hosts would take for the old one.
TEST_CASE("the check tells what differs from the version in force")
{
    const std::vector<WeightedService> shares{{"s", 1}, {"s", 9}};
    const auto removeLast = [](ConfigDraft &draft) {
        draft.routes.pop_back();
    };
    const auto example = GENERATE_COPY(values<Difference>({
        {{version(7)}, ""},
        {{}, "version: changed: 7 -> 8"},
        {{version(6)}, "version: changed: 7 -> 6", false, true},
        {{version(7), removeLast}, "route h/: removed", true},
        {{addRoute(draftRoute("c", "/c/"))}, "route h/c/: added"},
        {{route(&GatewayRoute::maxAttempts, 3)}, "route h/a/: changed: max_attempts 1 -> 3"},
        {{route(&GatewayRoute::services, shares)}, "route h/a/: changed: services [s:1] -> [s:1 s:9]"},
        {{addService("t")}, "service t: added"},
        {{service(&GatewayService::keyed, true), service(&GatewayService::warmTime, Milliseconds(5))},
         "service s: changed: keyed false -> true, warm_time 0 ms -> 5 ms"},
        {{limit(&CallerLimits::maxBodyBytes, std::uint64_t(9))}, "limits: changed: max_body_bytes 67108864 -> 9"},
    }));
    const ConfigDraft inForce = validDraft();
    ConfigDraft draft = validDraft();
    draft.version = 8;
    apply(example.changes, draft);
    const ConfigReport report = checkConfig(draft, &inForce);
    INFO(example.difference << "\n" << report.differences.toString() << report.errors.toString());
    CHECK(report.differences.empty() == example.difference.empty());
    CHECK(report.differences.toString().find(example.difference) != std::string::npos);
    CHECK(report.errors.empty() != example.isError);
    CHECK(report.warnings.empty() != example.isWarning);
}

} // namespace snipevalve
