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

enum class ServiceMode {
    Keyed, ///< each key has one owning server
    Pool, ///< any fit server may answer
};

/// @brief A service that callers reach through the router.
struct Service
{
    std::string name;
    std::string team = "default";
    ServiceMode mode = ServiceMode::Pool;
    std::uint32_t groups = 1; ///< placement groups of a keyed service
    std::uint32_t slots = 1024; ///< slots of one placement group
    bool checksTokens = true; ///< whether its servers refuse orders with a lower fencing token
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
    std::uint32_t concurrency = 1; ///< requests that it runs at once
    bool draining = false; ///< takes no new work
};

/// @brief Which requests go to which service.
struct Route
{
    std::string name;
    std::string team = "default";
    std::string pathPrefix;
    std::string service;
    std::string keyHeader; ///< the header that holds the key; empty: the path segment after the prefix
    bool postIsIdempotent = false; ///< whether a POST may run twice without harm
    Milliseconds deadline{5000}; ///< for requests that name none
    std::uint64_t maxBodyBytes = 64ULL << 20;
};

using Resource = std::variant<Service, Server, Route>;

/// @brief The name of a resource and its kind in lower case, e.g. `service`.
std::string_view kindOf(const Resource &resource);
const std::string &nameOf(const Resource &resource);
const std::string &teamOf(const Resource &resource);

/// @brief The item name and the end of the store key of a resource, e.g. `server/kalender-01`.
std::string pathOf(const Resource &resource);

/// @brief Reads a resource document (JSON) and checks each field.
/// @return the resource, or InvalidArgument with every finding and its place
absl::StatusOr<Resource> parseResource(std::string_view document);

/// @brief Writes a resource as a JSON document that parseResource() reads back.
std::string toJson(const Resource &resource);

/// @brief Checks a set of resources against each other: references, doubled prefixes, groups out of range.
Findings checkReferences(const std::vector<Resource> &resources);

} // namespace snipevalve

#endif // SNIPEVALVE_RESOURCES_RESOURCE_HPP
