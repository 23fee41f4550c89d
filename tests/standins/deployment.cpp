#include "standins/deployment.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

#include "snipevalve/net/http_client.hpp"
#include "snipevalve/net/http_server.hpp"

namespace snipevalve::standins {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t StorePort = 7000;
constexpr std::uint16_t ServerPort = 8000;
constexpr std::uint16_t EntryPort = 8080;
constexpr std::uint16_t EntryOpsPort = 8081;
constexpr std::uint16_t PlacementOpsPort = 7101;
constexpr std::uint16_t AdminPort = 7200;
constexpr unsigned Ok = 200;
constexpr unsigned Created = 201;

} // namespace

void sleepFor(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

PlainReply request(const Endpoint &endpoint, const std::string &method, const std::string &target,
                   const std::string &body, const std::string &ifMatch, Milliseconds timeout)
{
    HttpCall call;
    call.endpoint = endpoint;
    call.method = http::string_to_verb(method);
    call.target = target;
    call.body = body;
    call.ifMatch = ifMatch;
    call.timeout = timeout;
    PlainReply plain;
    asio::io_context context(1);
    HttpClient client(context.get_executor());
    const auto run = [&]() -> Awaitable<void> {
        const auto reply = co_await client.call(call);
        if (reply.ok()) {
            plain = {reply->status, reply->body};
        }
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return plain;
}

Deployment::Deployment(DeploymentFile file, DeploymentOptions options)
    : m_file(std::move(file))
    , m_options(std::move(options))
{
    std::filesystem::remove_all(m_options.folder);
    std::filesystem::create_directories(m_options.folder);
    prepareServers();
    prepareHosts();
}

std::string Deployment::address(unsigned third, unsigned fourth) const
{
    return "127." + std::to_string(m_options.network) + "." + std::to_string(third) + "." + std::to_string(fourth);
}

std::string Deployment::logPath(const std::string &name) const
{
    return m_options.folder + "/" + name + ".log";
}

std::string Deployment::serverLog() const
{
    return m_options.folder + "/runs.jsonl";
}

void Deployment::prepareServers()
{
    unsigned number = 0;
    for (const DeploymentService &service : m_file.services) {
        for (std::uint32_t index = 0; index < service.servers; ++index) {
            ++number;
            ServerProcess server;
            server.name = service.name + (index < 9 ? "-0" : "-") + std::to_string(index + 1);
            server.service = service.name;
            server.zone = m_file.zones[index % m_file.zones.size()];
            server.endpoint = {address(2, number), ServerPort};
            server.arguments = {"--listen=" + toString(server.endpoint),
                                "--name=" + server.name,
                                "--concurrency=" + std::to_string(m_file.concurrency),
                                "--service-us=" + std::to_string(service.serviceUs),
                                "--cold-start-ms=" + std::to_string(service.coldStartMs),
                                "--log=" + serverLog()};
            if (!service.checksTokens) {
                server.arguments.push_back("--no-token-check");
            }
            m_servers.push_back(std::move(server));
        }
    }
}

void Deployment::prepareHosts()
{
    for (unsigned index = 0; index < m_file.hosts; ++index) {
        HostProcesses host;
        host.name = (index < 9 ? "host-0" : "host-") + std::to_string(index + 1);
        host.address = address(1, index + 1);
        host.zone = m_file.zones[index % m_file.zones.size()];
        host.settingsFile = m_options.folder + "/" + host.name + ".toml";
        std::ofstream(host.settingsFile) << makeSettings(host);
        m_hosts.push_back(std::move(host));
    }
}

std::string Deployment::makeSettings(const HostProcesses &host) const
{
    return "[host]\nname = \"" + host.name + "\"\naddress = \"" + host.address + "\"\nzone = \"" + host.zone
        + "\"\n\n[platform]\nstore = \"" + toString(storeEndpoint()) + "\"\nhost_list = \"" + toString(storeEndpoint())
        + "\"\nhost_list_interval_ms = 250\n\n[log]\nlevel = \"" + m_options.logLevel + "\"\n"
        + m_options.extraSettings;
}

void Deployment::startStore()
{
    m_store.emplace(m_options.binaries + "/standin-store",
                    std::vector<std::string>{"--listen=" + toString(storeEndpoint())}, logPath("store"));
}

void Deployment::startServer(ServerProcess &server)
{
    server.process.emplace(m_options.binaries + "/standin-server", server.arguments, logPath(server.name));
}

void Deployment::startHost(HostProcesses &host)
{
    const std::vector<std::string> arguments = {"--config=" + host.settingsFile};
    const std::string &folder = m_options.binaries;
    host.placement.emplace(folder + "/snipevalve-placement", arguments, logPath(host.name + "-placement"));
    host.entry.emplace(folder + "/snipevalve-entry", arguments, logPath(host.name + "-entry"));
    if (m_options.adminEverywhere || &host == &m_hosts.front()) {
        host.admin.emplace(folder + "/snipevalve-admin", arguments, logPath(host.name + "-admin"));
    }
}

bool Deployment::start(Milliseconds timeout)
{
    const TimePoint deadline = Clock::now() + timeout;
    const auto remaining = [deadline]() {
        return std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    };
    startStore();
    for (ServerProcess &server : m_servers) {
        startServer(server);
    }
    if (!waitFor(remaining(), [this]() {
            return request(storeEndpoint(), "GET", "/hosts").status == Ok;
        })) {
        return false;
    }
    publishHosts();
    for (HostProcesses &host : m_hosts) {
        startHost(host);
    }
    const auto adminAnswers = [this]() {
        return request(adminEndpoint(), "GET", "/v1/services").status == Ok;
    };
    if (!waitFor(remaining(), adminAnswers) || !declareResources()) {
        return false;
    }
    const auto isReady = [this](HostProcesses &host) {
        return request({host.address, EntryOpsPort}, "GET", "/ready").status == Ok;
    };
    const auto allReady = [&]() {
        return std::all_of(m_hosts.begin(), m_hosts.end(), isReady);
    };
    return waitFor(remaining(), allReady) && waitFor(remaining(), [this]() {
               return isPlaced();
           });
}

void Deployment::publishHosts(const std::vector<std::string> &leaving, const std::vector<std::string> &gone)
{
    Json hosts = Json::array();
    const auto contains = [](const std::vector<std::string> &names, const std::string &name) {
        return std::count(names.begin(), names.end(), name) > 0;
    };
    for (const HostProcesses &host : m_hosts) {
        if (!contains(gone, host.name)) {
            hosts.push_back({{"name", host.name},
                             {"address", host.address},
                             {"zone", host.zone},
                             {"state", contains(leaving, host.name) ? "leaving" : "live"}});
        }
    }
    request(storeEndpoint(), "POST", "/hosts", Json({{"hosts", hosts}}).dump());
}

void Deployment::setStoreFaults(const std::string &faults)
{
    request(storeEndpoint(), "POST", "/standin/faults", faults);
}

Json Deployment::storeCounts()
{
    return Json::parse(request(storeEndpoint(), "GET", "/standin/counts").body, nullptr, false);
}

bool Deployment::declare(const Json &resource)
{
    const std::string page = "/v1/" + resource["kind"].get<std::string>() + "s";
    return request(adminEndpoint(), "POST", page, resource.dump()).status == Created;
}

bool Deployment::declareResources()
{
    constexpr std::uint32_t DeadlineMs = 10'000;
    bool done = true;
    for (const DeploymentService &service : m_file.services) {
        const Json spec = {{"mode", service.keyed ? "keyed" : "pool"},
                           {"slots", service.slots},
                           {"checksTokens", service.checksTokens}};
        done = done && declare({{"kind", "service"}, {"name", service.name}, {"spec", spec}});
        const Json route = {
            {"pathPrefix", "/" + service.name + "/"}, {"service", service.name}, {"deadlineMs", DeadlineMs}};
        done = done && declare({{"kind", "route"}, {"name", service.name}, {"spec", route}});
    }
    for (const ServerProcess &server : m_servers) {
        const Json spec = {{"service", server.service},
                           {"endpoint", toString(server.endpoint)},
                           {"zone", server.zone},
                           {"concurrency", m_file.concurrency}};
        done = done && declare({{"kind", "server"}, {"name", server.name}, {"spec", spec}});
    }
    return done;
}

Json Deployment::placementStatus(const HostProcesses &host)
{
    const PlainReply reply = request({host.address, PlacementOpsPort}, "GET", "/status", {}, {}, Milliseconds(1000));
    const Json status = Json::parse(reply.body, nullptr, false);
    return status.is_object() ? status : Json::object();
}

bool Deployment::isPlaced()
{
    std::size_t keyed = 0;
    for (const DeploymentService &service : m_file.services) {
        keyed += service.keyed ? 1 : 0;
    }
    const auto ownsAllSlots = [&](HostProcesses &host) {
        if (!host.placement) {
            return true;
        }
        const Json tables = placementStatus(host).value("tables", Json::array());
        const auto isFullyOwned = [](const Json &table) {
            return table["slots"] == table["held"] && table["committed"];
        };
        return tables.size() == keyed && std::all_of(tables.begin(), tables.end(), isFullyOwned);
    };
    return std::all_of(m_hosts.begin(), m_hosts.end(), ownsAllSlots);
}

Json Deployment::where(const std::string &service, const std::string &key)
{
    for (const HostProcesses &host : m_hosts) {
        if (host.placement && !host.placement->isFrozen()) {
            const std::string target = "/where?service=" + service + "&key=" + key;
            const PlainReply reply = request({host.address, PlacementOpsPort}, "GET", target);
            return Json::parse(reply.body, nullptr, false);
        }
    }
    return Json();
}

HostProcesses *Deployment::leaderOf(const std::string &group)
{
    for (HostProcesses &host : m_hosts) {
        if (!host.placement || host.placement->isFrozen()) {
            continue;
        }
        for (const Json &leadership : placementStatus(host).value("leads", Json::array())) {
            if (leadership.value("group", "") == group) {
                return &host;
            }
        }
    }
    return nullptr;
}

ServerProcess *Deployment::server(const std::string &name)
{
    const auto hasName = [&](const ServerProcess &server) {
        return server.name == name;
    };
    const auto position = std::find_if(m_servers.begin(), m_servers.end(), hasName);
    return position == m_servers.end() ? nullptr : &*position;
}

Endpoint Deployment::entryOf(const HostProcesses &host) const
{
    return {host.address, EntryPort};
}

Endpoint Deployment::opsOf(const HostProcesses &host) const
{
    return {host.address, EntryOpsPort};
}

Endpoint Deployment::adminEndpoint() const
{
    return {address(1, 1), AdminPort};
}

Endpoint Deployment::storeEndpoint() const
{
    return {address(0, 1), StorePort};
}

std::vector<HostProcesses> &Deployment::hosts()
{
    return m_hosts;
}

std::vector<ServerProcess> &Deployment::servers()
{
    return m_servers;
}

const DeploymentFile &Deployment::file() const
{
    return m_file;
}

} // namespace snipevalve::standins
