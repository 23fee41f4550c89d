#ifndef SNIPEVALVE_STANDINS_DEPLOYMENT_FILE_HPP
#define SNIPEVALVE_STANDINS_DEPLOYMENT_FILE_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace snipevalve::standins {

/// @brief A service of a deployment and its servers.
struct DeploymentService
{
    std::string name;
    bool keyed = false; ///< each key has one owner; otherwise any server takes any request
    std::uint32_t servers = 1; ///< number of its servers, spread evenly over the zones
    std::uint32_t serviceUs = 2000; ///< time that a server takes for one request
    std::uint32_t slots = 1024;
    bool checksTokens = true; ///< its servers refuse outdated fencing tokens
    std::uint32_t coldStartMs = 0; ///< how long a server is slower after its start
};

/// @brief One kind of request in the generated load.
struct MixPart
{
    std::string service;
    std::string method = "GET";
    std::uint32_t weight = 1; ///< share of the requests, relative to the other kinds
    std::uint32_t keys = 1000; ///< number of distinct keys
    std::uint64_t bodyBytes = 0;
    std::uint64_t answerBytes = 0; ///< size of the filling in the answer to a GET
};

/// @brief Describes a whole deployment and the mix of requests to send to it, as read from a TOML file.
struct DeploymentFile
{
    std::string name;
    std::vector<std::string> zones;
    std::uint32_t hosts = 12; ///< number of entry hosts
    std::uint32_t concurrency = 2; ///< requests that each server runs at once
    std::vector<DeploymentService> services;
    std::vector<MixPart> mix;
};

/// @brief Reads a deployment from a TOML file.
/// @throws std::runtime_error when the file can't be read or lists no zones or no services
DeploymentFile readDeployment(const std::string &path);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_DEPLOYMENT_FILE_HPP
