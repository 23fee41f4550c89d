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
#include "snipevalve/gateway/evacuations.hpp"
#include "snipevalve/gateway/server_directory.hpp"
#include "snipevalve/node/control/operator_keys.hpp"
#include "snipevalve/node/control/prefix_watcher.hpp"
#include "snipevalve/node/control/service_leader.hpp"
#include "snipevalve/node/deputy_ask.hpp"
#include "snipevalve/node/store_update.hpp"
#include "snipevalve/supervisor/supervisor.hpp"

namespace snipevalve {

/// @brief The control state of a node: configuration, servers, leaders, and the services that this host leads.
///
/// Lives on the control thread.
template <PlatformApi Platform>
class NodeControl
{
public:
    using Store = typename Platform::Store;

    /// @brief Calls from the control thread to the traffic thread.
    struct Outputs
    {
        std::function<void(std::shared_ptr<const GatewayConfig>)> config;
        std::function<void(std::map<std::string, Endpoint>)> leaders;
        std::function<void(Evacuations)> evacuations;
        std::function<void(ServiceView)> view;
        std::function<void(std::uint64_t)> requestConfig; ///< requests the changes since a version from a leader
        std::function<void(DeputyAsk)> deputyConsent; ///< tells a leader that this host consents to long holds
        std::function<void(KnownView)> knownView; ///< a view that another host has passed on
        /// Passes the views that the traffic thread knows to the second argument, on the control thread.
        std::function<void(std::vector<std::string>, LeaderDispatcher::KnownViewsReply)> readKnownViews;
        std::function<void(std::size_t)> hostCount; ///< the number of hosts connected to this one
        std::function<bool()> needsViews; ///< whether some service has no reachable leader
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
        , m_consents(settings.run)
        , m_acceptor(listenOn(executor, settings.controlListen))
    {
        m_desk.onKeyedAsk = [this](const std::string &service, std::uint16_t key, Seconds work) {
            const auto leader = m_ledServices.find(service);
            if (leader != m_ledServices.end()) {
                leader->second->onKeyedAsk(key, work);
            }
        };
        m_desk.onDeputyConsent = [this](const std::string &service, std::uint64_t term, std::uint64_t epoch) {
            const auto leader = m_ledServices.find(service);
            if (leader != m_ledServices.end()) {
                leader->second->onDeputyConsent(term, epoch);
            }
        };
        m_store.setOnRestored([this](std::uint64_t era) {
            onStoreRestored(era);
        });
        m_desk.onServerLeaving = [this]() {
            m_viewsChanged = true;
        };
        m_desk.onViewsWanted = m_outputs.readKnownViews;
        m_desk.onKnownView = m_outputs.knownView;
        m_desk.onHostCount = m_outputs.hostCount;
    }

    /// @brief Notes the services whose leaders have named this host as deputy: it takes them over first.
    void onDeputyOf(const std::vector<std::string> &services)
    {
        m_deputyOf.insert(services.begin(), services.end());
    }

    /// @brief Consents to long holds of a leader that the store does not answer, unless the store answers this host or
    /// another leader: then another host can take over, and long holds would only delay it.
    void onDeputyAsk(const DeputyAsk &ask)
    {
        const TimePoint now = Clock::now();
        if (now - m_deputyProbe.startedAt >= DeputyProbeLifetime) {
            m_deputyProbe = {now, {}};
            asio::co_spawn(m_executor, probeStore(ask.service), LogFailure("own"));
        }
        const bool isUndecided = !m_deputyProbe.answers && ask.outage < LongestDeputyDoubt;
        const bool answersOthers = ask.othersAnsweredAt && now - *ask.othersAnsweredAt < FreshLeaseAge;
        if (isUndecided || answersOthers || m_deputyProbe.answers.value_or(false)) {
            return;
        }
        const bool consents = m_consents.consent(ask.service, ask.term, ask.deputy);
        spdlog::info("own: event=asked_as_deputy service={} term={} epoch={} outage_ms={} consents={}",
                     escapeLogValue(ask.service), ask.term, ask.deputy.epoch, ask.outage.count(), consents);
        if (consents) {
            m_outputs.deputyConsent(ask);
        }
    }

    /// @brief Asks the connected hosts for views that the traffic thread lacks.
    void requestViews(const std::vector<std::string> &services)
    {
        m_desk.requestViews(services);
    }

