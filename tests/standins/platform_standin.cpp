#include "standins/platform_standin.hpp"

#include <absl/strings/escaping.h>

#include "standins/thread_time.hpp"

namespace snipevalve::standins {

namespace {

constexpr const char *ConfigKey = "op/config";
constexpr std::uint16_t StorePort = 8642;
constexpr std::uint16_t ServerPort = 8080;
constexpr Milliseconds PollInterval(5);
constexpr std::chrono::seconds HistoryRetention(20);
constexpr Milliseconds CopyInterval(100);
constexpr std::chrono::seconds CopyRetention(20);
/// Time from the return of a restored store until the operators have written their configuration again.
constexpr Milliseconds ConfigRewriteDelay(500);
constexpr Milliseconds SlowAnswer(240);
constexpr std::uint64_t LostAnswerPeriod = 3;

std::string addressOf(std::uint8_t network, int host)
{
    return "127." + std::to_string(network) + ".9." + std::to_string(host);
}

Awaitable<void> sleepFor(Milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

/// A watch keeps its connection; a few hundred nodes have several each.
constexpr std::size_t MaxStoreConnections = 10'000;

PlatformStandin::PlatformStandin(std::uint8_t network)
    : m_network(network)
{
    m_acceptor = std::make_unique<Tcp::acceptor>(listenOn(m_context.get_executor(), storeEndpoint()));
    asio::co_spawn(m_context,
                   serveHttp(
                       *m_acceptor,
                       [this](const HttpRequest &request) {
                           return answerStore(request);
                       },
                       HttpServerLimits{.maxConnections = MaxStoreConnections}),
                   asio::detached);
    asio::co_spawn(m_context, expireLeases(), asio::detached);
    m_thread = std::thread([this]() {
        m_context.run();
    });
}

PlatformStandin::~PlatformStandin()
{
    m_context.stop();
    m_thread.join();
}

Endpoint PlatformStandin::storeEndpoint() const
{
    return {addressOf(m_network, 1), StorePort};
}

Milliseconds PlatformStandin::processorTime()
{
    return processorTimeOf(m_thread);
}

void PlatformStandin::putConfig(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_config = absl::Base64Escape(text);
    if (!m_isRestoring) { // else it is written after the return
        put(ConfigKey, m_config, 0);
    }
}

void PlatformStandin::putEntry(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    put(key, absl::Base64Escape(value), 0);
}

void PlatformStandin::removeEntry(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

Endpoint PlatformStandin::nextServerEndpoint() const
{
    constexpr int FirstServerHost = 10;
    const std::lock_guard lock(m_mutex);
    return {addressOf(m_network, FirstServerHost + static_cast<int>(m_servers.size())), ServerPort};
}

void PlatformStandin::addServer(const std::string &id, const std::string &service, bool keyed, Milliseconds serviceTime,
                                std::optional<Endpoint> registeredAs)
{
    UpstreamOptions options;
    options.id = id;
    options.service = service;
    options.keyed = keyed;
    options.serviceTime = serviceTime;
    options.listen = nextServerEndpoint();
    options.registeredAs = registeredAs.value_or(options.listen);
    UpstreamStandin::Handlers handlers;
    handlers.onEvent = [this](const ServerEvent &event) {
        onServerEvent(event);
    };
    handlers.onGrant = [this](const UpstreamStandin &server, const KeyRange &keys, TimePoint end) {
        onGrant(server, keys, end);
    };
    const auto server = std::make_shared<UpstreamStandin>(m_context, m_mutex, std::move(options), std::move(handlers));
    const std::lock_guard lock(m_mutex);
    server->setFault(m_faults[service]);
    server->setLateOrders(m_lateOrders);
    server->start();
    m_servers[id] = server;
    asio::co_spawn(m_context, renewEntry(server), asio::detached);
}

void PlatformStandin::crashServer(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_servers.at(id)->crash();
    erase("servers/" + id);
}

void PlatformStandin::restartServer(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    const std::shared_ptr<UpstreamStandin> server = m_servers.at(id);
    if (server->restart()) {
        asio::co_spawn(m_context, renewEntry(server), asio::detached);
    }
}

std::optional<std::int64_t> PlatformStandin::drainServer(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    UpstreamStandin &server = *m_servers.at(id);
    if (server.hasCrashed()) {
        return std::nullopt;
    }
    server.drain();
    return server.startedAtMs();
}

void PlatformStandin::announceLeaving(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_servers.at(id)->announceLeaving();
}

void PlatformStandin::pauseServer(const std::string &id, Milliseconds pause)
{
    const std::lock_guard lock(m_mutex);
    m_servers.at(id)->pauseUntil(Clock::now() + pause);
}

void PlatformStandin::leave(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_servers.at(id)->leave();
    erase("servers/" + id);
}

void PlatformStandin::setFault(const std::string &service, ServerFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_faults[service] = fault;
    for (const auto &[id, server] : m_servers) {
        if (server->options().service == service) {
            server->setFault(fault);
        }
    }
}

void PlatformStandin::setStoreFault(StoreFault fault)
{
    const std::lock_guard lock(m_mutex);
    m_storeFault = fault;
}

void PlatformStandin::compactHistory()
{
    const std::lock_guard lock(m_mutex);
    m_changes.clear();
    m_compactedRevision = m_revision;
}

void PlatformStandin::setNamesEra(bool namesEra)
{
    const std::lock_guard lock(m_mutex);
    m_namesEra = namesEra;
}

void PlatformStandin::restoreStore(Milliseconds age, Milliseconds away)
{
    const std::lock_guard lock(m_mutex);
    if (m_isRestoring || m_copies.empty()) {
        return;
    }
    const TimePoint wanted = Clock::now() - age;
    StoreCopy copy = m_copies.front();
    for (const StoreCopy &each : m_copies) {
        copy = each.at <= wanted ? each : copy;
    }
    m_isRestoring = true;
    asio::co_spawn(m_context, restoreFrom(std::move(copy), away), asio::detached);
}

bool PlatformStandin::isStoreAway() const
{
    return m_isRestoring || m_storeFault == StoreFault::Unavailable;
}

void PlatformStandin::copyStore()
{
    const TimePoint now = Clock::now();
    if (m_isRestoring || (!m_copies.empty() && now - m_copies.back().at < CopyInterval)) {
        return;
    }
    m_copies.push_back({now, m_items, m_leases, m_revision});
    while (now - m_copies.front().at > CopyRetention) {
        m_copies.pop_front();
    }
}

Awaitable<void> PlatformStandin::restoreFrom(StoreCopy copy, Milliseconds away)
{
    co_await sleepFor(away);
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = Clock::now();
        m_items = std::move(copy.items);
        m_leases = std::move(copy.leases);
        for (auto &[id, lease] : m_leases) {
            lease.expiry = now + (lease.expiry - copy.at);
        }
        m_revision = copy.revision;
        m_compactedRevision = std::min(m_compactedRevision, m_revision);
        std::erase_if(m_changes, [this](const Change &change) {
            return change.revision > m_revision;
        });
        m_copies.clear();
        ++m_era;
        m_isRestoring = false;
    }
    co_await sleepFor(ConfigRewriteDelay);
    {
        const std::lock_guard lock(m_mutex);
        const auto item = m_items.find(ConfigKey);
        const bool isNewest = item != m_items.end() && item->second.value == m_config;
        if (!m_isRestoring && !m_config.empty() && !isNewest) {
            put(ConfigKey, m_config, 0);
        }
    }
    co_await sleepFor(UpstreamStandin::SilenceTimeout - ConfigRewriteDelay);
    const std::lock_guard lock(m_mutex);
    for (const auto &[id, server] : m_servers) {
        if (!server->isRegistered()) {
            erase("servers/" + id);
        }
    }
}

void PlatformStandin::setLateOrders(bool late)
{
    const std::lock_guard lock(m_mutex);
    m_lateOrders = late;
    for (const auto &[id, server] : m_servers) {
        server->setLateOrders(late);
    }
}

std::vector<RequestArrival> PlatformStandin::runs() const
{
    std::vector<RequestArrival> all = arrivals();
    std::erase_if(all, [](const RequestArrival &arrival) {
        return !arrival.ran;
    });
    return all;
}

std::vector<RequestArrival> PlatformStandin::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

int PlatformStandin::ownershipBreaches() const
{
    const std::lock_guard lock(m_mutex);
    return m_ownershipBreaches;
}

std::string PlatformStandin::leaderOf(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto item = m_items.find("snipevalve/leader/" + std::to_string(m_namesEra ? m_era : 0) + "/" + service);
    std::string value;
    if (item == m_items.end() || !absl::Base64Unescape(item->second.value, &value)) {
        return {};
    }
    return Json::parse(value).value("host", std::string());
}

HttpResponse PlatformStandin::reply(http::status status, const Json &json)
{
    return jsonResponse(status, json.dump());
}

PlatformStandin::Json PlatformStandin::toJson(const std::string &key, const Item &item) const
{
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
}

void PlatformStandin::put(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = m_items[key];
    ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_changes.push_back({key, m_revision, toJson(key, item), Clock::now()});
    while (Clock::now() - m_changes.front().at > HistoryRetention) {
        m_compactedRevision = m_changes.front().revision;
        m_changes.pop_front();
    }
}

void PlatformStandin::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        ++m_revision;
        m_changes.push_back(
            {key, m_revision, {{"key", key}, {"revision", m_revision}, {"deleted", true}}, Clock::now()});
    }
}

Awaitable<void> PlatformStandin::expireLeases()
{
    while (true) {
        co_await sleepFor(PollInterval);
        const std::lock_guard lock(m_mutex);
        copyStore();
        removeSilentServers();
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (Clock::now() < lease->second.expiry) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : m_items) {
                if (item.lease == lease->first) {
                    keys.push_back(key);
                }
            }
            for (const std::string &key : keys) {
                erase(key);
            }
            lease = m_leases.erase(lease);
        }
    }
}

