#ifndef SNIPEVALVE_NODE_CONTROL_SERVICE_LEADER_HPP
#define SNIPEVALVE_NODE_CONTROL_SERVICE_LEADER_HPP

#include <memory>
#include <string>

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/core/suspension.hpp"
#include "snipevalve/gateway/leader_table.hpp"
#include "snipevalve/net/http_client.hpp"
#include "snipevalve/net/spawn.hpp"
#include "snipevalve/node/control/lease_holder.hpp"
#include "snipevalve/node/control/platform_api.hpp"
#include "snipevalve/node/leader_dispatcher.hpp"
#include "snipevalve/ownership/deputy_consents.hpp"
#include "snipevalve/ownership/key_loads.hpp"

namespace snipevalve {

inline constexpr const char *PlansPrefix = "snipevalve/plan/";

/// @brief The store's key of the ownership plan of a keyed service.
inline std::string planKey(const std::string &service, std::uint64_t era)
{
    return eraKey(PlansPrefix, era, service);
}

/// @brief Leads one service: passes its servers to the dispatch desk and, for a keyed service, grants its keys.
template <PlatformApi Platform>
class ServiceLeader : public std::enable_shared_from_this<ServiceLeader<Platform>>
{
public:
    using Store = typename Platform::Store;

    /// @param mayBeFirst whether there may have been no leader before: then a store without plans has lost none
    ServiceLeader(asio::any_io_executor executor, Store &store, HttpClient &client, LeaderDispatcher &desk,
                  LeaseHolder<Store> &lease, DeputyConsents &consents, GatewayService service,
                  Milliseconds longestGrant, bool mayBeFirst)
        : m_executor(std::move(executor))
        , m_store(store)
        , m_client(client)
        , m_desk(desk)
        , m_lease(lease)
        , m_consents(consents)
        , m_service(std::move(service))
        , m_mayBeFirst(mayBeFirst)
        , m_fastLoads(FastWindow)
        , m_slowLoads(SlowWindow)
    {
        m_times.longHold = longestGrant;
        m_times.hold = std::min(m_times.hold, longestGrant);
        m_desk.startLeading(m_service.name);
    }

    /// @brief Starts a term in the present era of the store: reads the ownership plan of a keyed service. Also ends a
    /// suspension. @return false when the plan can't be read
    Awaitable<bool> start()
    {
        const std::uint64_t era = m_store.era();
        if (!m_service.keyed) {
            m_isSuspended = false;
            co_return true;
        }
        const auto stored = co_await m_store.read(planKey(m_service.name, era));
        if (!stored.ok()) {
            spdlog::warn("lead: event=no_plan service={} reason=\"{}\"", m_service.name,
                         std::string(stored.status().message()));
            co_return false;
        }
        PredecessorKnowledge known;
        if (stored->revision != 0) {
            const auto parsed = parsePlan(*stored);
            if (!parsed.ok()) {
                co_return false;
            }
            known.plan = *parsed;
            known.noLongHolds = m_consents.closeTerm(m_service.name, known.plan);
        } else if (era != 0) {
            const auto lost = co_await knowledgeOfEarlierEras(era);
            if (!lost.ok()) {
                spdlog::warn("lead: event=no_plan service={} reason=\"{}\"", m_service.name,
                             std::string(lost.status().message()));
                co_return false;
            }
            known = *lost;
        }
        if (m_store.era() != era) {
            co_return false;
        }
        known.leastTerm = firstTermOfEra(era);
        m_planRevision = stored->revision;
        m_startedAt = Clock::now();
        m_suspendedTimeAtStart = suspendedTime();
        m_isFirstTerm = known.plan.term == 0 && known.isPlanComplete;
        m_mayResignFrom = m_startedAt + known.activeFor;
        ++m_generation;
        m_isSuspended = false;
        m_serversChanged = m_hasServers;
        m_authority = std::make_unique<KeyAuthority>(known, m_times, m_startedAt);
        spdlog::info("lead: event=term_begins service={} era={} term={} ranges={} no_long_holds={} plan_complete={}",
                     m_service.name, era, m_authority->plan().term, known.plan.ranges.size(), known.noLongHolds,
                     known.isPlanComplete);
        co_return true;
    }

    /// @brief Suspends the term, as the store has been restored from a copy: nothing is granted until `start`, which
    /// continues with what this leader knows. To be called before the lease is dropped.
    void suspend()
    {
        if (m_isSuspended) {
            return;
        }
        m_isSuspended = true;
        m_mayBeFirst = false;
        ++m_generation;
        m_lostLeaseEnd = m_lease.heldUntil();
        m_suspendedTimeAtLoss = suspendedTime();
        spdlog::warn("lead: event=suspended service={} era={}", m_service.name, m_store.era());
    }

