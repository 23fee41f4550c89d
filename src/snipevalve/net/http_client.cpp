#include "snipevalve/net/http_client.hpp"

#include "snipevalve/net/idle_connection.hpp"
#include "snipevalve/net/message_head.hpp"
#include "snipevalve/net/message_parser.hpp"
#include "snipevalve/net/tcp_options.hpp"

namespace snipevalve {

namespace {

http::request<http::string_body> toRequest(HttpCall &call)
{
    http::request<http::string_body> request(call.method, call.target, 11);
    request.set(http::field::host, toString(call.endpoint));
    if (!call.authorization.empty()) {
        request.set(http::field::authorization, call.authorization);
    }
    if (!call.ifMatch.empty()) {
        request.set(http::field::if_match, call.ifMatch);
    }
    if (!call.contentType.empty()) {
        request.set(http::field::content_type, call.contentType);
    }
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = std::move(call.body);
    request.prepare_payload();
    return request;
}

std::map<std::string, std::string> selectHeaders(const http::fields &fields, const std::vector<std::string> &names)
{
    std::map<std::string, std::string> selected;
    for (const std::string &name : names) {
        const auto [first, last] = fields.equal_range(name);
        for (auto field = first; field != last; ++field) {
            const auto [position, isNew] = selected.try_emplace(name);
            position->second.append(isNew ? "" : ", ").append(field->value().data(), field->value().size());
        }
    }
    return selected;
}

bool maySend(const HttpCall &call)
{
    return !call.maySend || call.maySend();
}

absl::Status noLongerWanted(const HttpCall &call)
{
    return absl::FailedPreconditionError("the call to " + toString(call.endpoint) + " may not be sent any more");
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor executor, std::string sourceAddress)
    : m_executor(std::move(executor))
    , m_sourceAddress(std::move(sourceAddress))
{
}

HttpClient::~HttpClient() = default;

HttpClient::Stream HttpClient::takeIdle(const Endpoint &endpoint)
{
    std::vector<Stream> &streams = m_idle[endpoint];
    while (!streams.empty()) {
        Stream stream = std::move(streams.back());
        streams.pop_back();
        if (!isStaleConnection(stream->socket())) {
            return stream;
        }
    }
    return nullptr;
}

Awaitable<absl::StatusOr<HttpClient::Stream>> HttpClient::connect(const HttpCall &call)
{
    ErrorCode error;
    auto stream = std::make_unique<beast::tcp_stream>(m_executor);
    stream->expires_after(call.timeout);
    if (!m_sourceAddress.empty()) {
        stream->socket().open(Tcp::v4(), error);
        stream->socket().bind(Tcp::endpoint(asio::ip::make_address_v4(m_sourceAddress), 0), error);
    }
    co_await stream->async_connect(toTcp(call.endpoint), awaitInto(error));
    if (error) {
        co_return absl::FailedPreconditionError("no connection to " + toString(call.endpoint) + ": " + error.message());
    }
    stream->socket().set_option(Tcp::no_delay(true), error);
    resetOnClose(stream->socket());
    co_return stream;
}

Awaitable<absl::StatusOr<HttpReply>> HttpClient::call(HttpCall call)
{
    const Endpoint endpoint = call.endpoint;
    if (!maySend(call)) {
        co_return noLongerWanted(call);
    }
    Stream stream = call.usesOwnConnection ? nullptr : takeIdle(endpoint);
    if (!stream) {
        auto connected = co_await connect(call);
        if (!connected.ok()) {
            co_return connected.status();
        }
        stream = std::move(*connected);
    }
    stream->expires_after(call.timeout);
    setTcpUserTimeout(stream->socket(), call.timeout);
    const http::request<http::string_body> request = toRequest(call);
    ErrorCode error;
    if (!maySend(call)) {
        co_return noLongerWanted(call);
    }
    co_await http::async_write(*stream, request, awaitInto(error));
    if (error) {
        co_return absl::UnavailableError("no answer from " + toString(endpoint) + ": " + error.message());
    }
    beast::flat_buffer buffer(MaxUnparsedBytes);
    MessageParser<false, ReceivedBody> parser;
    parser.body_limit(call.maxReplyBytes);
    co_await readMessage(*stream, buffer, parser, error);
    if (error) {
        co_return absl::UnavailableError("no answer from " + toString(endpoint) + ": " + error.message());
    }
    if (!isValidStatus(parser.get().result_int())) {
        co_return absl::UnavailableError("no answer from " + toString(endpoint) + ": its status is out of range");
    }
    HttpReply reply;
    reply.status = parser.get().result_int();
    reply.headers = selectHeaders(parser.get(), call.replyHeaders);
    reply.body = std::move(parser.get().body());
    const bool hasExtraBytes = buffer.size() > 0;
    if (parser.get().keep_alive() && !call.usesOwnConnection && !hasExtraBytes) {
        m_idle[endpoint].push_back(std::move(stream));
    }
    co_return reply;
}

} // namespace snipevalve
