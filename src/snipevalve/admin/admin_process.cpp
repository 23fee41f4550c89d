#include "snipevalve/admin/admin_process.hpp"

#include <charconv>
#include <random>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "snipevalve/admin/responses.hpp"
#include "snipevalve/admin/rollout_status.hpp"

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxPageSize = 500;
constexpr Milliseconds MaxWatchWait(30'000);

/// Parses the value of an If-Match header, with or without quotes.
std::optional<std::uint64_t> parseRevision(beast::string_view text)
{
    std::string_view digits(text.data(), text.size());
    if (digits.size() >= 2 && digits.front() == '"' && digits.back() == '"') {
        digits = digits.substr(1, digits.size() - 2);
    }
    std::uint64_t revision = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), revision);
    const bool isWhole = !digits.empty() && result.ec == std::errc() && result.ptr == digits.data() + digits.size();
    return isWhole ? std::optional(revision) : std::nullopt;
}

/// The singular of `services`, `servers` or `routes`; empty for anything else.
std::string kindOfCollection(const std::string &collection)
{
    const bool isKnown = collection == "services" || collection == "servers" || collection == "routes";
    return isKnown ? collection.substr(0, collection.size() - 1) : std::string();
}

/// The random part keeps the write ids of a restarted process apart from those of the process before it.
std::string makeWriteIdPrefix(const Settings &settings)
{
    return settings.hostName + "-" + std::to_string(std::random_device()());
}

AccessList makeAccess(const Settings &settings)
{
    Findings findings;
    AccessList access(settings.adminTokens, findings);
    if (!findings.empty()) {
        throw std::runtime_error(findings.toString());
    }
    return access;
}

} // namespace