    bool isSuspended() const
    {
        return m_isSuspended;
    }

    /// @brief Whether a successor may start now. Its rules take the last moments of earlier leaders into account only
    /// after the lease of this one.
    bool mayResign() const
    {
        return Clock::now() >= m_mayResignFrom;
    }

    /// @brief Tells that the deputy has consented to long holds.
    void onDeputyConsent(std::uint64_t term, std::uint64_t epoch)
    {
        if (!m_stopped && m_authority) {
            spdlog::info("own: event=consent service={} term={} epoch={}", m_service.name, term, epoch);
            m_authority->onDeputyConsent(term, epoch);
        }
    }

    void stop()
    {
        m_stopped = true;
        m_desk.stopLeading(m_service.name);
    }

    bool isStopped() const
    {
        return m_stopped;
    }

    void setServers(std::vector<UpstreamServer> servers)
    {
        m_servers = std::move(servers);
        m_hasServers = true;
        m_serversChanged = true;
    }

    void onKeyedAsk(std::uint16_t key, Seconds work)
    {
        m_fastLoads.add(key, work);
        m_slowLoads.add(key, work);
        constexpr double Weight = 0.02; ///< moving average over about fifty requests
        m_meanWork += Weight * (work - m_meanWork);
    }

    /// @brief Does the work that is due and publishes the view; call it about every 20 ms.
    void advance()
    {
        if (m_stopped || !m_hasServers || (m_service.keyed && !m_authority)) {
            return;
        }
        const TimePoint now = Clock::now();
        ServiceView view{m_service.name, m_service.keyed, m_servers, {}};
        if (m_authority) {
            advanceAuthority(now);
            view.owners = m_authority->owners(now);
            m_desk.setOrphanedRanges(m_service.name, m_authority->orphanedRanges(now));
        }
        m_desk.setView(view);
        m_advancedAt = Clock::now();
        m_advanceDuration = m_advancedAt - now;
    }

private:
    static constexpr Milliseconds MinAdvancePause{4};
    static constexpr int AdvancePauseFactor = 8; ///< bounds these steps to a ninth of the thread's time