Awaitable<HttpResponse> PlatformStandin::answerStore(const HttpRequest &request)
{
    HttpResponse response = co_await answerStoreRequest(request);
    const std::lock_guard lock(m_mutex);
    if (m_namesEra) {
        response.set("Store-Era", std::to_string(m_era));
    }
    co_return response;
}

Awaitable<HttpResponse> PlatformStandin::answerStoreRequest(const HttpRequest &request)
{
    const RequestTarget target(std::string_view(request.target().data(), request.target().size()));
    StoreFault fault = StoreFault::None;
    {
        const std::lock_guard lock(m_mutex);
        fault = m_storeFault;
    }
    if (fault == StoreFault::Slow) {
        co_await sleepFor(SlowAnswer);
    }
    if (target.path() == "/kv-watch") {
        co_return co_await watch(target);
    }
    const std::lock_guard lock(m_mutex);
    co_return answerStoreCall(request, target);
}

HttpResponse PlatformStandin::answerStoreCall(const HttpRequest &request, const RequestTarget &target)
{
    if (isStoreAway()) {
        return reply(http::status::service_unavailable, Json::object());
    }
    if (target.path() == HeartbeatPath) {
        return takeHeartbeat(Json::parse(request.body()));
    }
    if (target.path() == "/kv-key") {
        const std::string key = target.parameter("key");
        const auto item = m_items.find(key);
        if (item == m_items.end()) {
            return reply(http::status::not_found, {{"current_rev", m_revision}});
        }
        Json json = toJson(key, item->second);
        json["current_rev"] = m_revision;
        return reply(http::status::ok, json);
    }
    if (target.path() == "/kv-range") {
        Json items = Json::array();
        const std::string prefix = target.parameter("prefix");
        for (const auto &[key, item] : m_items) {
            if (key.rfind(prefix, 0) == 0 && key > target.parameter("after")) {
                items.push_back(toJson(key, item));
            }
        }
        return reply(http::status::ok, {{"items", items}, {"has_more", false}, {"current_rev", m_revision}});
    }
    if (target.path() == "/kv-txn") {
        HttpResponse response = commitTransaction(Json::parse(request.body()));
        const bool isLost = m_storeFault == StoreFault::LosesAnswers && ++m_writes % LostAnswerPeriod == 0;
        return isLost ? HttpResponse(http::status::unknown, 11) : response;
    }
    if (target.path() == "/kv-lease") {
        const Milliseconds lifetime(Json::parse(request.body()).at("ttl_ms").get<std::int64_t>());
        m_leases[++m_lastLease] = {lifetime, Clock::now() + lifetime};
        return reply(http::status::ok, {{"lease", m_lastLease}, {"ttl_ms", lifetime.count()}});
    }
    const std::string keepPath = "/kv-keep/";
    if (target.path().rfind(keepPath, 0) == 0) {
        const auto lease = m_leases.find(std::stoull(target.path().substr(keepPath.size())));
        if (lease == m_leases.end()) {
            return reply(http::status::not_found, Json::object());
        }
        lease->second.expiry = Clock::now() + lease->second.lifetime;
        return reply(http::status::ok, {{"ttl_ms", lease->second.lifetime.count()}});
    }
    return reply(http::status::bad_request, Json::object());
}

