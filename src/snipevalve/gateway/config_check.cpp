#include "snipevalve/gateway/config_check.hpp"

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

namespace {

std::string quoted(const std::string &text)
{
    std::string result = "'";
    result += text;
    result += "'";
    return result;
}

std::string toText(std::uint64_t number)
{
    return std::to_string(number);
}

std::string toText(Milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

std::string toText(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

bool hasBlankOrControl(const std::string &text)
{
    constexpr char Delete = 0x7f;
    return std::any_of(text.begin(), text.end(), [](char each) {
        return (each >= 0 && each <= ' ') || each == Delete;
    });
}

/// Checks one draft and collects the errors and warnings of its parts.
class DraftCheck
{
public:
    DraftCheck(const ConfigDraft &draft, ConfigReport &report)
        : m_draft(draft)
        , m_names(draft.names)
        , m_report(report)
    {
    }

    void run()
    {
        m_report.errors = m_draft.findings;
        m_report.warnings = m_draft.unread;
        checkServices();
        for (const DraftRoute &each : m_draft.routes) {
            checkRoute(each);
        }
        checkLimits();
    }

private:
    void error(const std::string &place, const std::string &field, const std::string &message)
    {
        m_report.errors.add(place + "." + field, message);
    }

    void warn(const std::string &place, const std::string &field, const std::string &message)
    {
        m_report.warnings.add(place + "." + field, message);
    }

    void checkServices()
    {
        for (const auto &[service, place] : m_draft.services) {
            if (service.name.empty()) {
                error(place, m_names.name, "is missing; no route can name this service");
            } else if (const auto [first, isNew] = m_services.try_emplace(service.name, place); !isNew) {
                error(place, m_names.name,
                      quoted(service.name) + " is also the service of " + first->second + "; the last one is used");
            }
            if (service.warmupPerSecond > 0 && service.warmupTime == Milliseconds(0)) {
                warn(place, m_names.warmupPerSecond, "has no effect without " + m_names.warmupTime);
            }
        }
    }

    void checkRoute(const DraftRoute &draft)
    {
        const GatewayRoute &route = draft.route;
        if (!route.name.empty()) {
            const auto [first, isNew] = m_routes.try_emplace(route.name, draft.place);
            if (!isNew) {
                error(draft.place, m_names.name, quoted(route.name) + " is also the route of " + first->second);
            }
        }
        checkMatch(draft);
        checkRouteServices(draft);
        if (route.targetLatency > route.timeout) {
            warn(draft.place, m_names.targetLatency,
                 toText(route.targetLatency) + " is above " + m_names.timeout + ", " + toText(route.timeout));
        }
    }

    /// Whether requests can reach the route, by the rules of GatewayConfig::routeFor() and resolveRequest().
    void checkMatch(const DraftRoute &draft)
    {
        const std::string &host = draft.route.host;
        const std::string &prefix = draft.route.pathPrefix;
        if (host.empty()) {
            warn(draft.place, m_names.host, "is empty or invalid: the route never matches");
        } else if (host.find(':') != std::string::npos || hasBlankOrControl(host)) {
            warn(draft.place, m_names.host,
                 quoted(host)
                     + " equals no request's host, which is compared without its "
                       "port: the route never matches");
        }
        if (prefix.empty()) {
            warn(draft.place, m_names.pathPrefix, "is empty or invalid: the route never matches");
            return;
        }
        if (prefix.front() != '/' || prefix.back() != '/') {
            error(draft.place, m_names.pathPrefix,
                  quoted(prefix)
                      + " must begin and end with a slash: the route never "
                        "matches");
        } else if (prefix.find('?') != std::string::npos || hasBlankOrControl(prefix)
                   || normalizePath(prefix) != prefix) {
            warn(draft.place, m_names.pathPrefix,
                 quoted(prefix)
                     + " begins no normalized path: the route never "
                       "matches");
        }
        if (host.empty()) {
            return;
        }
        const auto [first, isNew] = m_matches.try_emplace({host, prefix}, draft.place);
        if (!isNew) {
            error(draft.place, m_names.pathPrefix,
                  quoted(host + prefix) + " is also the host and prefix of " + first->second
                      + ", which hides this route: it never matches");
        }
    }

    void checkRouteServices(const DraftRoute &draft)
    {
        for (const auto &[service, place] : draft.namedServices) {
            if (!m_services.contains(service)) {
                m_report.errors.add(place, "no service is named " + quoted(service));
            }
        }
        const std::vector<WeightedService> &services = draft.route.services;
        const bool isWeightless = std::all_of(services.begin(), services.end(), [](const WeightedService &each) {
            return each.weight == 0;
        });
        if (isWeightless && !services.empty()) {
            error(draft.place, m_names.services, "all weights are zero");
        }
    }

    void checkLimits()
    {
        for (std::size_t index = 0; index < m_draft.limits.size(); ++index) {
            const auto &[limits, place] = m_draft.limits[index];
            if (index > 0) {
                m_report.errors.add(
                    place, "limits are also in " + m_draft.limits[index - 1].place + "; the last ones are used");
            }
            if (limits.idleTimeout < limits.headerTimeout) {
                warn(place, m_names.idleTimeout,
                     toText(limits.idleTimeout) + " is below " + m_names.headerTimeout + ", "
                         + toText(limits.headerTimeout));
            }
        }
    }

    const ConfigDraft &m_draft;
    const ConfigFieldNames &m_names;
    ConfigReport &m_report;
    std::map<std::string, std::string> m_services; ///< place of the first service of each name
    std::map<std::string, std::string> m_routes; ///< place of the first route of each name
    std::map<std::pair<std::string, std::string>, std::string> m_matches; ///< place of the first route of each match
};

/// Collects the fields in which one part of two versions differs.
class FieldChanges
{
public:
    template <typename Value>
    void compare(const std::string &field, const Value &before, const Value &after)
    {
        if (!(before == after)) {
            m_text += (m_text.empty() ? "" : ", ") + field + " " + show(before) + " -> " + show(after);
        }
    }

    void addTo(Findings &differences, const std::string &place) const
    {
        if (!m_text.empty()) {
            differences.add(place, "changed: " + m_text);
        }
    }

private:
    static std::string show(const std::string &text)
    {
        return quoted(text);
    }

    static std::string show(bool value)
    {
        return value ? "true" : "false";
    }

    static std::string show(const std::vector<WeightedService> &services)
    {
        std::string text;
        for (const WeightedService &each : services) {
            text += (text.empty() ? "" : " ") + each.service + ":" + std::to_string(each.weight);
        }
        return "[" + text + "]";
    }

    template <typename Value>
    static std::string show(Value value)
    {
        return toText(value);
    }

    std::string m_text;
};

std::string kindText(const ConfigFieldNames &names, RequestKind kind)
{
    return names.kindName == nullptr ? std::to_string(static_cast<int>(kind)) : names.kindName(kind);
}

std::string placeOf(const GatewayRoute &route)
{
    return "route " + route.host + route.pathPrefix;
}

void compareRoutes(const ConfigFieldNames &names, const GatewayConfig &before, const GatewayConfig &after,
                   Findings &differences)
{
    before.forEachRoute([&](const GatewayRoute &route) {
        if (after.routeAt({route.host, route.pathPrefix}) == nullptr) {
            differences.add(placeOf(route), "removed");
        }
    });
    after.forEachRoute([&](const GatewayRoute &route) {
        const GatewayRoute *old = before.routeAt({route.host, route.pathPrefix});
        if (old == nullptr) {
            differences.add(placeOf(route), "added");
            return;
        }
        FieldChanges changes;
        changes.compare(names.name, old->name, route.name);
        changes.compare(names.kind, kindText(names, old->kind), kindText(names, route.kind));
        changes.compare(names.timeout, old->timeout, route.timeout);
        changes.compare(names.targetLatency, old->targetLatency, route.targetLatency);
        changes.compare(names.priority, static_cast<std::uint64_t>(old->priority),
                        static_cast<std::uint64_t>(route.priority));
        changes.compare(names.maxAttempts, static_cast<std::uint64_t>(old->maxAttempts),
                        static_cast<std::uint64_t>(route.maxAttempts));
        changes.compare(names.services, old->services, route.services);
        changes.addTo(differences, placeOf(route));
    });
}

void compareServices(const ConfigFieldNames &names, const GatewayConfig &before, const GatewayConfig &after,
                     Findings &differences)
{
    for (const auto &[name, service] : before.services) {
        if (!after.services.contains(name)) {
            differences.add("service " + name, "removed");
        }
    }
    for (const auto &[name, service] : after.services) {
        const GatewayService *old = before.service(name);
        if (old == nullptr) {
            differences.add("service " + name, "added");
            continue;
        }
        FieldChanges changes;
        changes.compare(names.healthPath, old->healthPath, service.healthPath);
        changes.compare(names.maxConnections, std::uint64_t(old->maxConnections),
                        std::uint64_t(service.maxConnections));
        changes.compare(names.keyed, old->keyed, service.keyed);
        changes.compare(names.warmTime, old->warmTime, service.warmTime);
        changes.compare(names.warmupTime, old->warmupTime, service.warmupTime);
        changes.compare(names.warmupPerSecond, old->warmupPerSecond, service.warmupPerSecond);
        changes.addTo(differences, "service " + name);
    }
}

void compareLimits(const ConfigFieldNames &names, const CallerLimits &before, const CallerLimits &after,
                   Findings &differences)
{
    FieldChanges changes;
    changes.compare(names.maxHeaderBytes, std::uint64_t(before.maxHeaderBytes), std::uint64_t(after.maxHeaderBytes));
    changes.compare(names.maxBodyBytes, std::uint64_t(before.maxBodyBytes), std::uint64_t(after.maxBodyBytes));
    changes.compare(names.headerTimeout, before.headerTimeout, after.headerTimeout);
    changes.compare(names.idleTimeout, before.idleTimeout, after.idleTimeout);
    changes.addTo(differences, names.limits);
}

void compareVersions(const ConfigDraft &draft, const ConfigDraft &inForce, ConfigReport &report)
{
    const std::string before = toText(inForce.version);
    if (draft.version == inForce.version && !report.differences.empty()) {
        // Hosts recognise a configuration by its version and apply changes on top of it (ConfigChange::base).
        report.errors.add(draft.names.version, before + " is in force with other content");
    } else if (draft.version < inForce.version) {
        report.warnings.add(draft.names.version,
                            toText(draft.version) + " is not higher than the version in force, " + before);
    }
    if (draft.version != inForce.version) {
        report.differences.add(draft.names.version, "changed: " + before + " -> " + toText(draft.version));
    }
}

} // namespace

GatewayConfig configOf(ConfigDraft draft)
{
    GatewayConfig config;
    config.version = draft.version;
    for (DraftRoute &each : draft.routes) {
        const bool hasHostAndPath = !each.route.host.empty() && !each.route.pathPrefix.empty();
        if (hasHostAndPath) {
            config.addRoute(std::move(each.route));
        }
    }
    for (DraftService &each : draft.services) {
        const std::string name = each.service.name;
        config.services[name] = std::move(each.service);
    }
    if (!draft.limits.empty()) {
        config.limits = draft.limits.back().limits;
    }
    return config;
}

ConfigReport checkConfig(const ConfigDraft &draft, const ConfigDraft *inForce)
{
    ConfigReport report;
    DraftCheck(draft, report).run();
    if (inForce != nullptr && !draft.isRefused) {
        const GatewayConfig before = configOf(*inForce);
        const GatewayConfig after = configOf(draft);
        compareRoutes(draft.names, before, after, report.differences);
        compareServices(draft.names, before, after, report.differences);
        compareLimits(draft.names, before.limits, after.limits, report.differences);
        compareVersions(draft, *inForce, report);
    }
    return report;
}

} // namespace snipevalve
