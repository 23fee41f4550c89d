#ifndef SNIPEVALVE_STANDINS_NODE_SETTINGS_FILE_HPP
#define SNIPEVALVE_STANDINS_NODE_SETTINGS_FILE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::standins {

constexpr std::uint16_t NodeReadinessPort = 8640;
constexpr std::uint16_t NodeCallersPort = 8641;
constexpr std::uint16_t NodeControlPort = 8649;

/// @brief What a node's settings file says of its machine.
struct NodeLimits
{
    int memoryMb = 260;
    int descriptors = 1000;
};

/// @brief Writes a node's settings file with the content that the platform would provide.
/// @param controlProxy the address at which the other nodes reach this one, if it is that of a proxy
void writeNodeSettings(const std::string &path, const std::string &node, const std::string &address,
                       const Endpoint &store, const std::optional<Endpoint> &controlProxy = std::nullopt,
                       const NodeLimits &limits = {});

/// @brief Returns a small operators' configuration: the keyed service `ledger` at /k/ and the pool `debits` at /p/.
/// @param version number of the configuration's version, which is written as `rN`
/// @param routes number of further routes to `debits`, at /v1/ to /vN/
std::string smallConfig(std::uint64_t version, std::uint64_t routes = 0);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_NODE_SETTINGS_FILE_HPP
