#include "process/small_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 34;

/// @brief Sends bytes unchanged and reads until the entry responds or closes the connection.
std::unique_ptr<http::response_parser<http::string_body>> exchangeRaw(const Endpoint &endpoint,
                                                                      const std::string &bytes)
{
    asio::io_context context;
    Tcp::socket socket(context);
    socket.connect(toTcp(endpoint));
    ErrorCode error;
    asio::write(socket, asio::buffer(bytes), error);
    beast::flat_buffer buffer;
    auto parser = std::make_unique<http::response_parser<http::string_body>>();
    http::read(socket, buffer, *parser, error);
    return parser;
}

/// @brief Sends bytes unchanged.
/// @return status and outcome of the response; empty if the entry closes the connection without one
std::string statusAndOutcome(const Endpoint &endpoint, const std::string &bytes)
{
    const auto parser = exchangeRaw(endpoint, bytes);
    return parser->is_header_done()
        ? std::to_string(parser->get().result_int()) + " " + std::string(parser->get()["snipevalve-outcome"])
        : std::string();
}

} // namespace

TEST_CASE("invalid input gets a definite status and reaches no server", "[promise-4]")
{
    struct Case
    {
        std::string name;
        std::string bytes;
        std::string expected;
    };
    const std::string host = "Host: x\r\n";
    const std::vector<Case> cases = {
        {"nonsense", "nonsense\r\n\r\n", "400 not-run"},
        {"a bad version", "GET / HTTP/9.9\r\n\r\n", "400 not-run"},
        {"an unknown path", "GET /nowhere/ HTTP/1.1\r\n" + host + "\r\n", "404 not-run"},
        {"no key", "GET /ledger/ HTTP/1.1\r\n" + host + "\r\n", "400 not-run"},
        {"a bad deadline", "GET /ledger/a HTTP/1.1\r\n" + host + "snipevalve-deadline-ms: soon\r\n\r\n", "400 not-run"},
        {"a long header", "GET /ledger/a HTTP/1.1\r\nx: " + std::string(20'000, 'x') + "\r\n\r\n", "431 not-run"},
        {"a long body", "POST /ledger/a HTTP/1.1\r\n" + host + "Content-Length: 99999999999\r\n\r\n", "413 not-run"},
        {"two lengths", "POST /ledger/a HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         "400 not-run"},
        {"a length and chunks",
         "POST /ledger/a HTTP/1.1\r\n" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400 not-run"},
        {"no Host", "GET /ledger/a HTTP/1.1\r\n\r\n", "400 not-run"},
        {"two Hosts", "GET /ledger/a HTTP/1.1\r\n" + host + "Host: y\r\n\r\n", "400 not-run"},
        {"a folded line", "GET /ledger/a HTTP/1.1\r\n" + host + "x: a\r\n b\r\n\r\n", "400 not-run"},
        {"a chunk size of 17 digits",
         "POST /ledger/a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n11111111111111111\r\nx",
         "400 not-run"},
        {"a path that leaves its root", "GET /ledger/../../a HTTP/1.1\r\n" + host + "\r\n", "400 not-run"},
        {"a path that leaves its route", "GET /ledger/../admin HTTP/1.1\r\n" + host + "\r\n", "404 not-run"},
        {"a bad length", "POST /ledger/a HTTP/1.1\r\n" + host + "Content-Length: many\r\n\r\n", "400 not-run"},
    };
    DeploymentOptions options = optionsFor("bad-input", Network);
    options.extraSettings = "[entry]\nidle_timeout_ms = 700\n";
    Deployment deployment(smallDeployment(1), options);
    REQUIRE(deployment.start(StartTimeout));
    const Endpoint entry = deployment.entryOf(deployment.hosts().front());
    for (const Case &input : cases) {
        INFO(input.name);
        CHECK(statusAndOutcome(entry, input.bytes) == input.expected);
    }
    CHECK(statusAndOutcome(entry, "GET /ledger/a HT").empty());
    CHECK(statusAndOutcome(entry, "POST /ledger/a HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nhalf").empty());
    CHECK(statusAndOutcome({deployment.hosts().front().address, 7100}, "garbage on the link port\r\n\r\n").empty());
    CHECK(readRuns(deployment.serverLog()).empty());
    CHECK(statusAndOutcome(entry, "GET /ledger/a HTTP/1.1\r\n" + host + "\r\n") == "200 answered");
}

TEST_CASE("equivalent paths map to the same key", "[promise-1]")
{
    struct Case
    {
        std::string first;
        std::string second;
    };
    const std::vector<Case> cases = {
        {"/ledger/k1", "/ledger/%6b1"}, {"/ledger/k2", "/ledger/./k2"},     {"/ledger/k3", "/ledger/x/../k3"},
        {"/ledger/~k", "/ledger/%7Ek"}, {"/ledger/a%2fb", "/ledger/a%2Fb"}, {"/ledger/k5", "/%6cedger/%6B%35"},
    };
    DeploymentOptions options = optionsFor("equal-paths", Network);
    Deployment deployment(smallDeployment(1), options);
    REQUIRE(deployment.start(StartTimeout));
    const Endpoint entry = deployment.entryOf(deployment.hosts().front());
    const auto serverOf = [&entry](const std::string &path) {
        const auto parser = exchangeRaw(entry, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return std::string(parser->get()["snipevalve-server"]);
    };
    for (const Case &paths : cases) {
        INFO(paths.first << " and " << paths.second);
        const std::string server = serverOf(paths.first);
        CHECK(!server.empty());
        CHECK(serverOf(paths.second) == server);
    }
}

} // namespace snipevalve::standins
