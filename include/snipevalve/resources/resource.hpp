#ifndef SNIPEVALVE_RESOURCES_RESOURCE_HPP
#define SNIPEVALVE_RESOURCES_RESOURCE_HPP

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/core/findings.hpp"
#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief How the server for a request is chosen.
enum class ServiceMode {
    Keyed, ///< each key is owned by exactly one server, which answers all its requests
    Pool, ///< any eligible server may answer
};

/// @brief A service that callers reach through the router.
struct Service
{
    std::string name;
    std::string team = "default";
    ServiceMode mode = ServiceMode::Pool;
    std::uint32_t groups = 1; ///< number of placement groups of a keyed service
    std::uint32_t slots = 1024; ///< number of slots in each placement group
    bool checksTokens = true; ///< whether its servers reject orders with a lower fencing token
};

/// @brief One server of a service.
struct Server
{
    std::string name;
    std::string team = "default";
    std::string service;
    std::uint32_t group = 0;
    Endpoint endpoint;
    std::string zone; ///< availability zone
    std::uint32_t concurrency = 1; ///< maximum number of requests that it runs at the same time
    bool draining = false; ///< gets no new work
};

/// @brief Maps the requests under a path prefix to a service.
struct Route
{
    std::string name;
    std::string team = "default";
    std::string pathPrefix;
    std::string service;
    std::string keyHeader; ///< the header that holds the key; if empty, the key is the path segment after the prefix
    bool postIsIdempotent = false; ///< whether a POST can safely be run more than once
    Milliseconds deadline{5000}; ///< for requests that don't set one
    std::uint64_t maxBodyBytes = 64ULL << 20;
};

using Resource = std::variant<Service, Server, Route>;

/// @brief The kind of a resource in lower case, e.g. `service`.
std::string_view kindOf(const Resource &resource);

const std::string &nameOf(const Resource &resource);
const std::string &teamOf(const Resource &resource);

/// @brief Kind and name of a resource, e.g. `server/kalender-01`: the name of its item and the suffix of its store key.
std::string pathOf(const Resource &resource);

/// @brief Parses a resource document (JSON) and validates each field.
/// @return the resource, or InvalidArgument with all findings and their locations
absl::StatusOr<Resource> parseResource(std::string_view document);

/// @brief Serializes a resource to a JSON document that parseResource() accepts.
std::string toJson(const Resource &resource);

/// @brief Validates a set of resources against each other: references to unknown services, groups out of range, and
/// path prefixes or endpoints that are used twice.
Findings checkReferences(const std::vector<Resource> &resources);

} // namespace snipevalve

#endif // SNIPEVALVE_RESOURCES_RESOURCE_HPP
