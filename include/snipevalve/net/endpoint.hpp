#ifndef SNIPEVALVE_NET_ENDPOINT_HPP
#define SNIPEVALVE_NET_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief An IP address in text form and a TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// @brief Formats the endpoint as `address:port`.
std::string toString(const Endpoint &endpoint);

/// @brief Makes an endpoint of an IPv4 address and a port as another process has sent them.
/// @return empty when there is no such address or the port is not from 1 to 65535
std::optional<Endpoint> makeEndpoint(const std::string &address, std::uint32_t port);

/// @brief Parses `address:port` with an IPv4 address and a non-zero port.
/// @return the endpoint, or empty when the text is not of this form
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// @brief Converts to an Asio endpoint.
/// @param endpoint must have a valid IPv4 address, as parseEndpoint() ensures
Tcp::endpoint toTcp(const Endpoint &endpoint);

/// @brief Opens a listening socket.
/// @param sharePort lets several threads listen on the same port, each with its own socket (SO_REUSEPORT)
/// @throws boost::system::system_error when the address can't be bound
Tcp::acceptor listenOn(asio::any_io_executor executor, const Endpoint &endpoint, bool sharePort = false);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_ENDPOINT_HPP
