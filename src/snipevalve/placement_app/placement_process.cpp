#include "snipevalve/placement_app/placement_process.hpp"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include "snipevalve/core/hash.hpp"
#include "snipevalve/routing/slot_load.hpp"
#include "snipevalve/routing/slot_table.hpp"

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr double LoadScale = 16; ///< loads are sent in sixteenths of a request per second

LinkHubOptions linkOptions(const Settings &settings)
{
    LinkHubOptions options;
    options.node = settings.hostName + "/placement";
    options.role = "placement";
    return options;
}

Endpoint linkEndpoint(const Settings &settings, const std::string &address)
{
    return {address, static_cast<std::uint16_t>(settings.linkPort)};
}

} // namespace

PlacementProcess::PlacementProcess(asio::io_context &context, const Settings &settings)
    : m_context(context)
    , m_settings(settings)
    , m_store(context.get_executor(), settings.storeEndpoint, settings.storeTimeout, settings.hostAddress)
    , m_client(context.get_executor(), settings.hostAddress)
    , m_hub(context.get_executor(), linkOptions(settings))
    , m_placementContext{context.get_executor(), settings, m_store, m_client, m_hub, m_catalog}
    , m_leadership(m_placementContext)
    , m_storeWatcher(m_placementContext)
    , m_hostListPoller(context.get_executor(), m_client, settings.hostListEndpoint, settings.hostListInterval,
                       [this](const HostList &hosts) {
                           onHosts(hosts);
                       })
    , m_reporter(context.get_executor(), m_hub, settings.hostName + "/placement")
    , m_acceptor(listenOn(context.get_executor(),
                          {settings.hostAddress, static_cast<std::uint16_t>(settings.placementOpsPort)}))
    , m_supervisor(context.get_executor(), "placement", {}, [this]() {
        m_exitCode = ExitCode::Failure;
        m_context.stop();
    })
{
    m_hub.setListener([this](const Item &item) {
        onItem(item);
    });
    m_hub.listen(linkEndpoint(settings, settings.hostAddress));
}

ExitCode PlacementProcess::run()
{
    Supervisor &control = m_supervisor.addSupervisor("control");
    control.add("links", [this]() {
        return m_hub.run();
    });
    control.add("hosts", [this]() {
        return m_hostListPoller.run();
    });
    control.add("store", [this]() {
        return m_storeWatcher.run();
    });
    control.add("reports", [this]() {
        return m_reporter.run();
    });
    Supervisor &groups = m_supervisor.addSupervisor("groups");
    groups.add("vacancies", [this]() {
        return m_leadership.runElections();
    });
    groups.add("lease", [this]() {
        return m_leadership.keepLeaseAlive();
    });
    groups.add("loads", [this]() {
        return collectLoads();
    });
    m_supervisor.add("status", [this]() {
        return serveHttp(
            m_acceptor,
            [this](const HttpRequest &request) {
                return handle(request);
            },
            HttpServerLimits{.bodyBytes = 0});
    });
    m_supervisor.start();
    const StopSignals signals(m_context.get_executor(), [this]() {
        asio::co_spawn(m_context, stop(), asio::detached);
    });
    m_context.run();
    return m_exitCode;
}

Awaitable<void> PlacementProcess::stop()
{
    spdlog::info("placement: stopping, handing over the groups led by this host");
    co_await m_leadership.handOver();
    spdlog::info("placement: stopped");
    m_context.stop();
}

void PlacementProcess::onItem(const Item &item)
{
    if (item.key.kind == ItemKind::Resource) {
        m_catalog.apply(item);
        m_leadership.updateMembers();
        asio::post(m_context, [this]() {
            m_reporter.update();
        });
    } else if (item.key.kind == ItemKind::Load) {
        m_loadAggregator.apply(item, Clock::now());
    }
}

void PlacementProcess::onHosts(const HostList &hosts)
{
    m_leadership.setHosts(hosts);
    m_relays = chooseRelays(hosts, m_settings.relayCount);
    const auto isSelf = [this](const Host &host) {
        return host.name == m_settings.hostName;
    };
    const bool isRelay = std::any_of(m_relays.begin(), m_relays.end(), isSelf);
    std::vector<Endpoint> candidates;
    for (const Host &relay : m_relays) {
        // Between two relays, the one whose name sorts first opens the link.
        if (!isSelf(relay) && (!isRelay || m_settings.hostName < relay.name)) {
            candidates.push_back(linkEndpoint(m_settings, relay.address));
        }
    }
    const std::size_t count = isRelay ? candidates.size() : 1;
    if (!isRelay && !candidates.empty()) {
        const std::size_t first = hashOf(m_settings.hostName) % candidates.size();
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    }
    m_storeWatcher.setActive(isRelay);
    m_hub.setRole(isRelay ? "relay" : "placement");
    m_hub.setCandidates(std::move(candidates), count);
}

