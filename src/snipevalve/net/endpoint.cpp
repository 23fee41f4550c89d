#include "snipevalve/net/endpoint.hpp"

#include <charconv>

namespace snipevalve {

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

std::optional<Endpoint> makeEndpoint(const std::string &address, std::uint32_t port)
{
    constexpr std::uint32_t MaxPort = 65'535;
    ErrorCode error;
    asio::ip::make_address_v4(address, error);
    const bool isEndHidden = address.find('\0') != std::string::npos; // make_address_v4 reads a C string
    if (error || isEndHidden || port == 0 || port > MaxPort) {
        return std::nullopt;
    }
    return Endpoint{address, static_cast<std::uint16_t>(port)};
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint32_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == portText.data() + portText.size();
    return isNumber ? makeEndpoint(std::string(text.substr(0, colon)), port) : std::nullopt;
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