HttpResponse PlatformStandin::commitTransaction(const Json &body)
{
    Json found = Json::array();
    bool revisionsMatch = true;
    for (const Json &row : body.at("expect")) {
        const std::string key = row.at("key");
        const auto item = m_items.find(key);
        const std::uint64_t revision = item == m_items.end() ? 0 : item->second.revision;
        revisionsMatch = revisionsMatch && revision == row.at("revision").get<std::uint64_t>();
        found.push_back(item == m_items.end() ? Json{{"key", key}, {"revision", 0}} : toJson(key, item->second));
    }
    if (!revisionsMatch) {
        return reply(http::status::precondition_failed, {{"items", found}, {"current_rev", m_revision}});
    }
    for (const Json &write : body.at("writes")) {
        const std::uint64_t lease = write.value("lease", std::uint64_t(0));
        if (lease != 0 && !m_leases.contains(lease)) {
            return reply(http::status::not_found, Json::object());
        }
        put(write.at("key"), write.at("value"), lease);
    }
    for (const Json &key : body.at("deletes")) {
        erase(key);
    }
    return reply(http::status::ok, {{"revision", m_revision}});
}

Awaitable<HttpResponse> PlatformStandin::watch(const RequestTarget &target)
{
    const std::string prefix = target.parameter("prefix");
    const std::uint64_t after = target.number("after", 0);
    const TimePoint end = Clock::now() + Milliseconds(target.number("wait_ms", 0));
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (isStoreAway()) {
                co_return reply(http::status::service_unavailable, Json::object());
            }
            if (after < m_compactedRevision || after > m_revision) {
                co_return reply(http::status::gone, {{"current_rev", m_revision}});
            }
            Json events = Json::array();
            auto first = m_changes.end();
            while (first != m_changes.begin() && std::prev(first)->revision > after) {
                --first;
            }
            for (; first != m_changes.end(); ++first) {
                if (first->key.rfind(prefix, 0) == 0) {
                    events.push_back(first->event);
                }
            }
            if (!events.empty() || Clock::now() >= end) {
                co_return reply(http::status::ok, {{"events", events}, {"current_rev", m_revision}});
            }
        }
        co_await sleepFor(PollInterval);
    }
}

