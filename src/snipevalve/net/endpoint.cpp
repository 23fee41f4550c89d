#include "snipevalve/net/endpoint.hpp"

#include <charconv>

namespace snipevalve {

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    const bool isPortValid = !port.empty() && parsed.ec == std::errc() && parsed.ptr == port.data() + port.size();
    ErrorCode error;
    asio::ip::make_address_v4(endpoint.address, error);
    const bool isEndHidden = endpoint.address.find('\0') != std::string::npos; // make_address_v4 reads a C string
    if (!isPortValid || error || isEndHidden || endpoint.port == 0) {
        return std::nullopt;
    }
    return endpoint;
}

Tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {asio::ip::make_address_v4(endpoint.address), endpoint.port};
}

Tcp::acceptor listenOn(asio::any_io_executor executor, const Endpoint &endpoint, bool sharePort)
{
    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    Tcp::acceptor acceptor(std::move(executor));
    acceptor.open(Tcp::v4());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    if (sharePort) {
        acceptor.set_option(ReusePort(true));
    }
    acceptor.bind(toTcp(endpoint));
    acceptor.listen();
    return acceptor;
}

} // namespace snipevalve
