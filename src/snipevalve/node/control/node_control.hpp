#ifndef SNIPEVALVE_NODE_CONTROL_NODE_CONTROL_HPP
#define SNIPEVALVE_NODE_CONTROL_NODE_CONTROL_HPP

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <nlohmann/json.hpp>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/gateway/server_directory.hpp"
#include "snipevalve/node/control/service_leader.hpp"
#include "snipevalve/node/control/store_follower.hpp"
#include "snipevalve/node/relayed_news.hpp"
#include "snipevalve/supervisor/supervisor.hpp"

namespace snipevalve {

/// @brief The control state of a node: configuration, servers, who leads what, and the services that this host leads.
/// Lives on the control thread.
template <PlatformApi Platform>
class NodeControl
{
public:
    using Store = typename Platform::Store;

    /// @brief What the control thread tells the traffic thread.
    struct Outputs
    {
        std::function<void(std::shared_ptr<const GatewayConfig>)> config;
        std::function<void(std::map<std::string, Endpoint>)> leaders;
        std::function<void(ServiceView)> view;
        std::function<void(std::uint64_t)> requestConfig; ///< asks a leader for what has changed since a version
        std::function<bool()> needsViews; ///< whether some service has no leader that can be asked
    };

    NodeControl(asio::any_io_executor executor, const NodeSettings &settings, Outputs outputs, std::uint64_t seed)
        : m_executor(executor)
        , m_settings(settings)
        , m_outputs(std::move(outputs))
        , m_random(seed)
        , m_store(executor, settings.address, settings.store)
        , m_client(executor, settings.address)
        , m_desk(executor, settings, seed)
        , m_lease(m_store, leaseTimes(settings))
        , m_acceptor(listenOn(executor, settings.control))
    {
        m_desk.onKeyedAsk = [this](const std::string &service, std::uint16_t key, Seconds work) {
            const auto leader = m_led.find(service);
            if (leader != m_led.end()) {
                leader->second->onKeyedAsk(key, work);
            }
        };
    }

    /// @brief Adds the parts that run for good.
    void addTo(Supervisor &supervisor)
    {
        supervisor.add("config", [this]() {
            return m_configFollower.run();
        });
        supervisor.add("leaders", [this]() {
            return m_leaderFollower.run();
        });
        supervisor.add("servers", [this]() {
            return m_serverFollower.run();
        });
        supervisor.add("plans", [this]() {
            return m_planFollower.run();
        });
        supervisor.add("lease", [this]() {
            return m_lease.run();
        });
        supervisor.add("elections", [this]() {
            return elect();
        });
        supervisor.add("links", [this]() {
            return m_desk.serve(m_acceptor);
        });
        supervisor.add("time", [this]() {
            return tick();
        });
    }

    bool hasConfig() const
    {
        return m_config != nullptr;
    }

    /// @brief A leader has told what stands in the store.
    void onStoreUpdate(const StoreUpdate &news)
    {
        m_relayedAt = std::max(m_relayedAt, news.current);
        if (news.leaders) {
            applyLeaders(*news.leaders);
        }
        if (news.change) {
            applyChangeOfConfig(*news.change);
        }
        const bool isNewer = news.configVersion > configVersion();
        if (isNewer) {
            catchUp();
        }
    }

