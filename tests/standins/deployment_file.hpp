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
    bool keyed = false;
    std::uint32_t servers = 1;
    std::uint32_t serviceUs = 2000;
    std::uint32_t slots = 1024;
    bool checksTokens = true;
    std::uint32_t coldStartMs = 0;
};

/// @brief One kind of request of the mix.
struct MixPart
{
    std::string service;
    std::string method = "GET";
    std::uint32_t weight = 1;
    std::uint32_t keys = 1000;
    std::uint64_t bodyBytes = 0;
    std::uint64_t answerBytes = 0;
};

/// @brief A whole deployment: hosts, services, servers and the mix of requests.
struct DeploymentFile
{
    std::string name;
    std::vector<std::string> zones;
    std::uint32_t hosts = 12;
    std::uint32_t concurrency = 2;
    std::vector<DeploymentService> services;
    std::vector<MixPart> mix;
};

/// @throws std::runtime_error when the file can't be read
DeploymentFile readDeployment(const std::string &path);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_DEPLOYMENT_FILE_HPP