Awaitable<void> PlatformStandin::renewEntry(std::shared_ptr<UpstreamStandin> server)
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (!server->isRegistered()) {
                co_return;
            }
            const Json entry = server->nextEntry();
            if (!isStoreAway()) {
                put("servers/" + server->options().id, absl::Base64Escape(entry.dump()), 0);
            }
        }
        co_await sleepFor(UpstreamStandin::EntryRenewalInterval);
    }
}

void PlatformStandin::onServerEvent(const ServerEvent &event)
{
    if (const auto *arrival = std::get_if<RequestArrival>(&event)) {
        m_arrivals.push_back(*arrival);
    }
}

void PlatformStandin::onGrant(const UpstreamStandin &server, const KeyRange &keys, TimePoint end)
{
    constexpr std::uint32_t SampleStep = UpstreamStandin::SampleStep;
    const TimePoint now = Clock::now();
    for (std::uint32_t key = (keys.from + SampleStep - 1) / SampleStep * SampleStep; key <= keys.to;
         key += SampleStep) {
        for (const auto &[id, other] : m_servers) {
            const bool isOther = other.get() != &server && other->options().service == server.options().service;
            const bool isBreach = isOther && end > now && other->isUsing(static_cast<std::uint16_t>(key), now);
            m_ownershipBreaches += isBreach ? 1 : 0;
        }
    }
}

/// Writes the entry of a server that is another process.
HttpResponse PlatformStandin::takeHeartbeat(const Json &entry)
{
    const std::string key = "servers/" + entry.at("id").get<std::string>();
    put(key, absl::Base64Escape(entry.at("entry").dump()), 0);
    m_heartbeats[key] = Clock::now();
    return reply(http::status::ok, Json::object());
}

void PlatformStandin::removeSilentServers()
{
    std::erase_if(m_heartbeats, [this](const auto &heartbeat) {
        const bool isSilent = Clock::now() - heartbeat.second > UpstreamStandin::SilenceTimeout;
        if (isSilent) {
            erase(heartbeat.first);
        }
        return isSilent;
    });
}

} // namespace snipevalve::standins
