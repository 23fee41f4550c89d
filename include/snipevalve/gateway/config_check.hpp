#ifndef SNIPEVALVE_GATEWAY_CONFIG_CHECK_HPP
#define SNIPEVALVE_GATEWAY_CONFIG_CHECK_HPP

#include <string>
#include <vector>

#include "snipevalve/core/findings.hpp"
#include "snipevalve/gateway/gateway_config.hpp"

namespace snipevalve {

/// @brief The names that the operators' format gives to fields and kinds, for places and messages.
struct ConfigFieldNames
{
    std::string version = "version";
    std::string name = "name";
    std::string host = "host";
    std::string pathPrefix = "prefix";
    std::string kind = "kind";
    std::string timeout = "timeout";
    std::string targetLatency = "target_latency";
    std::string priority = "priority";
    std::string maxAttempts = "max_attempts";
    std::string services = "services";
    std::string healthPath = "health_path";
    std::string maxConnections = "max_connections";
    std::string keyed = "keyed";
    std::string warmTime = "warm_time";
    std::string warmupTime = "warmup_time";
    std::string warmupPerSecond = "warmup_per_second";
    std::string limits = "limits";
    std::string maxHeaderBytes = "max_header_bytes";
    std::string maxBodyBytes = "max_body_bytes";
    std::string headerTimeout = "header_timeout";
    std::string idleTimeout = "idle_timeout";
    std::string (*kindName)(RequestKind) = nullptr; ///< null: the kind's number
};

/// @brief A service that a route names, and where it does so.
struct NamedService
{
    std::string service;
    std::string place;
};

struct DraftRoute
{
    GatewayRoute route;
    std::string place;
    std::vector<NamedService> namedServices; ///< also of routes whose services are left out as incomplete
};

struct DraftService
{
    GatewayService service;
    std::string place;
};

struct DraftLimits
{
    CallerLimits limits;
    std::string place;
};

/// @brief Everything that a configuration's text contains, with places, also what no GatewayConfig would hold.
struct ConfigDraft
{
    std::uint64_t version = 0;
    std::vector<DraftRoute> routes;
    std::vector<DraftService> services;
    std::vector<DraftLimits> limits;
    Findings findings; ///< of the parser
    Findings unread; ///< parts that snipevalve does not read
    ConfigFieldNames names;
    bool isRefused = false; ///< it has no valid version or no list of resources, so no host uses any of it
};

/// @brief The configuration that hosts use for a draft: of routes with the same host and prefix the first one, of
/// services with the same name and of limits the last one. A route without a host or path prefix is left out.
GatewayConfig configOf(ConfigDraft draft);

struct ConfigReport
{
    Findings errors;
    Findings warnings; ///< routes that never match and limits that contradict each other
    Findings differences; ///< to the version in force
};

/// @brief Finds all errors of a configuration, and what differs from the version in force.
/// @param inForce null for a check without a comparison
ConfigReport checkConfig(const ConfigDraft &draft, const ConfigDraft *inForce);

} // namespace snipevalve

#endif // SNIPEVALVE_GATEWAY_CONFIG_CHECK_HPP
