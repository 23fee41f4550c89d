#include "snipevalve/net/message_head.hpp"

#include <algorithm>
#include <cctype>
#include <vector>

#include "snipevalve/net/hex_digit.hpp"

namespace snipevalve {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";

struct HeaderCounts
{
    int hostHeaders = 0;
    int contentLengths = 0;
    int transferEncodings = 0;
};

std::string_view trimmed(std::string_view value)
{
    constexpr std::string_view OptionalSpace = " \t";
    const auto first = value.find_first_not_of(OptionalSpace);
    return first == std::string_view::npos ? std::string_view()
                                           : value.substr(first, value.find_last_not_of(OptionalSpace) - first + 1);
}

bool isNumber(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

std::optional<std::string> checkLine(std::string_view line, HeaderCounts &counts)
{
    if (line.front() == ' ' || line.front() == '\t') {
        return "a header line is folded";
    }
    if (line.find('\0') != std::string_view::npos || line.find('\r') != std::string_view::npos) {
        return "a header line contains NUL or CR";
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return "a header line has no name";
    }
    const std::string_view name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos) {
        return "a header's name contains a space";
    }
    const beast::string_view beastName(name.data(), name.size());
    const std::string_view value = trimmed(line.substr(colon + 1));
    const bool isLength = beast::iequals(beastName, "content-length");
    const bool isEncoding = beast::iequals(beastName, "transfer-encoding");
    counts.hostHeaders += beast::iequals(beastName, "host") ? 1 : 0;
    counts.contentLengths += isLength ? 1 : 0;
    counts.transferEncodings += isEncoding ? 1 : 0;
    if (isLength && !isNumber(value)) {
        return "the length of the body is not a number";
    }
    // Beast takes the body for empty if another coding is named, and what follows for the next request.
    if (isEncoding && !beast::iequals({value.data(), value.size()}, "chunked")) {
        return "the body has a transfer coding other than chunked";
    }
    return std::nullopt;
}

bool isUnreserved(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '.'
        || character == '_' || character == '~';
}

std::string decodeUnreserved(std::string_view path)
{
    std::string decoded;
    constexpr int HexBase = 16;
    for (std::size_t at = 0; at < path.size(); ++at) {
        const bool isEscape =
            path[at] == '%' && at + 2 < path.size() && hexDigit(path[at + 1]) >= 0 && hexDigit(path[at + 2]) >= 0;
        if (!isEscape) {
            decoded += path[at];
            continue;
        }
        const auto character = static_cast<char>(hexDigit(path[at + 1]) * HexBase + hexDigit(path[at + 2]));
        if (isUnreserved(character)) {
            decoded += character;
        } else {
            decoded += '%';
            decoded += static_cast<char>(std::toupper(static_cast<unsigned char>(path[at + 1])));
            decoded += static_cast<char>(std::toupper(static_cast<unsigned char>(path[at + 2])));
        }
        at += 2;
    }
    return decoded;
}

} // namespace

std::optional<std::size_t> findHeadEnd(std::string_view text)
{
    const auto position = text.find(HeadEnd);
    return position == std::string_view::npos ? std::nullopt : std::optional(position + HeadEnd.size());
}

std::optional<std::string> findHeadFault(std::string_view head)
{
    auto lineStart = head.find(LineEnd);
    if (lineStart == std::string_view::npos) {
        return "the request line has no end";
    }
    if (head.substr(0, lineStart).find('\n') != std::string_view::npos) {
        return "the request line contains LF";
    }
    HeaderCounts counts;
    lineStart += LineEnd.size();
    while (lineStart < head.size()) {
        const auto lineEnd = std::min(head.find(LineEnd, lineStart), head.size());
        const std::string_view line = head.substr(lineStart, lineEnd - lineStart);
        if (line.empty()) {
            break;
        }
        if (line.find('\n') != std::string_view::npos) {
            return "a header line ends with LF alone";
        }
        if (auto fault = checkLine(line, counts)) {
            return fault;
        }
        lineStart = lineEnd + LineEnd.size();
    }
    if (counts.hostHeaders != 1) {
        return counts.hostHeaders == 0 ? "there is no Host header" : "there is more than one Host header";
    }
    if (counts.transferEncodings > 0 && head.substr(0, head.find(LineEnd)).ends_with("HTTP/1.0")) {
        return "a request of HTTP/1.0 has a transfer coding";
    }
    if (counts.contentLengths > 1 || counts.transferEncodings > 1
        || counts.contentLengths + counts.transferEncodings > 1) {
        return "the body has more than one length";
    }
    return std::nullopt;
}

Awaitable<void> readUntilHeadEnd(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::size_t limit,
                                 ErrorCode &error)
{
    constexpr std::size_t ReadChunkBytes = 4 << 10;
    while (true) {
        const auto data = buffer.cdata();
        const auto end = findHeadEnd({static_cast<const char *>(data.data()), data.size()});
        if (end.value_or(data.size()) > limit) {
            error = http::error::header_limit;
            co_return;
        }
        if (end) {
            co_return;
        }
        const std::size_t count = co_await stream.async_read_some(buffer.prepare(ReadChunkBytes), awaitInto(error));
        if (error) {
            co_return;
        }
        buffer.commit(count);
    }
}

bool isParseError(const ErrorCode &error)
{
    return error.category() == http::make_error_code(http::error::bad_version).category()
        && error != http::error::end_of_stream && error != http::error::partial_message;
}

bool isValidStatus(unsigned status)
{
    constexpr unsigned Lowest = 100;
    constexpr unsigned Highest = 599;
    return status >= Lowest && status <= Highest;
}

bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

std::optional<std::string> normalizePath(std::string_view path)
{
    const std::string decoded = decodeUnreserved(path);
    std::vector<std::string_view> segments;
    std::string_view rest = decoded;
    bool endsWithSlash = rest.empty() || rest.back() == '/';
    while (!rest.empty()) {
        const auto slash = rest.find('/');
        const std::string_view segment = rest.substr(0, slash);
        rest = slash == std::string_view::npos ? std::string_view() : rest.substr(slash + 1);
        if (segment == "..") {
            if (segments.size() <= 1) {
                return std::nullopt;
            }
            segments.pop_back();
        } else if (segment != ".") {
            segments.push_back(segment);
        }
        endsWithSlash = endsWithSlash || (rest.empty() && (segment == "." || segment == ".."));
    }
    std::string normalized;
    for (const std::string_view segment : segments) {
        normalized += segment;
        normalized += '/';
    }
    if (!endsWithSlash && !normalized.empty()) {
        normalized.pop_back();
    }
    return normalized;
}

} // namespace snipevalve