    /// Must detect hot keys within a fraction of the 4 to 5 s for which a key stays hot on the users' sites.
    static constexpr Milliseconds FastWindow{700};
    /// Detects lasting differences, so it may be longer than a key stays hot.
    static constexpr Milliseconds SlowWindow{6'000};
    static constexpr Milliseconds DecayInterval{100};
    /// The very first plan waits until servers have registered, so that they get equal shares.
    static constexpr Milliseconds FirstPlanDelay{1'200};

    absl::StatusOr<KeyPlan> parsePlan(const StoredValue &stored) const
    {
        auto plan = parseKeyPlan(stored.value);
        if (!plan.ok()) {
            spdlog::error("lead: event=bad_plan service={} key={} revision={} reason=\"{}\"", m_service.name,
                          escapeLogValue(stored.key), stored.revision, std::string(plan.status().message()));
        }
        return plan;
    }

    /// What is known of the earlier leaders when the present era has no plan yet.
    Awaitable<absl::StatusOr<PredecessorKnowledge>> knowledgeOfEarlierEras(std::uint64_t era)
    {
        PredecessorKnowledge known;
        known.activeFor = m_lease.times().duration;
        if (m_authority) {
            const Duration suspended = suspendedTime() - m_suspendedTimeAtLoss;
            const auto own = m_authority->knownPlan(m_lostLeaseEnd - suspended, Clock::now());
            if (own) {
                spdlog::info("lead: event=plan_kept service={} term={} ranges={} unknown_ranges={}", m_service.name,
                             own->term, own->ranges.size(), own->unknownOwners.size());
                known.plan = *own;
                co_return known;
            }
            known.ownGrants = m_authority->runningGrants(Clock::now());
            for (RunningGrant &grant : known.ownGrants.grants) {
                grant.until -= suspendedTime() - m_suspendedTimeAtStart;
            }
            spdlog::info("lead: event=confirm_owners service={} ranges={}", m_service.name,
                         known.ownGrants.grants.size());
        }
        const auto plans = co_await m_store.list(PlansPrefix);
        if (!plans.ok()) {
            co_return plans.status();
        }
        std::uint64_t latestEra = 0;
        for (const StoredValue &value : plans->values) {
            const auto key = parseEraKey(PlansPrefix, value.key);
            const bool isLater = key && key->service == m_service.name && key->era < era && key->era >= latestEra;
            const auto plan = isLater ? parsePlan(value) : absl::StatusOr<KeyPlan>(KeyPlan());
            if (isLater && plan.ok()) {
                latestEra = key->era;
                known.plan = *plan;
            }
        }
        const bool isFirst = m_mayBeFirst && known.plan.term == 0;
        known.isPlanComplete = isFirst;
        known.activeFor = isFirst ? Milliseconds(0) : known.activeFor;
        co_return known;
    }

    void advanceAuthority(TimePoint now)
    {
        const bool isFirstPlan = m_isFirstTerm && m_planRevision == 0 && now - m_startedAt < FirstPlanDelay;
        if (isFirstPlan) {
            return;
        }
        if (m_serversChanged) {
            m_authority->setServers(m_servers, now);
            m_serversChanged = false;
        }
        m_authority->setLeaderLease(m_isSuspended ? TimePoint() : m_lease.heldUntil(), m_lease.storeAnswers(now));
        m_authority->setDeputy(m_desk.chooseDeputy(m_authority->plan().deputy.run), now);
        if (now - m_decayedAt >= DecayInterval) {
            const Duration elapsed = std::min<Duration>(now - m_decayedAt, SlowWindow);
            m_fastLoads.decay(elapsed);
            m_slowLoads.decay(elapsed);
            m_decayedAt = now;
            m_authority->balance(
                {m_fastLoads.byKey(), m_slowLoads.byKey(), FastWindow, SlowWindow, m_meanWork, capacities()}, now);
        }
        perform(m_authority->advance(now));
    }

    std::map<std::string, double> capacities() const
    {
        std::map<std::string, double> byServer;
        const Dispatcher *dispatcher = m_desk.dispatcher(m_service.name);
        for (const UpstreamServer &server : m_servers) {
            byServer[server.id] =
                dispatcher == nullptr ? server.slots : dispatcher->capacityOf(server.id, Clock::now());
        }
        return byServer;
    }

    void perform(const std::vector<KeyAction> &actions)
    {
        for (const KeyAction &action : actions) {
            std::visit(
                [this](const auto &each) {
                    start(each);
                },
                action);
        }
    }

    void start(const OwnershipNote &note)
    {
        spdlog::info("own: event=decision service={} term={} plan={} text=\"{}\"", m_service.name,
                     m_authority->plan().term, m_authority->plan().version, note.text);
    }

    void start(const AskDeputy &ask)
    {
        m_desk.askDeputy(m_service.name, ask, Clock::now() - m_lease.answeredAt());
    }

    void start(const SaveKeyPlan &save)
    {
        spawnMember(m_executor, this->shared_from_this(), &ServiceLeader::savePlan, save.plan, m_generation);
    }

    template <typename KeyRequest>
    void start(const KeyRequest &request)
    {
        spawnMember(m_executor, this->shared_from_this(), &ServiceLeader::template callServer<KeyRequest>, request,
                    m_generation, suspendedTime());
    }

    static Milliseconds holdOf(const GrantKeys &grant)
    {
        return grant.hold;
    }

    static Milliseconds holdOf(const ReleaseKeys &)
    {
        return Milliseconds(0);
    }

    static TimePoint sendBefore(const GrantKeys &grant)
    {
        return grant.sendBefore;
    }

    static TimePoint sendBefore(const ReleaseKeys &)
    {
        return TimePoint::max();
    }

    /// @param suspended how long the machine had been suspended when the call was decided on
    template <typename KeyRequest>
    Awaitable<void> callServer(KeyRequest request, std::uint64_t generation, Duration suspended)
    {
        const TimePoint startedAt = Clock::now();
        HttpCall call = Platform::toCall(request);
        const Milliseconds limit = call.timeout;
        // The process may have been stopped or the machine suspended since the decision, and the lease may have ended.
        call.maySend = [&]() {
            const TimePoint now = Clock::now();
            return !m_stopped && m_generation == generation && m_lease.isHeld(now)
                && now + (suspendedTime() - suspended) < sendBefore(request);
        };
        const auto reply = co_await m_client.call(std::move(call));
        const KeyCallOutcome end = Platform::toCallOutcome(reply);
        const std::string handover = reply.ok() ? Platform::handoverOf(*reply) : std::string();
        if (end != KeyCallOutcome::Accepted) {
            const auto took = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
            const std::string reason =
                reply.ok() ? "status " + std::to_string(reply->status) : std::string(reply.status().message());
            spdlog::warn("own: event=call_failed service={} server={} keys={}-{} fence={} hold_ms={} end={} took_ms={} "
                         "limit_ms={} reason=\"{}\"",
                         m_service.name, request.server.id, request.keys.from, request.keys.to, request.fence,
                         holdOf(request).count(), static_cast<int>(end), took.count(), limit.count(),
                         escapeQuotedText(reason));
        }
        if (!m_stopped && m_generation == generation) {
            // Renewals change no owner: going through all ranges after each would saturate a small host's processor.
            if (m_authority->onCallOutcome(request.call, end, handover, Clock::now())) {
                advanceSoon();
            }
        }
    }

    /// Advances at once unless the last step was too recent. A new leader gets thousands of answers within a second and
    /// each step goes through all ranges, so answers share steps; this leaves the thread time for its lease and the
    /// hosts.
    void advanceSoon()
    {
        const TimePoint now = Clock::now();
        const Duration pause = std::max<Duration>(MinAdvancePause, m_advanceDuration * AdvancePauseFactor);
        if (now - m_advancedAt >= pause) {
            advance();
        } // else the next tick advances
    }

    Awaitable<void> savePlan(KeyPlan plan, std::uint64_t generation)
    {
        if (m_generation != generation) {
            co_return;
        }
        StoreWrite write;
        write.key = planKey(m_service.name, m_store.era());
        write.value = toText(plan);
        write.expectedRevision = m_planRevision;
        asio::steady_timer timer(m_executor);
        while (!m_stopped) {
            constexpr Milliseconds RetryTime(2'000);
            const auto result = co_await writeWithRetry(m_store, write, Clock::now() + RetryTime);
            if (m_stopped || m_generation != generation) {
                co_return;
            }
            if (result.ok() && !result->committed) {
                spdlog::warn("lead: event=superseded service={} term={} revision={} found={}", m_service.name,
                             plan.term, m_planRevision, result->current.revision);
                stop();
                co_return;
            }
            if (result.ok()) {
                m_planRevision = result->current.revision;
                if (!plan.deputy.run.empty() && !(plan.deputy == m_savedDeputy)) {
                    spdlog::info("own: event=deputy service={} run={} epoch={}", m_service.name,
                                 escapeLogValue(plan.deputy.run), plan.deputy.epoch);
                    m_desk.notifyDeputy(m_service.name, plan.deputy.run);
                }
                m_savedDeputy = plan.deputy;
                m_authority->onPlanSaved(Clock::now());
                advance();
                co_return;
            }
            spdlog::warn("lead: event=plan_not_saved service={} version={} reason=\"{}\"", m_service.name, plan.version,
                         std::string(result.status().message()));
        }
    }

    asio::any_io_executor m_executor;
    Store &m_store;
    HttpClient &m_client;
    LeaderDispatcher &m_desk;
    LeaseHolder<Store> &m_lease;
    DeputyConsents &m_consents;
    GatewayService m_service;
    bool m_mayBeFirst;
    KeyAuthorityTimes m_times;
    std::unique_ptr<KeyAuthority> m_authority; ///< null for an unkeyed service and before start()
    KeyLoads m_fastLoads;
    KeyLoads m_slowLoads;
    Seconds m_meanWork{0.1}; ///< of one request; the initial value is replaced within about fifty requests
    TimePoint m_decayedAt;
    TimePoint m_startedAt;
    bool m_isFirstTerm = false; ///< of the service
    TimePoint m_mayResignFrom;
    bool m_isSuspended = false;
    std::uint64_t m_generation = 0; ///< changes with each term and suspension, to discard results of earlier calls
    TimePoint m_lostLeaseEnd; ///< of the lease that was lost with the last era
    Duration m_suspendedTimeAtLoss{}; ///< of the machine, when that lease was lost
    Duration m_suspendedTimeAtStart{}; ///< of the machine, when the term began
    TimePoint m_advancedAt;
    Duration m_advanceDuration{};
    std::uint64_t m_planRevision = 0;
    PlanDeputy m_savedDeputy; ///< of the last plan that was saved
    std::vector<UpstreamServer> m_servers;
    bool m_serversChanged = false; ///< since the authority was told
    bool m_hasServers = false; ///< false until service discovery has been read once
    bool m_stopped = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_SERVICE_LEADER_HPP
