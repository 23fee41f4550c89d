#include "snipevalve/net/endpoint.hpp"

#include <catch2/catch.hpp>

#include "snipevalve/net/upstream_pool.hpp"

namespace snipevalve {

TEST_CASE("an endpoint is made only of an IPv4 address and a port from 1 to 65535")
{
    struct Case
    {
        std::string address;
        std::uint32_t port;
        bool isValid;
    };
    const std::vector<Case> cases = {
        {"10.0.0.9", 80, true},
        {"10.0.0.9", 65'535, true},
        {"10.0.0.9", 0, false},
        {"10.0.0.9", 65'536, false},
        {"10.0.0.9", 65'536 + 80, false},
        {"10.0.0.9", 0xffff'ffff, false},
        {"", 80, false},
        {"10.0.0", 80, false},
        {"10.0.0.256", 80, false},
        {"::1", 80, false},
        {"host", 80, false},
        {std::string("10.0.0.9\0", 9), 80, false},
        {std::string(1'000'000, '1'), 80, false},
    };
    for (const Case &each : cases) {
        INFO(each.address.substr(0, 20) << " " << each.port);
        const auto endpoint = makeEndpoint(each.address, each.port);
        CHECK(endpoint.has_value() == each.isValid);
        CHECK((!endpoint || (endpoint->address == each.address && endpoint->port == each.port)));
    }
}

TEST_CASE("no connection is opened to an endpoint that can't be read")
{
    for (const Endpoint &endpoint : {Endpoint{}, Endpoint{"host", 80}, Endpoint{"10.0.0", 80}, Endpoint{"", 80}}) {
        INFO(toString(endpoint));
        asio::io_context context;
        UpstreamPool pool(context.get_executor(), "127.0.0.1", 1);
        std::exception_ptr failure;
        bool isConnected = true;
        asio::co_spawn(context, pool.connect(endpoint, Milliseconds(100)),
                       [&failure, &isConnected](std::exception_ptr error, auto connection) {
                           failure = error;
                           isConnected = connection != nullptr;
                       });
        context.run();
        CHECK_FALSE(failure);
        CHECK_FALSE(isConnected);
    }
}

} // namespace snipevalve