    /// @brief Gives up what this host leads, so that others take over at once.
    Awaitable<void> resign()
    {
        m_resigned = true;
        for (auto &[service, leader] : m_led) {
            leader->stop();
        }
        // A copy: the store's news of the removals changes the original meanwhile.
        const std::map<std::string, std::uint64_t> owned = m_ownedRevisions;
        for (const auto &[service, revision] : owned) {
            StoreWrite write;
            write.key = leaderKey(service);
            write.expectedRevision = revision;
            write.remove = true;
            const auto result = co_await m_store.write(write);
            spdlog::info("lead: event=resigned service={} released={}", service, result.ok() && result->committed);
        }
        m_led.clear();
        m_lease.drop();
    }

private:
    static constexpr const char *LeadersPrefix = "snipevalve/leader/";
    static constexpr const char *PlansPrefix = "snipevalve/plan/";
    static constexpr Milliseconds TickInterval{20};
    static constexpr Milliseconds ElectionInterval{50};
    /// Hosts try to take a free service over at different times, so that most of them see the winner first. Stronger
    /// hosts try sooner, since a leader works for all, and weaker ones, of which there are more, spread over a longer
    /// time; each service that a host leads already makes it try later.
    static constexpr Milliseconds DelayOfWholeCore{40};
    static constexpr Milliseconds DelayOfLedService{150};
    static constexpr Milliseconds LongestElectionDelay{900};
    /// Entries of servers change each heartbeat; reading them more often brings nothing for the bound on leaving
    /// servers.
    static constexpr Milliseconds ServersPause{600};
    /// A host that others do not depend on reads servers and plans only while some service has no leader, and then less
    /// often: the last leader's view is half a second old at most, and leaving servers have 2 s.
    static constexpr Milliseconds CalmServersPause{900};
    /// Most services have a leader again sooner than this, since it resigned or the link only broke.
    static constexpr Milliseconds ViewsDelay{300};
    /// Entries of servers lapse after three heartbeats; a shorter outage of the store removes none.
    static constexpr Milliseconds LapsingOutage{1'500};
    static constexpr Milliseconds StoreWait{2'000};
    /// A leader confirms this often that it knows the newest configuration; other hosts rely on it.
    static constexpr Milliseconds LeaderWait{900};
    /// So long after the last confirmation a leader asks the store itself: `LeaderWait`, a heartbeat of 0.3 s, the
    /// ways.
    static constexpr Milliseconds LeaderTrust{1'300};
    /// Other hosts give the leaders that time. Together with a read it stays within the 2 s that the operators allow.
    static constexpr Milliseconds HostTrust{1'600};
    /// A leader that does not answer a wish for the configuration for so long is passed over for the store.
    static constexpr Milliseconds RelayAnswerTime{250};
    /// A host that has just started asks the store only when the seeds have told nothing for so long: they and the
    /// strong hosts know what stands there within 0.5 s of a start of all.
    static constexpr Milliseconds SeedsTime{1'200};
    /// Hosts with this share of a core are the first to lead, so they read the store at once.
    static constexpr double StrongShare = 0.3;

    static LeaseTimes leaseTimes(const NodeSettings &settings)
    {
        LeaseTimes times;
        times.duration = std::max(times.duration, settings.shortestLease);
        return times;
    }

    static std::string leaderKey(const std::string &service)
    {
        return LeadersPrefix + service;
    }

    /// Whether this host is the one that reads configuration and leaders from the store for all: it leads the first
    /// service.
    bool isRelay() const
    {
        return !m_leaders.leaders.empty() && m_led.contains(m_leaders.leaders.begin()->first);
    }

    /// Whether leaders tell this host all that it would ask the store for.
    bool isRelayed() const
    {
        const Milliseconds trust = m_led.empty() ? HostTrust : LeaderTrust;
        return !isRelay() && m_config != nullptr && Clock::now() - m_relayedAt < trust;
    }

    /// Whether this host gives the seeds time to tell what it would ask the store for: hundreds of hosts that start
    /// at one moment would each read everything.
    bool isAskingSeeds() const
    {
        const bool isSeed = m_settings.seeds.empty()
            || std::find(m_settings.seeds.begin(), m_settings.seeds.end(), m_settings.control)
                != m_settings.seeds.end();
        const bool isStrong = m_settings.processorShare >= StrongShare;
        return !isSeed && !isStrong && Clock::now() - m_startedAt < SeedsTime;
    }

    FollowHandlers configHandlers()
    {
        FollowHandlers handlers;
        handlers.isWanted = [this]() {
            return !isRelayed() && !isAskingSeeds();
        };
        handlers.isCalm = [this]() {
            return m_led.empty();
        };
        handlers.onList = [this](const StoredList &list) {
            for (const StoredValue &value : list.values) {
                applyConfig(value);
            }
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            applyConfig(event.value);
        };
        return handlers;
    }

    void applyConfig(const StoredValue &value)
    {
        if (value.key != Platform::configKey()) {
            return;
        }
        const auto read = Platform::parseConfig(value.value);
        if (!read.ok()) {
            spdlog::error("config: event=unreadable revision={} reason=\"{}\"", value.revision,
                          escapeQuotedText(std::string(read.status().message())));
            return;
        }
        logFindings(read->findings, value.revision);
        putInForce(read->config, "store", value.revision);
    }

    /// Each finding is logged when it first comes; the following versions mostly hold it too.
    void logFindings(const Findings &findings, std::uint64_t revision)
    {
        constexpr std::size_t MostLines = 100; ///< a version can hold thousands
        std::set<std::string> lines;
        for (const Finding &finding : findings.all()) {
            std::string line = finding.place + ": " + finding.message;
            if (!m_configFindings.contains(line) && lines.size() < MostLines) {
                spdlog::error("config: event=finding revision={} place=\"{}\" reason=\"{}\"", revision,
                              escapeQuotedText(finding.place), escapeQuotedText(finding.message));
            }
            lines.insert(std::move(line));
        }
        m_configFindings = std::move(lines);
    }

    std::uint64_t configVersion() const
    {
        return m_config ? m_config->version : 0;
    }

    /// @param revision the store's; 0 when a leader told the configuration
    void putInForce(std::shared_ptr<const GatewayConfig> config, const char *source, std::uint64_t revision)
    {
        if (config->version <= configVersion()) {
            return;
        }
        m_config = std::move(config);
        spdlog::info("config: event=in_force version={} source={} revision={} services={}", m_config->version, source,
                     revision, m_config->services.size());
        m_desk.setConfig(m_config);
        m_outputs.config(m_config);
    }

    void applyChangeOfConfig(const ConfigChange &change)
    {
        auto config = applyChange(m_config.get(), change);
        if (!config) {
            spdlog::info("config: event=change_not_used base={} version={} known={}", change.base, change.version,
                         configVersion());
            return;
        }
        putInForce(std::move(config), "leader", 0);
    }

    /// A leader knows a newer version. It is asked first, then the store.
    void catchUp()
    {
        const TimePoint now = Clock::now();
        const bool isAskedAlready = m_askedBase == configVersion();
        if (!isAskedAlready) {
            m_askedBase = configVersion();
            m_askedAt = now;
            m_outputs.requestConfig(configVersion());
        } else if (now - m_askedAt >= RelayAnswerTime && !m_isReadingConfig && m_reach.mayCall(now)) {
            m_isReadingConfig = true;
            asio::co_spawn(m_executor, readConfig(), LogFailure("config"));
        }
    }

    Awaitable<void> readConfig()
    {
        const auto value = co_await m_store.read(Platform::configKey());
        m_isReadingConfig = false;
        m_askedBase.reset();
        if (!value.ok()) {
            m_reach.onFailure(Clock::now());
            spdlog::warn("config: event=not_read reason=\"{}\"",
                         escapeQuotedText(std::string(value.status().message())));
            co_return;
        }
        m_reach.onAnswer();
        if (value->revision != 0) {
            applyConfig(*value);
        }
    }

    FollowHandlers leaderHandlers()
    {
        FollowHandlers handlers;
        handlers.isWanted = [this]() {
            return !isRelayed() && !isAskingSeeds();
        };
        handlers.isCalm = [this]() {
            return m_led.empty();
        };
        handlers.onList = [this](const StoredList &list) {
            m_leaders.leaders.clear();
            for (const StoredValue &value : list.values) {
                applyLeader(value);
            }
            m_leadersKnown = true;
            m_leaders.revision = std::max(m_leaders.revision, list.revision);
            announceLeaders();
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            if (event.removed) {
                const std::string service = event.value.key.substr(std::string(LeadersPrefix).size());
                m_leaders.leaders.erase(service);
                spdlog::info("lead: event=leader_gone service={} revision={}", service, event.value.revision);
                const auto owned = m_ownedRevisions.find(service);
                if (owned != m_ownedRevisions.end() && event.value.revision > owned->second) {
                    stopLeading(service, "the lease has ended");
                }
            } else {
                applyLeader(event.value);
            }
            m_leaders.revision = std::max(m_leaders.revision, event.value.revision);
            announceLeaders();
        };
        return handlers;
    }

    /// What a leader says of all leaders; older news than this host's own are ignored.
    void applyLeaders(const LeaderTable &table)
    {
        if (table.revision <= m_leaders.revision) {
            return;
        }
        const std::map<std::string, std::uint64_t> owned = m_ownedRevisions;
        for (const auto &[service, revision] : owned) {
            const auto leader = table.leaders.find(service);
            const bool isKnown = table.revision >= revision;
            const bool isOurs = leader != table.leaders.end() && leader->second.revision == revision;
            if (isKnown && !isOurs) {
                stopLeading(service, "the lease has ended or another host has taken it over");
            }
        }
        for (const auto &[service, leader] : table.leaders) {
            const auto known = m_leaders.leaders.find(service);
            if (known == m_leaders.leaders.end() || !(known->second == leader)) {
                spdlog::info("lead: event=leader service={} address={} revision={} source=leader", service,
                             toString(leader.endpoint), leader.revision);
            }
        }
        m_leaders = table;
        for (const auto &[service, revision] : m_ownedRevisions) {
            m_leaders.leaders[service] = {m_settings.control, revision}; // newer than the table
        }
        m_leadersKnown = true;
        announceLeaders();
    }

    void applyLeader(const StoredValue &value)
    {
        const std::string service = value.key.substr(std::string(LeadersPrefix).size());
        const auto json = nlohmann::json::parse(value.value, nullptr, false);
        const auto endpoint = json.is_object() ? parseEndpoint(json.value("address", std::string())) : std::nullopt;
        if (!endpoint) {
            spdlog::error("lead: event=unreadable service={} revision={}", service, value.revision);
            return;
        }
        m_leaders.leaders[service] = {*endpoint, value.revision};
        spdlog::info("lead: event=leader service={} host={} revision={}", service, json.value("host", std::string()),
                     value.revision);
        const auto owned = m_ownedRevisions.find(service);
        const bool isReplaced = owned != m_ownedRevisions.end() && value.revision > owned->second;
        if (isReplaced) {
            stopLeading(service, "another host has taken it over");
        }
        const bool isStray = *endpoint == m_settings.control && !m_led.contains(service) && service != m_takingOver;
        if (isStray) {
            asio::co_spawn(m_executor, removeStray(service, value.revision), LogFailure("lead"));
        }
    }

    /// Removes a key that names this host as a leader although it does not lead: an earlier life of the process wrote
    /// it, or the answer to its write was lost. Nobody else could lead until its lease ends, which may be never.
    Awaitable<void> removeStray(std::string service, std::uint64_t revision)
    {
        StoreWrite write;
        write.key = leaderKey(service);
        write.expectedRevision = revision;
        write.remove = true;
        const auto result = co_await m_store.write(write);
        spdlog::info("lead: event=stray_removed service={} revision={} removed={}", service, revision,
                     result.ok() && result->committed);
    }

    void announceLeaders()
    {
        m_desk.setLeaders(m_leaders);
        std::map<std::string, Endpoint> endpoints;
        for (const auto &[service, leader] : m_leaders.leaders) {
            endpoints[service] = leader.endpoint;
        }
        m_outputs.leaders(std::move(endpoints));
    }

    /// Whether servers and plans have to be read from the store, since some service has had no leader for a moment.
    bool needsViews()
    {
        const TimePoint now = Clock::now();
        if (!m_outputs.needsViews()) {
            m_ledAt = now;
        }
        return now - m_ledAt >= ViewsDelay;
    }

    FollowHandlers serverHandlers()
    {
        FollowHandlers handlers;
        handlers.isWanted = [this]() {
            const bool isWanted = !m_led.empty() || needsViews();
            m_serversKnown = m_serversKnown && isWanted;
            return isWanted;
        };
        handlers.isCalm = [this]() {
            return m_led.empty();
        };
        handlers.onReturn = [this](Duration outage) {
            if (outage >= LapsingOutage) {
                m_directory.onStoreBack(Clock::now());
            }
        };
        handlers.onList = [this](const StoredList &list) {
            if (!m_serversKnown) {
                m_directory.clear(); // what this host knew when it last followed may have left long ago
            }
            std::vector<std::string> ids;
            for (const StoredValue &value : list.values) {
                ids.push_back(serverId(value.key));
                applyServer(value);
            }
            m_directory.onListed(ids, Clock::now());
            m_serversKnown = true;
            m_viewsStale = true;
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            if (event.removed) {
                m_directory.onRemoved(serverId(event.value.key), Clock::now());
                spdlog::info("servers: event=removed server={} revision={}", serverId(event.value.key),
                             event.value.revision);
            } else {
                applyServer(event.value);
            }
        };
        return handlers;
    }

    static std::string serverId(const std::string &key)
    {
        return key.substr(Platform::serversPrefix().size());
    }

    void applyServer(const StoredValue &value)
    {
        const std::string id = serverId(value.key);
        const auto server = Platform::parseServer(id, value.value);
        if (!server.ok()) {
            spdlog::warn("servers: event=unreadable server={} revision={} reason=\"{}\"", escapeLogValue(id),
                         value.revision, escapeQuotedText(std::string(server.status().message())));
            m_directory.onEntry(id, std::nullopt);
            return;
        }
        m_directory.onEntry(id, *server);
    }

    /// The plans are read only while some keyed service has no leader that can be asked.
    FollowHandlers planHandlers()
    {
        FollowHandlers handlers;
        handlers.isWanted = [this]() {
            return needsViews();
        };
        handlers.isCalm = [this]() {
            return m_led.empty();
        };
        handlers.onList = [this](const StoredList &list) {
            for (const StoredValue &value : list.values) {
                applyPlan(value);
            }
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            applyPlan(event.value);
        };
        return handlers;
    }

    void applyPlan(const StoredValue &value)
    {
        const auto plan = parseKeyPlan(value.value);
        if (!plan.ok()) {
            return; // a leader reports it; hosts keep what they know
        }
        std::vector<OwnedRange> ranges;
        for (const PlannedRange &range : plan->ranges) {
            ranges.push_back({range.keys, range.owner.id});
        }
        m_plannedOwners[value.key.substr(std::string(PlansPrefix).size())] = KeyOwners(std::move(ranges));
        m_viewsStale = true;
    }

    /// Takes over services that have no leader.
    Awaitable<void> elect()
    {
        asio::steady_timer timer(m_executor);
        ErrorCode ignored;
        while (true) {
            timer.expires_after(ElectionInterval);
            co_await timer.async_wait(awaitInto(ignored));
            const std::string service = freeService();
            if (service.empty()) {
                continue;
            }
            timer.expires_after(electionDelay());
            co_await timer.async_wait(awaitInto(ignored));
            if (isFree(service) && m_reach.mayCall(Clock::now())) {
                m_takingOver = service;
                co_await takeOver(service);
                m_takingOver.clear();
            }
        }
    }

    Milliseconds electionDelay()
    {
        const auto byStrength =
            static_cast<std::int64_t>(static_cast<double>(DelayOfWholeCore.count()) / m_settings.processorShare);
        std::uniform_int_distribution<std::int64_t> spread(0, byStrength);
        const Milliseconds byLoad = DelayOfLedService * static_cast<std::int64_t>(m_led.size());
        return std::min(Milliseconds(byStrength) + byLoad, LongestElectionDelay) + Milliseconds(spread(m_random));
    }

    bool isFree(const std::string &service) const
    {
        return m_leadersKnown && !m_resigned && !m_leaders.leaders.contains(service) && !m_led.contains(service);
    }

    std::string freeService() const
    {
        if (!m_config) {
            return {};
        }
        for (const auto &[name, service] : m_config->services) {
            if (isFree(name)) {
                return name;
            }
        }
        return {};
    }

    Awaitable<void> takeOver(std::string service)
    {
        const std::uint64_t lease = co_await m_lease.open();
        if (lease == 0) {
            m_reach.onFailure(Clock::now());
            co_return;
        }
        m_reach.onAnswer();
        nlohmann::json json{{"host", m_settings.host},
                            {"address", toString(m_settings.control)},
                            {"nonce", std::to_string(m_random())}};
        StoreWrite write;
        write.key = leaderKey(service);
        write.value = json.dump();
        write.lease = lease;
        constexpr Milliseconds TryFor(1'000);
        const auto result = co_await writeSurely(m_store, write, Clock::now() + TryFor);
        if (!result.ok() || !result->committed || !m_config || !m_config->service(service)) {
            if (absl::IsNotFound(result.status()) || m_led.empty()) {
                m_lease.drop(); // a lease that protects nothing is not worth its renewals
            }
            co_return;
        }
        m_ownedRevisions[service] = result->current.revision;
        m_leaders.leaders[service] = {m_settings.control, result->current.revision};
        spdlog::info("lead: event=taken_over service={} revision={} lease={}", service, result->current.revision,
                     lease);
        const auto leader = std::make_shared<ServiceLeader<Platform>>(
            m_executor, m_store, m_client, m_desk, m_lease, *m_config->service(service), m_settings.longestGrant);
        m_led[service] = leader;
        m_viewsStale = true;
        if (!co_await leader->start()) {
            stopLeading(service, "the plan can't be read");
        }
        announceLeaders();
    }

    void stopLeading(const std::string &service, const std::string &reason)
    {
        const auto leader = m_led.find(service);
        if (leader != m_led.end()) {
            spdlog::warn("lead: event=stopped service={} reason=\"{}\"", service, reason);
            leader->second->stop();
            m_led.erase(leader);
        }
        const auto owned = m_ownedRevisions.find(service);
        if (owned != m_ownedRevisions.end()) {
            asio::co_spawn(m_executor, removeStray(service, owned->second), LogFailure("lead"));
            m_ownedRevisions.erase(owned);
        }
        if (m_led.empty()) {
            m_lease.drop();
        }
    }

    Awaitable<void> tick()
    {
        asio::steady_timer timer(m_executor);
        ErrorCode ignored;
        while (true) {
            timer.expires_after(TickInterval);
            co_await timer.async_wait(awaitInto(ignored));
            advance();
        }
    }

    void advance()
    {
        const bool serversChanged = m_directory.advance(Clock::now()) || m_viewsStale;
        m_viewsStale = false;
        std::vector<std::string> lost;
        for (auto &[service, leader] : m_led) {
            if (serversChanged && m_serversKnown) {
                leader->setServers(m_directory.serversOf(service));
            }
            leader->advance();
            if (leader->isStopped()) {
                lost.push_back(service);
            }
        }
        for (const std::string &service : lost) {
            stopLeading(service, "superseded");
        }
        if (serversChanged && m_serversKnown && m_config && needsViews()) {
            publishViews();
        }
        // What another leader has told is not passed on: each hop would make it look newer by the time on the way.
        m_desk.setCurrent(std::min(m_configFollower.currentAt(), m_leaderFollower.currentAt()));
        m_desk.advance();
    }

    void publishViews()
    {
        for (const auto &[name, service] : m_config->services) {
            ServiceView view{name, service.keyed, m_directory.serversOf(name), {}};
            const auto owners = m_plannedOwners.find(name);
            if (owners != m_plannedOwners.end()) {
                view.owners = owners->second;
            }
            m_outputs.view(std::move(view));
        }
    }

    asio::any_io_executor m_executor;
    const NodeSettings &m_settings;
    Outputs m_outputs;
    std::mt19937_64 m_random;
    Store m_store;
    HttpClient m_client;
    LeaderDispatcher m_desk;
    LeaseHolder<Store> m_lease;
    Tcp::acceptor m_acceptor;
    StoreReach m_reach;
    StoreFollower<Store> m_configFollower{
        m_store, m_reach, {Platform::configKey(), LeaderWait, StoreWait, {}, {}}, configHandlers()};
    StoreFollower<Store> m_leaderFollower{
        m_store, m_reach, {LeadersPrefix, LeaderWait, StoreWait, {}, {}}, leaderHandlers()};
    StoreFollower<Store> m_serverFollower{
        m_store,
        m_reach,
        {Platform::serversPrefix(), StoreWait, StoreWait, ServersPause, CalmServersPause},
        serverHandlers()};
    StoreFollower<Store> m_planFollower{
        m_store, m_reach, {PlansPrefix, StoreWait, StoreWait, ServersPause, CalmServersPause}, planHandlers()};
    std::shared_ptr<const GatewayConfig> m_config;
    std::set<std::string> m_configFindings; ///< of the newest configuration that was read
    bool m_isReadingConfig = false;
    std::optional<std::uint64_t> m_askedBase; ///< the version from which a leader was last asked to go on
    TimePoint m_askedAt;
    TimePoint m_relayedAt; ///< a leader knew the newest configuration and leaders at this time
    TimePoint m_ledAt; ///< when each service last had a leader that could be asked
    LeaderTable m_leaders;
    bool m_leadersKnown = false;
    std::map<std::string, std::uint64_t> m_ownedRevisions; ///< of the leader keys that this host has written
    std::map<std::string, std::shared_ptr<ServiceLeader<Platform>>> m_led;
    ServerDirectory m_directory;
    bool m_serversKnown = false;
    const TimePoint m_startedAt = Clock::now();
    std::map<std::string, KeyOwners> m_plannedOwners;
    bool m_viewsStale = false;
    bool m_resigned = false;
    std::string m_takingOver; ///< the service of the takeover under way
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_NODE_CONTROL_HPP
