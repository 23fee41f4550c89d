#include "snipevalve/store/http_store.hpp"

#include <nlohmann/json.hpp>

#include "snipevalve/net/http_server.hpp"

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr unsigned Gone = 410;

/// Any status that the call doesn't expect. The outcome is unknown then, as it is without an answer.
absl::Status unexpectedStatus(const HttpReply &reply)
{
    return absl::UnavailableError("the store answered with status " + std::to_string(reply.status));
}

StoredValue toStoredValue(const Json &json)
{
    return {json.value("key", ""), json.value("value", ""), json.value("revision", std::uint64_t(0))};
}

/// @return the JSON object of the body, or an empty object when the body holds none
Json parseObject(const HttpReply &reply)
{
    Json json = Json::parse(reply.body, nullptr, false);
    return json.is_object() ? json : Json::object();
}

} // namespace

HttpStore::HttpStore(asio::any_io_executor executor, Endpoint endpoint, Milliseconds timeout, std::string sourceAddress)
    : m_client(std::move(executor), std::move(sourceAddress))
    , m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
{
}

Awaitable<absl::StatusOr<HttpReply>> HttpStore::call(http::verb method, std::string target, std::string body,
                                                     Milliseconds holdTime)
{
    HttpCall call;
    call.endpoint = m_endpoint;
    call.method = method;
    call.target = std::move(target);
    call.body = std::move(body);
    call.timeout = m_timeout + holdTime;
    co_return co_await m_client.call(std::move(call));
}

Awaitable<absl::StatusOr<StoredValue>> HttpStore::read(std::string key)
{
    const auto reply = co_await call(http::verb::get, "/v1/values?key=" + encodeParameter(key), {});
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status == NotFound) {
        co_return StoredValue{key, {}, 0};
    }
    if (reply->status != Ok) {
        co_return unexpectedStatus(*reply);
    }
    co_return toStoredValue(parseObject(*reply));
}

Awaitable<absl::StatusOr<StoredList>> HttpStore::list(std::string prefix)
{
    const auto reply = co_await call(http::verb::get, "/v1/list?prefix=" + encodeParameter(prefix), {});
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status != Ok) {
        co_return unexpectedStatus(*reply);
    }
    const Json json = parseObject(*reply);
    StoredList list;
    list.revision = json.value("revision", std::uint64_t(0));
    for (const Json &value : json.value("values", Json::array())) {
        list.values.push_back(toStoredValue(value));
    }
    co_return list;
}

Awaitable<absl::StatusOr<WriteResult>> HttpStore::write(StoreWrite write)
{
    const Json body = {{"key", write.key},
                       {"value", write.value},
                       {"expectedRevision", write.expectedRevision},
                       {"lease", write.lease},
                       {"remove", write.remove}};
    const std::string text = body.dump();
    const auto reply = co_await call(http::verb::post, "/v1/write", text);
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status == NotFound) {
        co_return absl::NotFoundError("the lease has lapsed");
    }
    if (reply->status != Ok && reply->status != Conflict) {
        co_return unexpectedStatus(*reply);
    }
    WriteResult result;
    result.committed = reply->status == Ok;
    result.current = toStoredValue(parseObject(*reply));
    co_return result;
}

Awaitable<absl::StatusOr<StoreEvents>> HttpStore::watch(std::string prefix, std::uint64_t from, Milliseconds wait)
{
    const std::string target = "/v1/watch?prefix=" + encodeParameter(prefix) + "&from=" + std::to_string(from)
        + "&waitMs=" + std::to_string(wait.count());
    const auto reply = co_await call(http::verb::get, target, {}, wait);
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status == Gone) {
        co_return absl::OutOfRangeError("the store no longer has the events after this revision");
    }
    if (reply->status != Ok) {
        co_return unexpectedStatus(*reply);
    }
    const Json json = parseObject(*reply);
    StoreEvents events;
    events.revision = json.value("revision", from);
    for (const Json &event : json.value("events", Json::array())) {
        events.events.push_back({toStoredValue(event), event.value("removed", false)});
    }
    co_return events;
}

Awaitable<absl::StatusOr<std::uint64_t>> HttpStore::createLease(Milliseconds lifetime)
{
    const std::string target = "/v1/leases?lifetimeMs=" + std::to_string(lifetime.count());
    const auto reply = co_await call(http::verb::post, target, {});
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status != Ok) {
        co_return unexpectedStatus(*reply);
    }
    co_return parseObject(*reply).value("lease", std::uint64_t(0));
}

Awaitable<absl::Status> HttpStore::renewLease(std::uint64_t lease)
{
    const auto reply = co_await call(http::verb::put, "/v1/leases?lease=" + std::to_string(lease), {});
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status == NotFound) {
        co_return absl::NotFoundError("the lease has lapsed");
    }
    co_return reply->status == Ok ? absl::OkStatus() : unexpectedStatus(*reply);
}

} // namespace snipevalve