/// Each relay knows only the loads of the entry processes connected to it, so the leader adds up those of all relays.
Awaitable<void> PlacementProcess::collectLoads()
{
    asio::steady_timer timer(m_context);
    while (true) {
        timer.expires_after(m_settings.balanceInterval);
        co_await timer.async_wait(asio::use_awaitable);
        std::vector<GroupId> groups;
        for (const auto &[group, runner] : m_leadership.runners()) {
            groups.push_back(group);
        }
        const HostList relays = m_relays;
        for (const GroupId &group : groups) {
            std::vector<double> sum;
            for (const Host &relay : relays) {
                const std::vector<double> loads = co_await fetchLoads(relay, toString(group));
                sum.resize(std::max(sum.size(), loads.size()), 0.0);
                std::transform(loads.begin(), loads.end(), sum.begin(), sum.begin(), std::plus<>());
            }
            m_leadership.updateLoads(group, sum);
        }
    }
}

Awaitable<std::vector<double>> PlacementProcess::fetchLoads(Host relay, std::string group)
{
    if (relay.name == m_settings.hostName) {
        co_return m_loadAggregator.loadsOf(group, Clock::now());
    }
    HttpCall call;
    call.endpoint = {relay.address, static_cast<std::uint16_t>(m_settings.placementOpsPort)};
    call.target = "/loads?group=" + encodeParameter(group);
    const auto reply = co_await m_client.call(std::move(call));
    std::vector<double> loads;
    if (reply.ok()) {
        for (const std::uint32_t count : decodeSlotCounts(reply->body)) {
            loads.push_back(static_cast<double>(count) / LoadScale);
        }
    }
    co_return loads;
}

std::string PlacementProcess::encodedLoads(const std::string &group) const
{
    std::vector<std::uint32_t> counts;
    for (const double load : m_loadAggregator.loadsOf(group, Clock::now())) {
        counts.push_back(static_cast<std::uint32_t>(load * LoadScale));
    }
    return encodeSlotCounts(counts);
}

Awaitable<HttpResponse> PlacementProcess::handle(const HttpRequest &request)
{
    const RequestTarget target(std::string(request.target()));
    if (target.path() == "/status") {
        co_return jsonResponse(http::status::ok, status());
    }
    if (target.path() == "/loads") {
        co_return jsonResponse(http::status::ok, encodedLoads(target.parameter("group")));
    }
    if (target.path() == "/where") {
        co_return jsonResponse(http::status::ok, where(target.parameter("service"), target.parameter("key")));
    }
    co_return jsonResponse(http::status::not_found, R"({"error":"no such page"})");
}

std::string PlacementProcess::status() const
{
    Json groups = Json::array();
    for (const auto &[group, runner] : m_leadership.runners()) {
        const bool hasAuthority = runner->authority().hasAuthority(Clock::now());
        groups.push_back(
            {{"group", toString(group)}, {"term", runner->authority().term()}, {"authority", hasAuthority}});
    }
    Json relays = Json::array();
    for (const Host &relay : m_relays) {
        relays.push_back(relay.address + ":" + std::to_string(m_settings.placementOpsPort));
    }
    Json reports = Json::array();
    m_hub.items().forEach(ItemKind::Report, [&](const Item &item) {
        reports.push_back(Json::parse(item.payload, nullptr, false));
    });
    Json tables = Json::array();
    m_hub.items().forEach(ItemKind::Table, [&](const Item &item) {
        const auto table = decodeTable(item.payload);
        if (table) {
            const auto held = std::count_if(table->owners.begin(), table->owners.end(), [](ServerIndex owner) {
                return owner != NoServer;
            });
            tables.push_back({{"group", item.key.name},
                              {"version", toString(table->version)},
                              {"leader", table->leader},
                              {"committed", table->committed},
                              {"slots", table->owners.size()},
                              {"held", held}});
        }
    });
    return Json({{"host", m_settings.hostName},
                 {"relay", m_storeWatcher.isActive()},
                 {"relays", relays},
                 {"revision", m_hub.items().resourceRevision()},
                 {"links", m_hub.openLinks()},
                 {"sinceStoreAnswerMs", m_storeWatcher.timeSinceAnswer().count()},
                 {"leads", groups},
                 {"tables", tables},
                 {"reports", reports}})
        .dump();
}

std::string PlacementProcess::where(const std::string &service, const std::string &key) const
{
    const Service *found = m_catalog.service(service);
    if (found == nullptr || found->mode != ServiceMode::Keyed) {
        return R"({"error":"no such keyed service"})";
    }
    const KeyPlace place = placeOf(key, found->groups, found->slots);
    const GroupId group = {service, place.group};
    const Item *item = m_hub.items().find({ItemKind::Table, toString(group)});
    const auto table = item == nullptr ? std::nullopt : decodeTable(item->payload);
    if (!table) {
        return R"({"error":"the group has no table yet"})";
    }
    return Json({{"service", service},
                 {"key", key},
                 {"group", toString(group)},
                 {"slot", place.slot},
                 {"server", std::string(table->ownerOf(place.slot))},
                 {"token", toString(table->version)},
                 {"leader", table->leader},
                 {"committed", table->committed}})
        .dump();
}

} // namespace snipevalve
