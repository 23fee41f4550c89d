#include <catch2/catch.hpp>

#include <mutex>
#include <set>

#include "process/node_deployment.hpp"
#include "standins/scripted_server.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 205;

/// @brief A request whose end another reader may see at another place.
struct Framing
{
    std::string name;
    std::string fields; ///< the header lines that say where the body ends
    std::string body;
};

std::vector<Framing> ambiguousFramings()
{
    const std::string encoding = "Transfer-Encoding: ";
    const std::string chunked = encoding + "chunked\r\n";
    const std::string length = "Content-Length: ";
    return {
        {"another coding", encoding + "gzip\r\n", ""},
        {"another coding before chunked", encoding + "gzip, chunked\r\n", "0\r\n\r\n"},
        {"another coding after chunked", encoding + "chunked, gzip\r\n", "0\r\n\r\n"},
        {"chunked twice", encoding + "chunked, chunked\r\n", "0\r\n\r\n"},
        {"chunked in two lines", chunked + chunked, "0\r\n\r\n"},
        {"an empty coding", encoding + "\r\n", ""},
        {"an empty coding before chunked", encoding + ",chunked\r\n", "0\r\n\r\n"},
        {"a quoted coding", encoding + "\"chunked\"\r\n", "0\r\n\r\n"},
        {"a coding with a parameter", encoding + "chunked;q=1\r\n", "0\r\n\r\n"},
        {"a longer name", encoding + "chunkedx\r\n", "0\r\n\r\n"},
        {"a shorter name", encoding + "chunke\r\n", ""},
        {"identity", encoding + "identity\r\n", ""},
        {"a vertical tab before chunked", encoding + "\vchunked\r\n", "0\r\n\r\n"},
        {"a coding and a length", chunked + length + "2\r\n", "0\r\n\r\n"},
        {"a length and a coding", length + "2\r\n" + chunked, "0\r\n\r\n"},
        {"another coding and a length", encoding + "gzip\r\n" + length + "0\r\n", ""},
        {"two lengths", length + "0\r\n" + length + "2\r\n", "ok"},
        {"two lengths in a line", length + "0, 2\r\n", "ok"},
        {"a length twice in a line", length + "2, 2\r\n", "ok"},
        {"a length with a sign", length + "+2\r\n", "ok"},
        {"a negative length", length + "-2\r\n", "ok"},
        {"a length with a space", length + "2 2\r\n", "ok"},
        {"a hexadecimal length", length + "0x2\r\n", "ok"},
        {"a length with a fraction", length + "2.0\r\n", "ok"},
        {"an empty length", length + "\r\n", ""},
        {"a length of 2^64", length + "18446744073709551616\r\n", ""},
        {"a length of 20 digits", length + "99999999999999999999\r\n", ""},
        {"a space before the colon of the coding", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"},
        {"a space before the colon of the length", "Content-Length : 2\r\n", "ok"},
        {"a folded coding", "Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"},
        {"a chunk size with a sign", chunked, "+2\r\nok\r\n0\r\n\r\n"},
        {"a negative chunk size", chunked, "-2\r\nok\r\n0\r\n\r\n"},
        {"a chunk size with 0x", chunked, "0x2\r\nok\r\n0\r\n\r\n"},
        {"a chunk size after a space", chunked, " 2\r\nok\r\n0\r\n\r\n"},
        {"an empty chunk size", chunked, "\r\nok\r\n0\r\n\r\n"},
        {"a chunk size over 2^64", chunked, "10000000000000002\r\nok\r\n0\r\n\r\n"},
        {"a chunk line that ends with LF alone", chunked, "2\nok\r\n0\r\n\r\n"},
        {"a chunk line that ends with CR alone", chunked, "2\rok\r\n0\r\n\r\n"},
        {"a chunk without its end of line", chunked, "2\r\nok0\r\n\r\n"},
        {"a chunk that is longer than its size", chunked, "2\r\nokay\r\n0\r\n\r\n"},
        {"a chunk whose data end with LF alone", chunked, "2\r\nok\n0\r\n\r\n"},
        {"a last chunk line that ends with LF alone", chunked, "2\r\nok\r\n0\n\r\n"},
    };
}

/// @brief Sends bytes on a connection of its own and reads until the node closes it.
/// @return the status of the first response; 0 if there was none
unsigned statusOf(const Endpoint &node, const std::string &bytes, std::string &rest)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    ErrorCode error;
    stream.socket().connect(toTcp(node), error);
    asio::write(stream.socket(), asio::buffer(bytes), error);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read(stream.socket(), buffer, parser, error);
    if (error) {
        return 0;
    }
    rest = beast::buffers_to_string(buffer.data());
    constexpr std::size_t ReadBytes = 4 << 10;
    while (!error) {
        std::string part(ReadBytes, '\0');
        part.resize(stream.socket().read_some(asio::buffer(part), error));
        rest += part;
    }
    return parser.get().result_int();
}

} // namespace

// Guards against bytes of one request that are run as another one, which nobody has sent.
TEST_CASE("a request whose end is ambiguous is refused, and nothing after it is read as a request", "[promise-4]")
{
    NodeDeployment deployment("node-framing", Network, 1);
    ScriptedServer server({"127." + std::to_string(Network) + ".3.1", 8080});
    std::mutex mutex;
    std::multiset<std::string> ids;
    server.setScript([&](const std::string &id) {
        const std::lock_guard lock(mutex);
        ids.insert(id);
        ScriptedReply reply;
        reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
        return reply;
    });
    deployment.platform.addServer("scripted", "debits", false, Milliseconds(5), server.endpoint());
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    const Endpoint node{deployment.addressOf(0), NodeCallersPort};
    const auto headOf = [](const std::string &id, const std::string &fields) {
        return "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Request-Deadline: 3000\r\n" + fields + "\r\n";
    };
    const std::string hidden = headOf("hidden", "Content-Length: 0\r\n");
    for (const Framing &each : ambiguousFramings()) {
        for (const bool isFirst : {true, false}) {
            INFO(each.name << (isFirst ? "" : ", after a sound request"));
            const std::string before = isFirst ? "" : headOf("sound", "Content-Length: 0\r\n");
            std::string rest;
            const unsigned status =
                statusOf(node, before + headOf("ambiguous", each.fields) + each.body + hidden, rest);
            const unsigned refused = isFirst || rest.size() < 12 ? status : std::stoul(rest.substr(9, 3));
            CHECK((refused == 400 || refused == 413 || refused == 501));
            const std::lock_guard lock(mutex);
            CHECK(ids.count("ambiguous") == 0);
            CHECK(ids.count("hidden") == 0);
            CHECK(ids.count("sound") == (isFirst ? 0 : 1));
            ids.clear();
        }
    }
    CHECK(deployment.sendRequest(0, "POST", "/p/x").status == 200);
}

} // namespace snipevalve::standins
