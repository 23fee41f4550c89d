#include "snipevalve/net/http_server.hpp"

#include "snipevalve/net/accept.hpp"
#include "snipevalve/net/connection_limiter.hpp"
#include "snipevalve/net/log_failure.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <memory>

#include "snipevalve/net/hex_digit.hpp"

namespace snipevalve {

namespace {

/// What the connections of one listener share.
struct ServerState
{
    HttpHandler handler;
    HttpServerLimits limits;
    std::shared_ptr<ConnectionLimiter> connections;
};

Awaitable<void> serveConnection(Tcp::socket socket, std::shared_ptr<ServerState> server)
{
    const HttpServerLimits &limits = server->limits;
    beast::tcp_stream stream(std::move(socket));
    LimitedConnection connection(server->connections, Clock::now(), [&stream]() {
        stream.close();
    });
    beast::flat_buffer buffer(limits.bodyBytes == 0 ? limits.headerBytes
                                                    : std::max<std::size_t>(limits.headerBytes, MaxUnparsedBytes));
    ErrorCode error;
    stream.socket().set_option(Tcp::no_delay(true), error);
    while (true) {
        MessageParser<true, ReceivedBody> parser;
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        stream.expires_after(limits.idleTimeout);
        co_await readMessage(stream, buffer, parser, error);
        if (error) {
            co_return;
        }
        const HttpRequest request = parser.release();
        connection.work();
        HttpResponse response = co_await server->handler(request);
        connection.waitForPeer(Clock::now());
        if (response.result() == http::status::unknown) {
            co_return;
        }
        response.version(request.version());
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        stream.expires_after(limits.idleTimeout);
        co_await http::async_write(stream, response, awaitInto(error));
        if (error || !response.keep_alive()) {
            co_return;
        }
    }
}

std::string decodeParameter(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool isEscape =
            text[at] == '%' && at + 2 < text.size() && hexDigit(text[at + 1]) >= 0 && hexDigit(text[at + 2]) >= 0;
        if (isEscape) {
            decoded += static_cast<char>(hexDigit(text[at + 1]) * 16 + hexDigit(text[at + 2]));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

} // namespace

Awaitable<void> serveHttp(Tcp::acceptor &acceptor, HttpHandler handler, HttpServerLimits limits)
{
    const auto server = std::make_shared<ServerState>(
        ServerState{std::move(handler), limits, std::make_shared<ConnectionLimiter>(limits.maxConnections)});
    const auto executor = co_await asio::this_coro::executor;
    const auto onConnection = [executor, server](Tcp::socket socket) {
        asio::co_spawn(executor, serveConnection(std::move(socket), server), LogFailure("http"));
    };
    const auto mayAccept = [server]() {
        return server->connections->makeRoom(Clock::now());
    };
    co_await acceptConnections(acceptor, onConnection, mayAccept);
}

HttpResponse jsonResponse(http::status status, std::string body)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

RequestTarget::RequestTarget(std::string_view target)
{
    const auto question = target.find('?');
    m_path = std::string(target.substr(0, question));
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const auto ampersand = rest.find('&');
        const std::string_view pair = rest.substr(0, ampersand);
        const auto equals = pair.find('=');
        const std::string_view value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        m_parameters[std::string(pair.substr(0, equals))] = decodeParameter(value);
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
}

const std::string &RequestTarget::path() const
{
    return m_path;
}

std::string RequestTarget::parameter(const std::string &name, const std::string &fallback) const
{
    const auto position = m_parameters.find(name);
    return position == m_parameters.end() ? fallback : position->second;
}

std::uint64_t RequestTarget::number(const std::string &name, std::uint64_t fallback) const
{
    const std::string text = parameter(name);
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || result.ec != std::errc() ? fallback : value;
}

std::string encodeParameter(std::string_view text)
{
    constexpr char Digits[] = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' || character == '/') {
            encoded += character;
        } else {
            encoded += '%';
            encoded += Digits[byte / 16];
            encoded += Digits[byte % 16];
        }
    }
    return encoded;
}

} // namespace snipevalve
