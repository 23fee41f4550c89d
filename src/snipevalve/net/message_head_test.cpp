#include <catch2/catch.hpp>

#include <random>

#include "snipevalve/net/message_head.hpp"

namespace snipevalve {

TEST_CASE("findHeadFault detects the heads that RFC 9112 requires a server to reject")
{
    struct Case
    {
        std::string name;
        std::string lines; ///< header lines that follow the request line
        bool isValid;
    };
    const std::vector<Case> cases = {
        {"one host", "Host: a\r\n", true},
        {"a header without a value", "Host: a\r\nx:\r\n", true},
        {"a value with colons", "Host: a\r\nx: b:c\r\n", true},
        {"a length", "Host: a\r\nContent-Length: 3\r\n", true},
        {"no host (3.2)", "x: y\r\n", false},
        {"two hosts (3.2)", "Host: a\r\nhost: a\r\n", false},
        {"a folded line (5.2)", "Host: a\r\nx: y\r\n z\r\n", false},
        {"a line folded with a tab (5.2)", "Host: a\r\nx: y\r\n\tz\r\n", false},
        {"a space before the colon (5.1)", "Host : a\r\n", false},
        {"a line without a colon (5)", "Host: a\r\nnonsense\r\n", false},
        {"an empty name (5)", "Host: a\r\n: b\r\n", false},
        {"a bare CR (2.2)", "Host: a\r\nx: a\rb\r\n", false},
        {"a bare LF (2.2)", "Host: a\r\nx: a\nHost: b\r\n", false},
        {"a NUL", std::string("Host: a\r\nx: a") + '\0' + "\r\n", false},
        {"two lengths (6.3)", "Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n", false},
        {"a length and a coding (6.3)", "Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n", false},
        {"an empty length (6.3)", "Host: a\r\nContent-Length:\r\n", false},
        {"a length that is no number (6.3)", "Host: a\r\nContent-Length: +3\r\n", false},
        {"a length in spaces", "Host: a\r\nContent-Length: \t3 \r\n", true},
        {"chunked", "Host: a\r\nTransfer-Encoding: Chunked\r\n", true},
        {"chunked in spaces", "Host: a\r\nTransfer-Encoding: \tchunked \r\n", true},
        {"another coding (6.1)", "Host: a\r\nTransfer-Encoding: gzip\r\n", false},
        {"another coding before chunked (6.1)", "Host: a\r\nTransfer-Encoding: gzip, chunked\r\n", false},
        {"another coding after chunked (6.3)", "Host: a\r\nTransfer-Encoding: chunked, gzip\r\n", false},
        {"an empty coding (6.1)", "Host: a\r\nTransfer-Encoding:\r\n", false},
        {"two codings (6.3)", "Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", false},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        CHECK(findHeadFault("GET / HTTP/1.1\r\n" + each.lines + "\r\n").has_value() != each.isValid);
    }
}

TEST_CASE("a request of HTTP/1.0 has no transfer coding (RFC 9112, 6.1)")
{
    CHECK(findHeadFault("POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n").has_value());
    CHECK_FALSE(findHeadFault("POST / HTTP/1.0\r\nHost: a\r\nContent-Length: 2\r\n\r\n").has_value());
}

TEST_CASE("the end of a head is found only after its empty line")
{
    CHECK_FALSE(findHeadEnd("GET / HTTP/1.1\r\nHost: a\r\n").has_value());
    CHECK(findHeadEnd("GET / HTTP/1.1\r\n\r\nbody") == 18);
}

TEST_CASE("equivalent paths have the same normalized form")
{
    struct Case
    {
        std::string path;
        std::string normalized; ///< empty when the dot segments lead above the root
    };
    const std::vector<Case> cases = {
        {"/a/b", "/a/b"},    {"/a/%62", "/a/b"},     {"/a/./b", "/a/b"},   {"/a/c/../b", "/a/b"}, {"/a/b/", "/a/b/"},
        {"/a/b/.", "/a/b/"}, {"/a/b/c/..", "/a/b/"}, {"/a%2fb", "/a%2Fb"}, {"/%7ea", "/~a"},      {"/a/%2e%2e/b", "/b"},
        {"/..", ""},         {"/a/../../b", ""},     {"/%zz", "/%zz"},     {"/a%", "/a%"},        {"/", "/"},
        {"/a//b", "/a//b"},
    };
    for (const Case &each : cases) {
        INFO(each.path);
        CHECK(normalizePath(each.path).value_or("") == each.normalized);
    }
}

TEST_CASE("arbitrary bytes are parsed without a crash, and normalizing a path twice changes nothing")
{
    std::mt19937 random(20261204);
    const std::string alphabet("ab:/%2eE. \t\r\n\0HostCL", 22);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes;
        const auto length = random() % 60;
        for (std::size_t at = 0; at < length; ++at) {
            bytes += alphabet[random() % alphabet.size()];
        }
        findHeadFault(bytes);
        findHeadEnd(bytes);
        const auto normalized = normalizePath("/" + bytes);
        if (normalized) {
            CHECK(normalizePath(*normalized) == normalized);
        }
    }
}

} // namespace snipevalve