    /// @brief Adds the long-running tasks to the supervisor.
    void addTo(Supervisor &supervisor)
    {
        supervisor.add("config", [this]() {
            return m_configWatcher.run();
        });
        supervisor.add("leaders", [this]() {
            return m_leaderWatcher.run();
        });
        supervisor.add("servers", [this]() {
            return m_serverWatcher.run();
        });
        supervisor.add("plans", [this]() {
            return m_planWatcher.run();
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

    /// @brief Handles what a leader has relayed of the store's content.
    void onLeaderUpdate(const StoreUpdate &news)
    {
        m_leadersUpToDateAt = std::max(m_leadersUpToDateAt, news.storeReadTime);
        if (news.leaders) {
            applyLeaders(*news.leaders);
        }
        if (news.evacuations) {
            m_operatorKeys.adopt(*news.evacuations);
        }
        if (news.change) {
            applyConfigChange(*news.change);
        }
        const bool isNewer = news.configVersion > configVersion();
        if (isNewer) {
            catchUp();
        }
    }

    /// @brief Gives up all leaderships, so that other hosts take over without waiting for the lease to expire.
    Awaitable<void> resign()
    {
        m_resigned = true;
        for (auto &[service, leader] : m_ledServices) {
            leader->stop();
        }
        // Copies, since the watch events of these removals and a restore of the store modify the originals.
        const std::map<std::string, std::uint64_t> owned = m_leaderKeyRevisions;
        const std::uint64_t era = m_store.era();
        for (const auto &[service, revision] : owned) {
            const auto leader = m_ledServices.find(service);
            if (leader != m_ledServices.end() && !leader->second->mayResign()) {
                continue; // the lease ends soon after the process
            }
            StoreWrite write;
            write.key = eraKey(LeadersPrefix, era, service);
            write.expectedRevision = revision;
            write.remove = true;
            const auto result = co_await m_store.write(write);
            spdlog::info("lead: event=resigned service={} released={}", service, result.ok() && result->committed);
        }
        m_ledServices.clear();
        m_lease.drop();
    }

private:
    static constexpr const char *LeadersPrefix = "snipevalve/leader/";
    static constexpr Milliseconds TickInterval{20};
    static constexpr Milliseconds ElectionInterval{50};
    /// Hosts delay their attempt to take over a leaderless service by different times, so that most of them see the
    /// winner first. Hosts with more processor share try sooner, since a leader works for all hosts; the many weaker
    /// ones spread over a longer time. Each service that a host already leads adds to its delay.
    static constexpr Milliseconds WholeCoreDelay{40};
    static constexpr Milliseconds DelayPerLedService{150};
    static constexpr Milliseconds MaxElectionDelay{900};
    /// After a restore of the store, other hosts leave a service to its previous leader for this long, since it alone
    /// knows the owners of the keys.
    static constexpr Milliseconds PreviousLeaderPriority{1'000};
    /// Server entries change with each heartbeat. Reading them more often than this would not be needed to meet the
    /// bound on noticing servers that leave.
    static constexpr Milliseconds ServerWatchPause{600};
    /// A passive host reads servers and plans only while some service has no leader, and less often: the last leader's
    /// view is at most half a second old, and the bound on noticing servers that leave is 2 s.
    static constexpr Milliseconds PassiveServerWatchPause{900};
    /// Views are read from the store only after this time without a leader. Most services have one again sooner, since
    /// the old one resigned or only the link broke.
    static constexpr Milliseconds LeaderlessDelay{300};
    /// Server entries expire after three heartbeats, so a shorter outage of the store removes none.
    static constexpr Milliseconds MinLapsingOutage{1'500};
    static constexpr Milliseconds WatchTimeout{2'000};
    /// A leader confirms this often that it has the newest configuration; other hosts rely on that.
    static constexpr Milliseconds LeaderWatchTimeout{900};
    /// Without a confirmation for this long, a leader reads the store itself: the sum of `LeaderWatchTimeout`, a
    /// heartbeat of 0.2 s and the network delay.
    static constexpr Milliseconds LeaderStaleAfter{1'300};
    /// The same for hosts that lead nothing. Together with a read it stays within the 2 s that the operators allow.
    static constexpr Milliseconds HostStaleAfter{1'600};
    /// Without an answer from a leader within this time, the configuration is read from the store.
    static constexpr Milliseconds LeaderConfigTimeout{250};
    /// A host that has just started waits this long for updates from the seeds before it reads the store. When all
    /// hosts start together, seeds and strong hosts have read the store within 0.5 s.
    static constexpr Milliseconds SeedsTimeout{1'200};
    /// Hosts with at least this share of a core win most elections, so they read the store at once.
    static constexpr double StrongProcessorShare = 0.3;

    /// A deputy that has learnt nothing of the store consents after this time of the leader's outage: the leader's
    /// lease ends 1.75 s after the last answer, and all servers have to get their long holds before that.
    static constexpr Milliseconds LongestDeputyDoubt{1'300};
    /// Leases are renewed each 0.5 s, and a leader asks for consent 0.9 s after its last answer. So a renewal of
    /// another leader within this time shows that the store answers some hosts.
    static constexpr Milliseconds FreshLeaseAge{450};
    /// How long a probe of the store counts.
    static constexpr Milliseconds DeputyProbeLifetime{1'000};

    /// This host's own attempt to reach the store, on behalf of a leader that does not.
    struct DeputyProbe
    {
        TimePoint startedAt;
        std::optional<bool> answers; ///< unset while the call is under way
    };

    static LeaseTimes leaseTimes(const NodeSettings &settings)
    {
        LeaseTimes times;
        times.duration = std::max(times.duration, settings.shortestLease);
        return times;
    }

    /// What this host has read from the store and written to it may be lost: its lease and leader keys are, and leaders
    /// have to be found again. Services that it leads are suspended until it has taken them over again.
    void onStoreRestored(std::uint64_t era)
    {
        m_isRestored = true;
        m_isEraDoubtful = true;
        for (auto &[service, leader] : m_ledServices) {
            leader->suspend();
        }
        m_lease.drop();
        m_leaderKeyRevisions.clear();
        m_removedLeaderKeys.clear();
        m_unreadableLeaders.clear();
        m_deputyOf.clear();
        m_deputyProbe = {};
        m_leaders.beginEra(era);
        m_leadersKnown = false;
        m_backoff.onSuccess();
        m_electionTimer.cancel();
        announceLeaders();
    }

    bool isSuspendedHere(const std::string &service) const
    {
        const auto leader = m_ledServices.find(service);
        return leader != m_ledServices.end() && leader->second->isSuspended();
    }

    /// Whether this host reads configuration and leaders from the store on behalf of all hosts: the leader of the first
    /// service does.
    bool isStoreReader() const
    {
        return !m_leaders.leaders.empty() && m_ledServices.contains(m_leaders.leaders.begin()->first);
    }

    /// Whether recent updates from leaders make reading the store unnecessary.
    bool hasFreshLeaderUpdates() const
    {
        const Milliseconds trust = m_ledServices.empty() ? HostStaleAfter : LeaderStaleAfter;
        return !isStoreReader() && !m_isEraDoubtful && m_config != nullptr && m_operatorKeys.evacuations().isKnown()
            && Clock::now() - m_leadersUpToDateAt < trust;
    }

    /// Whether this host still waits for the seeds instead of reading the store. Otherwise hundreds of hosts that start
    /// together would each read everything.
    bool isWaitingForSeeds() const
    {
        const bool isSeed = m_settings.seeds.empty()
            || std::find(m_settings.seeds.begin(), m_settings.seeds.end(), m_settings.control)
                != m_settings.seeds.end();
        const bool isStrong = m_settings.processorShare >= StrongProcessorShare;
        return !isSeed && !isStrong && Clock::now() - m_startedAt < SeedsTimeout;
    }

    WatchHandlers operatorHandlers()
    {
        WatchHandlers handlers;
        handlers.isNeeded = [this]() {
            return !hasFreshLeaderUpdates() && !isWaitingForSeeds();
        };
        handlers.isPassive = [this]() {
            return m_ledServices.empty();
        };
        handlers.onList = [this](const StoredList &list) {
            m_operatorKeys.onList(list, m_store.era());
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            m_operatorKeys.onEvent(event, m_store.era());
        };
        handlers.onEventsEnd = [this]() {
            m_operatorKeys.onEventsEnd();
        };
        return handlers;
    }

    typename OperatorKeys<Platform>::Outputs operatorOutputs()
    {
        typename OperatorKeys<Platform>::Outputs outputs;
        outputs.config = [this](std::shared_ptr<const GatewayConfig> config, std::uint64_t revision) {
            activateConfig(std::move(config), "store", revision);
        };
        outputs.evacuations = [this](const Evacuations &evacuations) {
            m_evacuatedZones.update(evacuations);
            m_viewsChanged = true;
            m_desk.setEvacuations(evacuations);
            m_outputs.evacuations(evacuations);
        };
        return outputs;
    }

    /// Servers are used only once it is known which of them are evacuated.
    bool mayUseServers() const
    {
        return m_serversKnown && m_operatorKeys.evacuations().isKnown();
    }

    void reviewEvacuations()
    {
        m_evacuatedZones.setOccupied(m_directory.zones());
        for (const EvacuationReport &report : m_evacuatedZones.takeReports()) {
            spdlog::info("{}", evacuationLogText(report, "leader"));
        }
    }

    std::uint64_t configVersion() const
    {
        return m_config ? m_config->version : 0;
    }

    /// @param revision of the store; 0 when the configuration came from a leader
    void activateConfig(std::shared_ptr<const GatewayConfig> config, const char *source, std::uint64_t revision)
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

    void applyConfigChange(const ConfigChange &change)
    {
        auto config = applyChange(m_config.get(), change);
        if (!config) {
            spdlog::info("config: event=change_not_used base={} version={} known={}", change.base, change.version,
                         configVersion());
            return;
        }
        activateConfig(std::move(config), "leader", 0);
    }

    /// Fetches a newer version that a leader has announced: from a leader first, then from the store.
    void catchUp()
    {
        const TimePoint now = Clock::now();
        const bool isRequested = m_requestedBase == configVersion();
        if (!isRequested) {
            m_requestedBase = configVersion();
            m_requestedAt = now;
            m_outputs.requestConfig(configVersion());
        } else if (now - m_requestedAt >= LeaderConfigTimeout && !m_isReadingConfig && m_backoff.mayCall(now)) {
            m_isReadingConfig = true;
            asio::co_spawn(m_executor, readConfig(), LogFailure("config"));
        }
    }

    Awaitable<void> readConfig()
    {
        const auto value = co_await m_store.read(Platform::configKey());
        m_isReadingConfig = false;
        m_requestedBase.reset();
        if (!value.ok()) {
            m_backoff.onFailure(Clock::now());
            spdlog::warn("config: event=not_read reason=\"{}\"",
                         escapeQuotedText(std::string(value.status().message())));
            co_return;
        }
        m_backoff.onSuccess();
        if (value->revision != 0) {
            m_operatorKeys.applyConfig(*value);
        }
    }

    WatchHandlers leaderHandlers()
    {
        WatchHandlers handlers;
        handlers.isNeeded = [this]() {
            return !hasFreshLeaderUpdates() && !isWaitingForSeeds();
        };
        handlers.isPassive = [this]() {
            return m_ledServices.empty();
        };
        handlers.onList = [this](const StoredList &list) {
            m_isRestored = m_isRestored || isAfterKnownLeaders(m_store.era());
            m_leaders.era = m_store.era(); // names the keys that applyLeader() removes
            std::erase_if(m_leaders.leaders, [](const auto &entry) {
                return entry.second.revision != 0;
            });
            for (const StoredValue &value : list.values) {
                applyLeader(value);
            }
            m_leadersKnown = true;
            m_isEraDoubtful = false;
            m_leaders.revision = std::max(m_leaders.revision, list.revision);
            announceLeaders();
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            const auto key = parseEraKey(LeadersPrefix, event.value.key);
            const bool isOfThisEra = key && key->era == m_store.era();
            if (event.removed && isOfThisEra) {
                const std::string &service = key->service;
                m_leaders.leaders.erase(service);
                spdlog::info("lead: event=leader_gone service={} revision={}", service, event.value.revision);
                const auto owned = m_leaderKeyRevisions.find(service);
                if (owned != m_leaderKeyRevisions.end() && event.value.revision > owned->second) {
                    stopLeading(service, "the lease has expired");
                }
            } else if (!event.removed) {
                applyLeader(event.value);
            }
            m_leaders.revision = std::max(m_leaders.revision, event.value.revision);
            announceLeaders();
        };
        return handlers;
    }

    /// Whether this host knows leaders of an earlier era. Another host may have told it of them, so the client of the
    /// store need not know that era.
    bool isAfterKnownLeaders(std::uint64_t era) const
    {
        return m_leaders.era != 0 && m_leaders.era < era;
    }

    /// Applies a leader table that a leader relayed, unless it is older than this host's own.
    void applyLeaders(const LeaderTable &table)
    {
        const std::uint64_t knownEra = m_store.era() != 0 ? m_store.era() : m_leaders.era;
        if (knownEra != 0 && table.era > knownEra) {
            // Only the store's own answers make this host give up what it knows: it lists the leaders itself.
            m_isEraDoubtful = true;
            m_isRestored = true;
            return;
        }
        if (!table.isNewerThan(m_leaders)) {
            return;
        }
        const std::map<std::string, std::uint64_t> owned = m_leaderKeyRevisions;
        for (const auto &[service, revision] : owned) {
            const auto leader = table.leaders.find(service);
            const bool isKnown = table.revision >= revision;
            const bool isOurs = leader != table.leaders.end() && leader->second.revision == revision;
            if (isKnown && !isOurs) {
                stopLeading(service, "the lease has expired or another host leads the service");
            }
        }
        for (const auto &[service, leader] : table.leaders) {
            const auto known = m_leaders.leaders.find(service);
            if (known == m_leaders.leaders.end() || !(known->second == leader)) {
                spdlog::info("lead: event=leader service={} address={} revision={} source=leader", service,
                             toString(leader.endpoint), leader.revision);
            }
        }
        m_isRestored = m_isRestored || isAfterKnownLeaders(table.era);
        m_leaders = table;
        stopReplacedLeaders();
        for (const auto &[service, revision] : m_leaderKeyRevisions) {
            m_leaders.leaders[service] = {m_settings.control, revision}; // newer than the table
        }
        removeStaleLeaderKeys();
        m_leadersKnown = true;
        announceLeaders();
    }

    /// @return the text in a field; empty when there is none
    static std::string textOf(const nlohmann::json &json, const char *field)
    {
        const auto found = json.is_object() ? json.find(field) : json.end();
        return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
    }

    void applyLeader(const StoredValue &value)
    {
        const auto key = parseEraKey(LeadersPrefix, value.key);
        const auto json = nlohmann::json::parse(value.value, nullptr, false);
        const auto endpoint = parseEndpoint(textOf(json, "address"));
        if (!key || !endpoint) {
            spdlog::error("lead: event=unreadable key={} revision={}", escapeLogValue(value.key), value.revision);
            if (key && key->era == m_store.era()) {
                m_unreadableLeaders[key->service] = value.revision;
            }
            return;
        }
        const std::string &service = key->service;
        if (key->era != m_store.era()) {
            m_leaders.leaders.try_emplace(service, ServiceLeaderEntry{*endpoint, 0});
            return;
        }
        m_leaders.leaders[service] = {*endpoint, value.revision};
        m_unreadableLeaders.erase(service);
        spdlog::info("lead: event=leader service={} host={} revision={}", escapeLogValue(service),
                     escapeLogValue(textOf(json, "host")), value.revision);
        const auto owned = m_leaderKeyRevisions.find(service);
        const bool isReplaced = owned != m_leaderKeyRevisions.end() && value.revision > owned->second;
        if (isReplaced) {
            stopLeading(service, "another host leads the service");
        }
        stopReplacedLeaders();
        removeStaleLeaderKeys();
    }

    /// Ends the terms that were suspended by a restore of the store and that another host has taken over.
    void stopReplacedLeaders()
    {
        std::vector<std::string> replaced;
        for (const auto &[service, leader] : m_leaders.leaders) {
            const bool isOurs = leader.revision == 0 || leader.endpoint == m_settings.control;
            if (!isOurs && isSuspendedHere(service)) {
                replaced.push_back(service);
            }
        }
        for (const std::string &service : replaced) {
            stopLeading(service, "another host has taken the service over after a restore of the store");
        }
    }

    /// Removes the keys that name this host as leader of services that it does not lead.
    void removeStaleLeaderKeys()
    {
        std::set<std::string> led{m_takeoverService};
        for (const auto &[service, leader] : m_ledServices) {
            if (!leader->isSuspended()) {
                led.insert(service);
            }
        }
        for (const auto &[service, entry] : staleEntriesOf(m_leaders, m_settings.control, led)) {
            std::uint64_t &removed = m_removedLeaderKeys[service];
            if (entry.revision > removed && !m_resigned) {
                removed = entry.revision;
                asio::co_spawn(m_executor, removeStaleLeaderKey(service, m_leaders.era, entry.revision),
                               LogFailure("lead"));
            }
        }
    }

    /// Removes a key that names this host as leader although it does not lead: a previous run of the process wrote it,
    /// or the answer to its write was lost. It would block other leaders until its lease expires, which may be never.
    /// @param era of the revision; the store may have told this host none yet, or a later one
    Awaitable<void> removeStaleLeaderKey(std::string service, std::uint64_t era, std::uint64_t revision)
    {
        StoreWrite write;
        write.key = eraKey(LeadersPrefix, era, service);
        write.expectedRevision = revision;
        write.remove = true;
        const auto result = co_await m_store.write(write);
        if (!result.ok()) {
            m_removedLeaderKeys.erase(service); // tried again with the next news of the leaders
        }
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

    /// Whether servers and plans must be read from the store, since some service has lacked a leader for
    /// `LeaderlessDelay`.
    bool needsViews()
    {
        const TimePoint now = Clock::now();
        if (!m_outputs.needsViews()) {
            m_allLedAt = now;
        }
        return now - m_allLedAt >= LeaderlessDelay;
    }

    WatchHandlers serverHandlers()
    {
        WatchHandlers handlers;
        handlers.isNeeded = [this]() {
            const bool isNeeded = !m_ledServices.empty() || needsViews();
            m_serversKnown = m_serversKnown && isNeeded;
            if (isNeeded && !m_serversWatched) {
                startServerWatch();
            }
            m_serversWatched = isNeeded;
            return isNeeded;
        };
        handlers.isPassive = [this]() {
            return m_ledServices.empty();
        };
        handlers.onRecovery = [this](Duration outage) {
            m_directory.onReadAgain(Clock::now());
            if (outage >= MinLapsingOutage) {
                m_directory.onStoreRecovered(Clock::now());
            }
        };
        handlers.onRestored = [this]() {
            m_directory.onStoreRecovered(Clock::now()); // servers that are not in the copy register again
        };
        handlers.onList = [this](const StoredList &list) {
            std::vector<std::string> ids;
            for (const StoredValue &value : list.values) {
                ids.push_back(serverId(value.key));
                applyServer(value);
            }
            m_directory.onListed(ids, Clock::now());
            m_serversKnown = true;
            m_viewsChanged = true;
        };
        handlers.onEvent = [this](const StoreEvent &event) {
            if (event.removed) {
                m_directory.onRemoved(serverId(event.value.key), Clock::now());
                spdlog::info("servers: event=removed server={} revision={}", escapeLogValue(serverId(event.value.key)),
                             event.value.revision);
            } else {
                applyServer(event.value);
            }
        };
        return handlers;
    }

    /// Entries from before the watch was paused may be long gone. What the last leaders used is passed to the
    /// directory, since the store's entries may come from a copy that is older.
    void startServerWatch()
    {
        m_directory.clear(Clock::now());
        std::vector<std::string> services;
        if (m_config) {
            for (const auto &[name, service] : m_config->services) {
                services.push_back(name);
            }
        }
        m_outputs.readKnownViews(services, [this](const std::vector<KnownView> &known) {
            for (const KnownView &each : known) {
                if (!m_serversKnown) {
                    m_directory.noteView(each.view.service, each.view.servers, Clock::now());
                }
            }
        });
    }

    static std::string serverId(const std::string &key)
    {
        return key.substr(Platform::serversPrefix().size());
    }

    void applyServer(const StoredValue &value)
    {
        const std::string id = serverId(value.key);
        const auto entry = Platform::parseServer(id, value.value);
        if (!entry.ok()) {
            spdlog::warn("servers: event=unreadable server={} revision={} reason=\"{}\"", escapeLogValue(id),
                         value.revision, escapeQuotedText(std::string(entry.status().message())));
            m_directory.onEntry(id, std::nullopt, Clock::now());
            return;
        }
        m_directory.onEntry(id, *entry, Clock::now());
        if (entry->server.draining) {
            m_desk.addLeaving({entry->server.service, incarnationOf(entry->server), LeavingSource::List, Clock::now()},
                              m_settings.host);
        }
    }

    /// The registered servers of the service; those that an answer has shown to be leaving count as draining, and those
    /// of evacuated zones are marked.
    std::vector<UpstreamServer> serversOf(const std::string &service) const
    {
        std::vector<UpstreamServer> servers = m_directory.serversOf(service);
        m_desk.leavingServers().markIn(servers);
        m_evacuatedZones.markIn(servers);
        return servers;
    }

    /// Plans are read only while some service has no reachable leader.
    WatchHandlers planHandlers()
    {
        WatchHandlers handlers;
        handlers.isNeeded = [this]() {
            return needsViews();
        };
        handlers.isPassive = [this]() {
            return m_ledServices.empty();
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
            return; // the leader logs it; the last valid plan stays in use
        }
        const auto key = parseEraKey(PlansPrefix, value.key);
        if (!key || key->era < m_plannedEras[key->service]) {
            return;
        }
        m_plannedEras[key->service] = key->era;
        std::vector<OwnedRange> ranges;
        for (const PlannedRange &range : plan->ranges) {
            ranges.push_back({range.keys, range.owner.id});
        }
        m_plannedOwners[key->service] = KeyOwners(std::move(ranges));
        m_viewsChanged = true;
    }

    Awaitable<void> probeStore(std::string service)
    {
        const TimePoint startedAt = m_deputyProbe.startedAt;
        const auto plan = co_await m_store.read(planKey(service, m_store.era()));
        if (m_deputyProbe.startedAt == startedAt) {
            m_deputyProbe.answers = plan.ok();
        }
    }

    /// Takes over services that have no leader.
    Awaitable<void> elect()
    {
        ErrorCode ignored;
        while (true) {
            m_electionTimer.expires_after(ElectionInterval);
            co_await m_electionTimer.async_wait(awaitInto(ignored));
            const std::string service = leaderlessService();
            if (service.empty()) {
                continue;
            }
            const std::uint64_t era = m_store.era();
            if (m_deputyOf.erase(service) == 0 && !isSuspendedHere(service)) {
                m_electionTimer.expires_after(electionDelay(service));
                co_await m_electionTimer.async_wait(awaitInto(ignored));
            }
            if (m_store.era() != era) {
                continue;
            }
            if (isLeaderless(service) && m_backoff.mayCall(Clock::now())) {
                m_takeoverService = service;
                co_await takeOver(service);
                m_takeoverService.clear();
            }
        }
    }

    Milliseconds electionDelay(const std::string &service)
    {
        const bool hasPreviousLeader = m_leaders.leaders.contains(service);
        const Milliseconds priority = hasPreviousLeader ? PreviousLeaderPriority : Milliseconds(0);
        const auto byProcessor =
            static_cast<std::int64_t>(static_cast<double>(WholeCoreDelay.count()) / m_settings.processorShare);
        std::uniform_int_distribution<std::int64_t> spread(0, byProcessor);
        const Milliseconds byLoad = DelayPerLedService * static_cast<std::int64_t>(m_ledServices.size());
        return priority + std::min(Milliseconds(byProcessor) + byLoad, MaxElectionDelay)
            + Milliseconds(spread(m_random));
    }

    bool isLeaderless(const std::string &service) const
    {
        const auto leader = m_leaders.leaders.find(service);
        const bool isLed = leader != m_leaders.leaders.end() && leader->second.revision != 0;
        const bool isKnown = m_leadersKnown && !m_ledServices.contains(service);
        return !m_resigned && !isLed && (isKnown || isSuspendedHere(service));
    }

    std::string leaderlessService() const
    {
        if (!m_config) {
            return {};
        }
        std::string leaderless;
        for (const auto &[name, service] : m_config->services) {
            if (!isLeaderless(name)) {
                continue;
            }
            if (isSuspendedHere(name)) {
                return name; // before other services, since these wait for their own previous leaders
            }
            leaderless = leaderless.empty() ? name : leaderless;
        }
        return leaderless;
    }

    Awaitable<void> takeOver(std::string service)
    {
        stopLapsedLeaderships();
        const std::uint64_t lease = co_await m_lease.open();
        const std::uint64_t era = m_store.era();
        if (lease == 0) {
            m_backoff.onFailure(Clock::now());
            co_return;
        }
        m_backoff.onSuccess();
        const bool isTableOld = m_leaders.era != 0 && m_leaders.era != era;
        if (isTableOld) {
            m_isRestored = true;
            m_isEraDoubtful = true;
            m_leadersKnown = false;
            co_return;
        }
        nlohmann::json json{{"host", m_settings.host},
                            {"address", toString(m_settings.control)},
                            {"nonce", std::to_string(m_random())}};
        StoreWrite write;
        write.key = eraKey(LeadersPrefix, era, service);
        write.value = json.dump();
        write.lease = lease;
        const auto unreadable = m_unreadableLeaders.find(service);
        write.expectedRevision = unreadable == m_unreadableLeaders.end() ? 0 : unreadable->second;
        constexpr Milliseconds RetryTime(1'000);
        const auto result = co_await writeWithRetry(m_store, write, Clock::now() + RetryTime);
        if (result.ok()) {
            m_unreadableLeaders.erase(service); // noted again if the current one can't be read either
        }
        if (m_store.era() != era) {
            co_return; // the lease and the key are lost
        }
        const bool isLedElsewhere = result.ok() && !result->committed && result->current.revision != 0;
        if (isLedElsewhere) {
            applyLeader(result->current);
            announceLeaders();
        }
        if (!result.ok() || !result->committed || !m_config || !m_config->service(service)) {
            if (absl::IsNotFound(result.status()) || m_ledServices.empty()) {
                m_lease.drop(); // no need to renew a lease that protects nothing
            }
            co_return;
        }
        m_leaderKeyRevisions[service] = result->current.revision;
        m_leaders.leaders[service] = {m_settings.control, result->current.revision};
        spdlog::info("lead: event=taken_over service={} revision={} lease={}", service, result->current.revision,
                     lease);
        std::shared_ptr<ServiceLeader<Platform>> &leader = m_ledServices[service];
        if (!leader) {
            leader = std::make_shared<ServiceLeader<Platform>>(
                m_executor, m_store, m_client, m_desk, m_lease, m_consents, *m_config->service(service),
                m_settings.longestGrant, m_settings.isFirstStart && !m_isRestored);
        }
        m_viewsChanged = true;
        const bool isStarted = co_await std::shared_ptr(leader)->start();
        if (!isStarted && m_store.era() == era) {
            stopLeading(service, "the ownership plan can't be read");
        }
        announceLeaders();
    }

    /// Other hosts may lead the services of a lease that has ended, and a new lease must not let this host go on.
    /// Suspended terms begin anew with the new lease.
    void stopLapsedLeaderships()
    {
        std::vector<std::string> lapsed;
        for (const auto &[service, leader] : m_ledServices) {
            if (!m_lease.isHeld(Clock::now()) && !leader->isSuspended()) {
                lapsed.push_back(service);
            }
        }
        for (const std::string &service : lapsed) {
            stopLeading(service, "the lease has ended");
        }
    }

    void stopLeading(const std::string &service, const std::string &reason)
    {
        const auto leader = m_ledServices.find(service);
        if (leader != m_ledServices.end()) {
            spdlog::warn("lead: event=stopped service={} reason=\"{}\"", service, reason);
            leader->second->stop();
            m_ledServices.erase(leader);
        }
        const auto owned = m_leaderKeyRevisions.find(service);
        if (owned != m_leaderKeyRevisions.end()) {
            asio::co_spawn(m_executor, removeStaleLeaderKey(service, m_store.era(), owned->second), LogFailure("lead"));
            m_leaderKeyRevisions.erase(owned);
        }
        if (m_ledServices.empty()) {
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
        const bool serversChanged = m_directory.advance(Clock::now(), m_serverWatcher.upToDateAt()) || m_viewsChanged;
        m_viewsChanged = false;
        if (serversChanged && m_serversKnown) {
            reviewEvacuations();
        }
        std::vector<std::string> lost;
        for (auto &[service, leader] : m_ledServices) {
            if (serversChanged && mayUseServers()) {
                leader->setServers(serversOf(service));
            }
            leader->advance();
            if (leader->isStopped()) {
                lost.push_back(service);
            }
        }
        for (const std::string &service : lost) {
            stopLeading(service, "superseded by another leader");
        }
        if (serversChanged && mayUseServers() && m_config && needsViews()) {
            publishViews();
        }
        // Only this host's own reads count: relaying what another leader confirmed would hide the delay of each hop.
        m_desk.setStoreReadTime(std::min(m_configWatcher.upToDateAt(), m_leaderWatcher.upToDateAt()));
        m_desk.setEntryReadTime(m_serverWatcher.upToDateAt());
        m_desk.setLeaseRenewalTime(m_ledServices.empty() ? TimePoint() : m_lease.answeredAt());
        m_desk.advance();
    }

    void publishViews()
    {
        for (const auto &[name, service] : m_config->services) {
            ServiceView view{name, service.keyed, serversOf(name), {}};
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
    DeputyConsents m_consents;
    Tcp::acceptor m_acceptor;
    StoreBackoff m_backoff;
    asio::steady_timer m_electionTimer{m_executor};
    bool m_isEraDoubtful = false; ///< the store may have been restored since this host has listed the leaders
    bool m_isRestored = false; ///< whether the store has been restored from a copy since the start of this process
    PrefixWatcher<Store> m_configWatcher{
        m_store, m_backoff, {Platform::operatorPrefix(), LeaderWatchTimeout, WatchTimeout, {}, {}}, operatorHandlers()};
    PrefixWatcher<Store> m_leaderWatcher{
        m_store, m_backoff, {LeadersPrefix, LeaderWatchTimeout, WatchTimeout, {}, {}}, leaderHandlers()};
    PrefixWatcher<Store> m_serverWatcher{
        m_store,
        m_backoff,
        {Platform::serversPrefix(), WatchTimeout, WatchTimeout, ServerWatchPause, PassiveServerWatchPause},
        serverHandlers()};
    PrefixWatcher<Store> m_planWatcher{
        m_store,
        m_backoff,
        {PlansPrefix, WatchTimeout, WatchTimeout, ServerWatchPause, PassiveServerWatchPause},
        planHandlers()};
    std::shared_ptr<const GatewayConfig> m_config;
    OperatorKeys<Platform> m_operatorKeys{operatorOutputs()};
    EvacuatedZones m_evacuatedZones;
    bool m_isReadingConfig = false;
    std::optional<std::uint64_t> m_requestedBase; ///< base version of the last request to a leader
    TimePoint m_requestedAt;
    TimePoint m_leadersUpToDateAt; ///< when a leader last had the newest configuration and leaders
    TimePoint m_allLedAt; ///< when every service last had a reachable leader
    LeaderTable m_leaders;
    /// By service: the revision of an entry of this era that names no leader; a new leader replaces it.
    std::map<std::string, std::uint64_t> m_unreadableLeaders;
    bool m_leadersKnown = false;
    /// By service: the revision of the leader key that this host has written.
    std::map<std::string, std::uint64_t> m_leaderKeyRevisions;
    std::set<std::string> m_deputyOf; ///< services that this host takes over without delay
    DeputyProbe m_deputyProbe; ///< the last one
    /// By service: the newest revision of a stale leader key that this host has removed.
    std::map<std::string, std::uint64_t> m_removedLeaderKeys;
    std::map<std::string, std::shared_ptr<ServiceLeader<Platform>>> m_ledServices;
    ServerDirectory m_directory{m_settings.heartbeatInterval};
    bool m_serversKnown = false; ///< since the watch of the servers began
    bool m_serversWatched = false;
    const TimePoint m_startedAt = Clock::now();
    std::map<std::string, KeyOwners> m_plannedOwners;
    std::map<std::string, std::uint64_t> m_plannedEras; ///< by service: of the plan in `m_plannedOwners`
    bool m_viewsChanged = false;
    bool m_resigned = false;
    std::string m_takeoverService; ///< the service that is being taken over; empty when none
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_NODE_CONTROL_HPP