AdminProcess::AdminProcess(asio::io_context &context, const Settings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_store(context.get_executor(), settings.storeEndpoint, settings.storeTimeout, settings.hostAddress)
    , m_client(context.get_executor(), settings.hostAddress)
    , m_resources(m_store, makeWriteIdPrefix(settings), settings.writeTimeout)
    , m_hostListPoller(context.get_executor(), m_client, settings.hostListEndpoint, settings.hostListInterval,
                       [](const HostList &) {})
    , m_access(makeAccess(settings))
    , m_acceptor(
          listenOn(context.get_executor(), {settings.hostAddress, static_cast<std::uint16_t>(settings.adminPort)}))
    , m_supervisor(context.get_executor(), "admin", {}, [this]() {
        m_exitCode = ExitCode::Failure;
        m_context.stop();
    })
{
}

ExitCode AdminProcess::run()
{
    m_supervisor.add("hosts", [this]() {
        return m_hostListPoller.run();
    });
    m_supervisor.add("api", [this]() {
        return serveHttp(m_acceptor, [this](const HttpRequest &request) {
            return handle(request);
        });
    });
    m_supervisor.start();
    const StopSignals signals(m_context.get_executor(), [this]() {
        asio::co_spawn(
            m_context,
            [this]() -> Awaitable<void> {
                constexpr Milliseconds PollInterval(10);
                const TimePoint deadline = Clock::now() + m_settings.writeTimeout;
                asio::steady_timer timer(m_context);
                while (m_callsInFlight > 0 && Clock::now() < deadline) {
                    timer.expires_after(PollInterval);
                    co_await timer.async_wait(asio::use_awaitable);
                }
                m_context.stop();
            },
            asio::detached);
    });
    m_context.run();
    return m_exitCode;
}

Endpoint AdminProcess::localPlacementEndpoint() const
{
    return {m_settings.hostAddress, static_cast<std::uint16_t>(m_settings.placementOpsPort)};
}

Awaitable<HttpResponse> AdminProcess::handle(const HttpRequest &request)
{
    const auto authorization = request[http::field::authorization];
    Call call{request,
              RequestTarget(std::string(request.target())),
              m_access.identify({authorization.data(), authorization.size()}),
              {},
              {}};
    if (call.identity.level == AccessLevel::None) {
        co_return errorResponse(http::status::unauthorized, "the token is missing or unknown");
    }
    const std::string &path = call.target.path();
    if (path == "/v1/watch") {
        co_return co_await handleWatch(call);
    }
    if (path == "/v1/hosts") {
        co_return co_await handleHosts();
    }
    if (path == "/v1/where") {
        co_return co_await handleWhere(call);
    }
    constexpr std::string_view Prefix = "/v1/";
    const std::string rest = path.starts_with(Prefix) ? path.substr(Prefix.size()) : std::string();
    const auto slash = rest.find('/');
    call.kind = kindOfCollection(rest.substr(0, slash));
    call.name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    if (call.kind.empty()) {
        co_return errorResponse(http::status::not_found, "no such page");
    }
    ++m_callsInFlight;
    HttpResponse response = co_await handleResource(call);
    --m_callsInFlight;
    co_return response;
}

Awaitable<HttpResponse> AdminProcess::handleResource(const Call &call)
{
    constexpr std::string_view StatusSuffix = "/status";
    const http::verb method = call.request.method();
    if (method == http::verb::get && call.name.ends_with(StatusSuffix)) {
        const std::string name = call.name.substr(0, call.name.size() - StatusSuffix.size());
        co_return co_await handleStatus(call.kind + "/" + name);
    }
    if (method == http::verb::get) {
        if (call.name.empty()) {
            co_return co_await handleList(call);
        }
        co_return co_await handleRead(call);
    }
    if (call.identity.level < AccessLevel::Write) {
        co_return errorResponse(http::status::forbidden, "the token allows reading only");
    }
    if (method == http::verb::delete_ && !call.name.empty()) {
        co_return co_await handleDelete(call);
    }
    const bool isCreate = method == http::verb::post && call.name.empty();
    const bool isChange = (method == http::verb::put || method == http::verb::patch) && !call.name.empty();
    if (isCreate || isChange) {
        co_return co_await handleWrite(call);
    }
    co_return errorResponse(http::status::method_not_allowed, "this page has no such method");
}

Awaitable<HttpResponse> AdminProcess::handleRead(const Call &call)
{
    const auto resource = co_await m_resources.read(call.kind + "/" + call.name);
    if (absl::IsNotFound(resource.status())) {
        co_return errorResponse(http::status::not_found, std::string(resource.status().message()));
    }
    if (!resource.ok()) {
        co_return storeUnavailableResponse();
    }
    HttpResponse response = jsonResponse(http::status::ok, resourceJson(resource->document, resource->revision).dump());
    response.set(http::field::etag, "\"" + std::to_string(resource->revision) + "\"");
    co_return response;
}

Awaitable<HttpResponse> AdminProcess::handleList(const Call &call)
{
    const auto list = co_await m_resources.list(call.kind + "/");
    if (!list.ok()) {
        co_return storeUnavailableResponse();
    }
    const std::size_t limit = std::min<std::size_t>(MaxPageSize, call.target.number("limit", MaxPageSize));
    const std::string after = std::string(ResourcePrefix) + call.kind + "/" + call.target.parameter("after");
    Json items = Json::array();
    std::string next;
    for (const StoredValue &value : list->values) {
        const auto envelope = parseEnvelope(value.value);
        if (!envelope || value.key <= after) {
            continue;
        }
        if (items.size() == limit) {
            next = items.back()["name"].get<std::string>();
            break;
        }
        items.push_back(resourceJson(envelope->document, value.revision));
    }
    Json json = {{"revision", list->revision}, {"items", items}};
    if (!next.empty()) {
        json["next"] = next;
    }
    co_return jsonResponse(http::status::ok, json.dump());
}

Awaitable<HttpResponse> AdminProcess::handleWrite(const Call &call)
{
    Change change;
    change.dryRun = call.target.parameter("dryRun") == "true";
    std::string document = call.request.body();
    const bool isCreate = call.request.method() == http::verb::post;
    if (!isCreate) {
        const auto revision = parseRevision(call.request[http::field::if_match]);
        if (!revision) {
            co_return errorResponse(http::status::precondition_required, "If-Match must name the revision");
        }
        change.expectedRevision = *revision;
    }
    if (call.request.method() == http::verb::patch) {
        const auto current = co_await m_resources.read(call.kind + "/" + call.name);
        if (!current.ok()) {
            co_return absl::IsNotFound(current.status())
                ? errorResponse(http::status::not_found, std::string(current.status().message()))
                : storeUnavailableResponse();
        }
        Json merged = Json::parse(current->document, nullptr, false);
        const Json patch = Json::parse(document, nullptr, false);
        if (patch.is_discarded()) {
            co_return errorResponse(http::status::bad_request, "the patch is not JSON");
        }
        merged.merge_patch(patch);
        document = merged.dump();
    }
    // A document read from the API carries its revision, which is not part of the resource.
    Json json = Json::parse(document, nullptr, false);
    if (json.is_object()) {
        json.erase("revision");
        document = json.dump();
    }
    auto resource = parseResource(document);
    if (!resource.ok()) {
        co_return invalidDocumentResponse(resource.status());
    }
    const bool isRightKind = kindOf(*resource) == call.kind;
    if (!isRightKind || (!isCreate && nameOf(*resource) != call.name)) {
        co_return errorResponse(http::status::bad_request, "the document is of another kind or name");
    }
    if (!mayChange(call.identity, teamOf(*resource))) {
        co_return errorResponse(http::status::forbidden, "the resource belongs to another team");
    }
    change.path = pathOf(*resource);
    change.resource = std::move(*resource);
    co_return co_await apply(call, std::move(change));
}

Awaitable<HttpResponse> AdminProcess::handleDelete(const Call &call)
{
    const auto revision = parseRevision(call.request[http::field::if_match]);
    if (!revision) {
        co_return errorResponse(http::status::precondition_required, "If-Match must name the revision");
    }
    const auto current = co_await m_resources.read(call.kind + "/" + call.name);
    if (!current.ok()) {
        co_return absl::IsNotFound(current.status())
            ? errorResponse(http::status::not_found, std::string(current.status().message()))
            : storeUnavailableResponse();
    }
    const auto resource = parseResource(current->document);
    if (resource.ok() && !mayChange(call.identity, teamOf(*resource))) {
        co_return errorResponse(http::status::forbidden, "the resource belongs to another team");
    }
    Change change;
    change.path = call.kind + "/" + call.name;
    change.expectedRevision = *revision;
    change.dryRun = call.target.parameter("dryRun") == "true";
    co_return co_await apply(call, std::move(change));
}

Awaitable<HttpResponse> AdminProcess::apply(const Call &call, Change change)
{
    const bool isNew = change.expectedRevision == 0 && !change.dryRun;
    const std::string path = change.path;
    const ChangeResult result = co_await m_resources.change(std::move(change));
    constexpr const char *OutcomeNames[] = {"done", "conflict", "invalid", "not run", "unknown"};
    spdlog::info("admin: {} {} {} by team {}, revision {}", std::string(call.request.method_string()), path,
                 OutcomeNames[static_cast<int>(result.outcome)], call.identity.team, result.revision);
    co_return changeResponse(result, isNew);
}

Awaitable<HttpResponse> AdminProcess::handleWatch(const Call &call)
{
    const Milliseconds wait(std::min<std::uint64_t>(call.target.number("waitMs", 0), MaxWatchWait.count()));
    const auto events = co_await m_store.watch(std::string(ResourcePrefix), call.target.number("from", 0), wait);
    if (absl::IsOutOfRange(events.status())) {
        co_return errorResponse(http::status::gone, "this revision is too old; list again");
    }
    if (!events.ok()) {
        co_return storeUnavailableResponse();
    }
    Json list = Json::array();
    for (const StoreEvent &event : events->events) {
        const auto envelope = parseEnvelope(event.value.value);
        Json json = {{"path", event.value.key.substr(ResourcePrefix.size())},
                     {"revision", event.value.revision},
                     {"removed", event.removed}};
        if (envelope) {
            json["resource"] = Json::parse(envelope->document, nullptr, false);
        }
        list.push_back(json);
    }
    co_return jsonResponse(http::status::ok, Json({{"revision", events->revision}, {"events", list}}).dump());
}

Awaitable<absl::StatusOr<HttpReply>> AdminProcess::queryPlacement(Endpoint endpoint, std::string target)
{
    HttpCall call;
    call.endpoint = std::move(endpoint);
    call.target = std::move(target);
    co_return co_await m_client.call(std::move(call));
}

/// Collects the applied revisions of all programs: asks the local placement process for the relays, then each relay for
/// the reports it holds, and keeps the highest revision per program.
Awaitable<std::map<std::string, std::uint64_t>> AdminProcess::fetchReports()
{
    std::map<std::string, std::uint64_t> reports;
    const auto local = co_await queryPlacement(localPlacementEndpoint(), "/status");
    const Json status = local.ok() ? Json::parse(local->body, nullptr, false) : Json::object();
    const Json relays = status.is_object() ? status.value("relays", Json::array()) : Json::array();
    for (const Json &relay : relays) {
        const auto endpoint = parseEndpoint(relay.get<std::string>());
        if (!endpoint) {
            continue;
        }
        const auto reply = co_await queryPlacement(*endpoint, "/status");
        const Json answer = reply.ok() ? Json::parse(reply->body, nullptr, false) : Json::object();
        const Json list = answer.is_object() ? answer.value("reports", Json::array()) : Json::array();
        for (const Json &report : list) {
            std::uint64_t &revision = reports[report.value("node", "")];
            revision = std::max(revision, report.value("revision", std::uint64_t(0)));
        }
    }
    co_return reports;
}

Awaitable<HttpResponse> AdminProcess::handleStatus(std::string path)
{
    const auto resource = co_await m_resources.read(path);
    if (!resource.ok()) {
        co_return absl::IsNotFound(resource.status())
            ? errorResponse(http::status::not_found, std::string(resource.status().message()))
            : storeUnavailableResponse();
    }
    const auto reports = co_await fetchReports();
    const RolloutStatus status = rolloutStatus(m_hostListPoller.hosts(), reports, resource->revision);
    const Json json = {{"resource", path},
                       {"revision", resource->revision},
                       {"everywhere", status.lagging.empty() && !status.applied.empty()},
                       {"inForce", status.applied},
                       {"lagging", status.lagging}};
    co_return jsonResponse(http::status::ok, json.dump());
}

Awaitable<HttpResponse> AdminProcess::handleHosts()
{
    const auto reports = co_await fetchReports();
    Json hosts = Json::array();
    for (const Host &host : m_hostListPoller.hosts()) {
        Json programs = Json::object();
        for (const char *program : {"entry", "placement"}) {
            const auto report = reports.find(host.name + "/" + program);
            programs[program] = report == reports.end() ? Json() : Json(report->second);
        }
        hosts.push_back({{"name", host.name},
                         {"address", host.address},
                         {"zone", host.zone},
                         {"leaving", host.leaving},
                         {"revisions", programs}});
    }
    co_return jsonResponse(http::status::ok, Json({{"hosts", hosts}}).dump());
}

Awaitable<HttpResponse> AdminProcess::handleWhere(const Call &call)
{
    const std::string target = "/where?service=" + encodeParameter(call.target.parameter("service"))
        + "&key=" + encodeParameter(call.target.parameter("key"));
    const auto reply = co_await queryPlacement(localPlacementEndpoint(), target);
    if (!reply.ok()) {
        co_return errorResponse(http::status::service_unavailable, "this host's placement process does not answer");
    }
    co_return jsonResponse(http::status::ok, reply->body);
}

} // namespace snipevalve
