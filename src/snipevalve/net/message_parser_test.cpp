#include "snipevalve/net/message_parser.hpp"

#include <catch2/catch.hpp>

namespace snipevalve {

namespace {

/// @brief A message and what parsing it comes to.
struct Case
{
    std::string name;
    std::string bytes;
    bool isWhole; ///< else it is refused with an error code
    std::string body;
};

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against answers that end the process: http::parser throws on the sizes that they name.
TEST_CASE("a response is parsed or refused with an error code, whatever sizes it names")
{
    const std::string longValue(70'000, 'v');
    const std::vector<Case> cases = {
        {"a length", Head + "Content-Length: 2\r\n\r\nok", true, "ok"},
        {"two equal lengths", Head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", true, "ok"},
        {"two lengths that differ", Head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, ""},
        {"a negative length", Head + "Content-Length: -2\r\n\r\nok", false, ""},
        {"a length of 10^15", Head + "Content-Length: 1000000000000000\r\n\r\nok", false, "ok"},
        {"a length of 2^63 - 1", Head + "Content-Length: 9223372036854775807\r\n\r\nok", false, "ok"},
        {"a length of 2^63", Head + "Content-Length: 9223372036854775808\r\n\r\nok", false, "ok"},
        {"a length of 2^64 - 1", Head + "Content-Length: 18446744073709551615\r\n\r\nok", false, "ok"},
        {"a length of 2^64", Head + "Content-Length: 18446744073709551616\r\n\r\nok", false, ""},
        {"a length of 30 digits", Head + "Content-Length: 100000000000000000000000000000\r\n\r\nok", false, ""},
        {"a chunk", Chunked + "2\r\nok\r\n0\r\n\r\n", true, "ok"},
        {"a chunk size of 16 digits", Chunked + "ffffffffffffffff\r\nok", false, "ok"},
        {"a chunk size of 17 digits", Chunked + "1ffffffffffffffff\r\nok", false, ""},
        {"a trailer", Chunked + "2\r\nok\r\n0\r\nX-Not-Executed: 1\r\n\r\n", true, "ok"},
        {"a trailer of 70 kB", Chunked + "2\r\nok\r\n0\r\nX-A: " + longValue + "\r\n\r\n", true, "ok"},
        {"a trailer's name of 70 kB", Chunked + "2\r\nok\r\n0\r\n" + longValue + ": a\r\n\r\n", true, "ok"},
        {"a field of 70 kB", Head + "X-A: " + longValue + "\r\nContent-Length: 2\r\n\r\nok", false, ""},
        {"a field's name of 70 kB", Head + longValue + ": a\r\nContent-Length: 2\r\n\r\nok", false, ""},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        MessageParser<false, ReceivedBody> parser;
        parser.eager(true);
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        ErrorCode error;
        REQUIRE_NOTHROW(parser.put(asio::buffer(each.bytes), error));
        if (!error && !parser.is_done()) {
            parser.put_eof(error);
        }
        CHECK(!error == each.isWhole);
        CHECK(parser.is_done() == each.isWhole);
        CHECK(parser.get().body() == each.body);
    }
}

// Guards against answers whose meaning a trailer changes.
TEST_CASE("trailers add nothing to the header")
{
    MessageParser<false, ReceivedBody> parser;
    parser.eager(true);
    ErrorCode error;
    parser.put(asio::buffer(Chunked + "2\r\nok\r\n0\r\nX-Not-Executed: 1\r\n\r\n"), error);
    REQUIRE(parser.is_done());
    CHECK(parser.get().find("X-Not-Executed") == parser.get().end());
}

// Guards against a caller's request that ends the process.
TEST_CASE("a request with a field or trailer that can't be stored is refused, not thrown at")
{
    const std::string longValue(70'000, 'v');
    const std::string start = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::vector<Case> cases = {
        {"a length", start + "Content-Length: 2\r\n\r\nok", true, "ok"},
        {"a huge length", start + "Content-Length: 9223372036854775807\r\n\r\nok", false, "ok"},
        {"a field of 70 kB", start + "X-A: " + longValue + "\r\n\r\n", false, ""},
        {"a trailer of 70 kB",
         start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: " + longValue + "\r\n\r\n", true, "ok"},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        MessageParser<true, ReceivedBody> parser;
        parser.eager(true);
        parser.header_limit(std::numeric_limits<std::uint32_t>::max());
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        ErrorCode error;
        REQUIRE_NOTHROW(parser.put(asio::buffer(each.bytes), error));
        CHECK((!error && parser.is_done()) == each.isWhole);
        CHECK(parser.get().body() == each.body);
    }
}

} // namespace snipevalve
