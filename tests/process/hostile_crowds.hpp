#ifndef SNIPEVALVE_PROCESS_HOSTILE_CROWDS_HPP
#define SNIPEVALVE_PROCESS_HOSTILE_CROWDS_HPP

#include <catch2/catch.hpp>

#include <array>
#include <sstream>

#include "process/caller_crowd.hpp"
#include "process/process_limits.hpp"
#include "standins/node_settings_file.hpp"
#include "standins/process.hpp"

namespace snipevalve::standins {

inline constexpr std::size_t Kilobyte = 1 << 10;
inline constexpr std::size_t Megabyte = 1 << 20;
inline constexpr std::size_t LargestBody = 64 * Megabyte; ///< the default limit of both processes
inline constexpr Milliseconds SendTimeout(15'000);
inline constexpr Milliseconds HoldTime(1'000); ///< until what the callers have sent has been read

inline std::string head(const std::string &path, const std::string &id, const std::string &more)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
        + "\r\nX-Snipevalve-Request-Deadline: 3000\r\nsnipevalve-deadline-ms: 3000\r\n" + more + "\r\n";
}

inline std::string length(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

inline std::string encodeChunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'c') << "\r\n";
    return text.str();
}

inline std::string repeat(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t time = 0; time < times; ++time) {
        all += text;
    }
    return all;
}

/// @brief Sends a request with a body on a new connection.
/// @return the status of the response; 0 if none came
inline unsigned post(const Endpoint &target, const std::string &path, std::size_t bodyBytes)
{
    static int lastId = 0;
    const std::string body(bodyBytes, 'o');
    const std::string start = head(path, "ordinary-" + std::to_string(++lastId), length(bodyBytes));
    asio::io_context context;
    Tcp::socket socket(context);
    ErrorCode error;
    socket.connect(toTcp(target), error);
    asio::write(socket, std::array{asio::buffer(start), asio::buffer(body)}, error);
    error = {}; // an early refusal may precede the end of the body
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read(socket, buffer, parser, error);
    return error ? 0 : parser.get().result_int();
}

/// @brief Sends a request with a small body, as often as a caller that is refused as not run may.
/// @return whether it was answered
inline bool servesUpload(const Endpoint &target, const std::string &path)
{
    constexpr int Tries = 10;
    constexpr Milliseconds RetryAfter(300); // what a refusal for lack of memory names
    constexpr std::size_t BodyBytes = 20'000;
    for (int attempt = 0; attempt < Tries; ++attempt) {
        if (post(target, path, BodyBytes) == 200) {
            return true;
        }
        std::this_thread::sleep_for(RetryAfter);
    }
    return false;
}

inline void checkLimits(const Process &process, const NodeLimits &limits)
{
    REQUIRE(process.isRunning());
    const std::size_t memoryMb = peakMemoryMb(process.pid());
    const std::size_t descriptors = openDescriptors(process.pid());
    UNSCOPED_INFO("peak memory " << memoryMb << " of " << limits.memoryMb << " MB, open descriptors " << descriptors
                                 << " of " << limits.descriptors);
    CHECK(memoryMb < static_cast<std::size_t>(limits.memoryMb));
    CHECK(descriptors < static_cast<std::size_t>(limits.descriptors));
}

/// @brief A crowd, and the limits of the process that it meets.
struct CrowdCase
{
    std::string name;
    CrowdRequest request;
    NodeLimits limits;
};

inline constexpr NodeLimits SmallestHost{120, 1000}; ///< memory of the smallest hosts
inline constexpr NodeLimits LoweredMemory{80, 1000};
inline constexpr NodeLimits LoweredDescriptors{120, 200};

inline std::vector<CrowdCase> crowds(const std::string &path)
{
    constexpr std::size_t LargeBody = 8 * Megabyte;
    constexpr std::size_t PartBytes = 256 * Kilobyte;
    constexpr std::size_t MissingBytes = 8;
    const std::string part(PartBytes, 'p');
    const std::string trailer = "X-T: " + std::string(993, 't') + "\r\n";
    const std::string chunked = head(path, "crowd", "Transfer-Encoding: chunked\r\n");
    const auto shortOf = [&](std::size_t bytes) {
        return head(path, "crowd", length(bytes)) + part.substr(MissingBytes);
    };
    return {
        {"trailers without end", {1, chunked + "2\r\nok\r\n0\r\n", repeat(trailer, 64), 1'024}, LoweredMemory},
        {"trailers that stop short of their end",
         {900, chunked + "2\r\nok\r\n0\r\n" + repeat(trailer, 72), "", 0},
         LoweredMemory},
        {"bodies of the largest size, whole but for the last bytes",
         {6, shortOf(LargestBody), part, LargestBody / PartBytes - 1},
         SmallestHost},
        {"many large bodies, whole but for the last bytes",
         {40, shortOf(LargeBody), part, LargeBody / PartBytes - 1},
         SmallestHost},
        {"many large bodies piece by piece",
         {40, shortOf(LargeBody), part, LargeBody / PartBytes - 1, Milliseconds(10)},
         SmallestHost},
        {"bodies of the largest size in large chunks",
         {6, chunked, encodeChunk(Megabyte), LargestBody / Megabyte - 1},
         SmallestHost},
        {"many bodies in large chunks", {40, chunked, encodeChunk(PartBytes), LargeBody / PartBytes - 1}, SmallestHost},
        {"many bodies in chunks of one byte", {200, chunked, repeat(encodeChunk(1), 10'000), 20}, LoweredMemory},
        {"many bodies of 60 kB, whole but for the last bytes",
         {900, head(path, "crowd", length(60'000)) + std::string(60'000 - MissingBytes, 'p'), "", 0},
         LoweredMemory},
        {"connections without a request", {400, "", "", 0}, LoweredDescriptors},
        {"heads that stop short of their end",
         {900, "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + repeat(trailer, 15), "", 0},
         LoweredMemory},
    };
}

/// @brief Checks a process while a crowd holds its connections, and after the crowd has left.
inline void meetCrowd(const Process &process, const Endpoint &target, const std::string &path, const CrowdCase &each)
{
    {
        const CallerCrowd crowd(target, each.request);
        crowd.waitUntilSent(SendTimeout);
        std::this_thread::sleep_for(HoldTime);
        checkLimits(process, each.limits);
        CHECK(servesUpload(target, path));
        checkLimits(process, each.limits);
    }
    CHECK(servesUpload(target, path));
    CHECK(process.isRunning());
}

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_HOSTILE_CROWDS_HPP
