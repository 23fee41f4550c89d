#ifndef SNIPEVALVE_OWNERSHIP_KEY_SIMULATION_TEST_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_SIMULATION_TEST_HPP

/// @file A seeded simulation with faults, for the tests of KeyAuthority: two hosts that take turns as leader, three
/// servers and a store.

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "snipevalve/ownership/deputy_consents.hpp"
#include "snipevalve/ownership/detail/key_authority_impl.hpp"

namespace snipevalve::test {

/// Number of sampled keys, at even distances. Only these keys have load in the simulation, so ranges are split next to
/// them.
inline constexpr std::size_t Probes = 16;
inline constexpr std::uint32_t ProbeWidth = KeyCount / Probes;
inline constexpr Milliseconds Step{10};
inline constexpr const char *Service = "service";

/// A server with the faults that the platform allows: its clock for holds may run slow, an unanswered grant may take
/// effect seconds later, and a restart loses all grants. A restarted server keeps its ID, so it accepts calls that were
/// meant for its previous run, and it may register seconds later.
struct FakeServer
{
    UpstreamServer entry;
    UpstreamServer registered; ///< its entry in the store
    TimePoint registersAt; ///< when `registered` becomes `entry`
    double clockFactor = 1.0;
    std::array<std::uint64_t, Probes> highestFence{};
    std::array<TimePoint, Probes> heldUntil{};
    bool isRegistered = true;
    bool isReachable = true;

    bool holds(std::size_t probe, TimePoint now) const
    {
        return now < heldUntil[probe];
    }

    bool grant(const KeyRange &keys, std::uint64_t fence, TimePoint end)
    {
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe) && highestFence[probe] > fence) {
                return false;
            }
        }
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe)) {
                highestFence[probe] = fence;
                heldUntil[probe] = std::max(heldUntil[probe], end);
            }
        }
        return true;
    }

    void release(const KeyRange &keys)
    {
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe)) {
                heldUntil[probe] = {};
            }
        }
    }

    void restart(TimePoint registration)
    {
        ++entry.incarnation;
        highestFence = {};
        heldUntil = {};
        registersAt = registration;
    }

    void updateRegistration(TimePoint now)
    {
        if (now >= registersAt) {
            registered = entry;
        }
    }

    static bool covers(const KeyRange &keys, std::size_t probe)
    {
        return keys.contains(static_cast<std::uint16_t>(probe * ProbeWidth));
    }
};

/// The store, with the lease of one leader and one plan for each era. A restore from a copy begins a new era: plans
/// that have been written since the copy was made are gone, and so is the lease.
struct FakeStore
{
    struct StoredPlan
    {
        std::string text;
        std::uint64_t revision = 0;
    };

    using Plans = std::map<std::uint64_t, StoredPlan>; ///< by era

    std::uint64_t era = 1;
    Plans plans;
    std::vector<std::pair<TimePoint, Plans>> history; ///< in ascending order; what the copies are made from
    std::size_t leader = NoLeader;
    TimePoint leaseEnd;
    TimePoint awayUntil;
    static constexpr std::size_t NoLeader = 99;

    void save(std::uint64_t planEra, const std::string &text, TimePoint now)
    {
        plans[planEra] = {text, plans[planEra].revision + 1};
        history.emplace_back(now, plans);
    }

    void restore(TimePoint copiedAt)
    {
        while (!history.empty() && history.back().first > copiedAt) {
            history.pop_back();
        }
        plans = history.empty() ? Plans() : history.back().second;
        leader = NoLeader;
        ++era;
    }
};

/// Rates of the faults.
struct FaultRates
{
    double each = 0.004; ///< chance of each kind of fault in each step; the default makes one of each kind in 2.5 s
    double restore = 0; ///< chance in each step that the store goes away and is restored from a copy
    double outage = 0; ///< chance in each step that the store goes away for all hosts and loses nothing
    Milliseconds longestRestore{4'000}; ///< for how long the store is away at most before it is restored
    double evacuation = 0; ///< chance in each step that a server is evacuated or taken back
};

/// Result of one simulation.
struct SimulationResult
{
    int doubleOwnedMs = 0; ///< milliseconds in which some probe had two owners
    std::size_t ownedSamples = 0; ///< samples that found an owner
    std::size_t samples = 0; ///< one per probe and step
    std::size_t termsWithoutLongHolds = 0; ///< terms whose leader knew that its predecessor had granted none
    std::size_t continuedTerms = 0; ///< first terms of an era whose leader knew the owners of the earlier era
    std::size_t uncertainTerms = 0; ///< first terms of an era whose leader did not
    std::size_t confirmingTerms = 0; ///< uncertain terms whose leader asks owners to confirm its last grants
    std::size_t evacuationReleases = 0; ///< calls for the keys of evacuated servers
    std::size_t lowFences = 0; ///< grants of a key whose fencing token is not above that of an earlier owner
};

template <typename Rules>
class KeySimulation
{
public:
    explicit KeySimulation(unsigned seed, FaultRates rates = {})
        : m_random(seed)
        , m_heldUpRandom(seed)
        , m_evacuationRandom(seed)
        , m_rates(rates)
    {
        for (std::size_t number = 0; number < m_hosts.size(); ++number) {
            restartHost(number);
        }
        for (std::size_t at = 0; at < m_servers.size(); ++at) {
            m_servers[at].entry.id = "s" + std::to_string(at);
            m_servers[at].entry.slots = 2;
            m_servers[at].entry.incarnation = 1;
            m_servers[at].clockFactor = 1.0 / (1.0 - 0.02 * uniform()); // up to 2 % slow, as the platform allows
        }
    }

    SimulationResult run(Milliseconds length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += Step;
            injectFaults();
            runDueEvents();
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                step(host);
            }
            checkOwners();
        }
        return m_result;
    }

private:
    struct Host
    {
        std::unique_ptr<BasicKeyAuthority<Rules>> authority;
        TimePoint leaseEnd;
        TimePoint renewedAt;
        TimePoint pausedUntil;
        bool reachesStore = true;
        std::vector<UpstreamServer> servers; ///< as last read from the store
        std::uint64_t era = 0; ///< of the store, as far as this host knows; 0 before its first call
        std::uint64_t planEra = 0; ///< of the authority's plan
        TimePoint lostLeaseEnd; ///< end of the lease that was lost with the earlier era
        std::uint64_t planRevision = 0;
        std::uint64_t generation = 0; ///< identifies the term, to discard late results of an earlier one
        DeputyConsents consents{""};
        int runs = 0; ///< of the process
        bool hasForgottenLease = false; ///< the lease in the store belongs to an earlier run
    };

    /// The highest fencing token of a key that a server has accepted.
    struct Fence
    {
        std::string server;
        std::uint64_t fence = 0;
    };

    struct Event
    {
        TimePoint at;
        std::function<void()> run;
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random);
    }

    bool chance(double probability)
    {
        return uniform() < probability;
    }

    Milliseconds randomDelay(int least, int most)
    {
        return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    void schedule(Duration delay, std::function<void()> run)
    {
        m_events.push_back({m_now + delay, std::move(run)});
    }

    void runDueEvents()
    {
        std::vector<Event> due;
        for (auto event = m_events.begin(); event != m_events.end();) {
            if (event->at <= m_now) {
                due.push_back(std::move(*event));
                event = m_events.erase(event);
            } else {
                ++event;
            }
        }
        for (Event &event : due) {
            event.run();
        }
    }

    /// Evacuates a server or takes it back.
    void injectEvacuation()
    {
        if (std::uniform_real_distribution<double>(0, 1)(m_evacuationRandom) < m_rates.evacuation) {
            bool &isEvacuated = m_isEvacuated[std::uniform_int_distribution<std::size_t>(0, m_isEvacuated.size() - 1)(
                m_evacuationRandom)];
            isEvacuated = !isEvacuated;
        }
    }

    void injectFaults()
    {
        if (m_rates.evacuation > 0) {
            injectEvacuation();
        }
        if (m_rates.restore > 0) {
            injectRestore();
        }
        if (m_rates.outage > 0 && m_now >= m_store.awayUntil && chance(m_rates.outage)) {
            m_store.awayUntil = m_now + randomDelay(200, 3'000);
        }
        if (chance(m_rates.each)) {
            Host &host = m_hosts[pick(m_hosts.size())];
            host.pausedUntil = m_now + randomDelay(100, 6'000);
        }
        if (chance(m_rates.each)) {
            Host &host = m_hosts[pick(m_hosts.size())];
            host.reachesStore = !host.reachesStore;
        }
        if (chance(m_rates.each)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.isReachable = !server.isReachable;
        }
        if (chance(m_rates.each)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.isRegistered = !server.isRegistered;
        }
        if (chance(m_rates.each / 2)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            const bool isCutOff = chance(0.5);
            server.restart(m_now + (isCutOff ? randomDelay(100, 6'000) : randomDelay(0, 50)));
        }
        if (chance(m_rates.each)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.entry.draining = !server.entry.draining;
        }
        if (chance(m_rates.each)) {
            m_delayGrants = !m_delayGrants;
        }
        if (chance(m_rates.each / 2)) {
            restartHost(pick(m_hosts.size()));
        }
    }

    /// The store goes away, often for longer than a lease, and returns as of up to 9 s before.
    void injectRestore()
    {
        if (m_now >= m_store.awayUntil && chance(m_rates.restore)) {
            const TimePoint awayAt = m_now;
            const Milliseconds away =
                chance(0.5) ? randomDelay(10, 300) : randomDelay(300, static_cast<int>(m_rates.longestRestore.count()));
            const Milliseconds age = randomDelay(10, 9'000);
            m_store.awayUntil = m_now + away;
            schedule(away, [this, awayAt, age]() {
                m_store.restore(awayAt - age);
            });
        }
    }

    bool reachesStore(const Host &host) const
    {
        return host.reachesStore && m_now >= m_store.awayUntil;
    }

    /// A host learns with an answer of the store that a new era has begun: its lease and its plan are gone.
    void learnEra(Host &host)
    {
        if (host.era == m_store.era) {
            return;
        }
        host.era = m_store.era;
        host.lostLeaseEnd = host.leaseEnd;
        host.leaseEnd = {};
    }

    /// Kills the process of a host and starts it again: it forgets its term and what it has consented to.
    void restartHost(std::size_t number)
    {
        Host &host = m_hosts[number];
        const int runs = host.runs + 1;
        const std::uint64_t generation = host.generation + 1;
        host = Host();
        host.runs = runs;
        host.generation = generation;
        host.consents = DeputyConsents(runOf(number));
        host.hasForgottenLease = m_store.leader == number;
    }

    std::string runOf(std::size_t number) const
    {
        return std::to_string(number) + "#" + std::to_string(m_hosts[number].runs);
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void step(std::size_t number)
    {
        Host &host = m_hosts[number];
        if (m_now < host.pausedUntil) {
            return;
        }
        maintainLease(number);
        if (!host.authority) {
            return;
        }
        if (reachesStore(host)) {
            host.servers.clear();
            for (FakeServer &server : m_servers) {
                server.updateRegistration(m_now);
                if (server.isRegistered) {
                    host.servers.push_back(server.registered);
                    host.servers.back().evacuated = m_isEvacuated[indexOf(server.registered.id)];
                }
            }
        }
        host.authority->setServers(host.servers, m_now);
        host.authority->setLeaderLease(host.leaseEnd, reachesStore(host));
        host.authority->setDeputy(chance(0.9) ? runOf(1 - number) : std::string(), m_now);
        if (chance(0.05)) {
            makeKeysHot(host);
        }
        for (const KeyAction &action : host.authority->advance(m_now)) {
            std::visit(
                [this, number](const auto &each) {
                    perform(number, each);
                },
                action);
        }
    }

    /// Balances loads in which one random probe and the next one are hot.
    void makeKeysHot(Host &host)
    {
        typename BasicKeyAuthority<Rules>::Demand &demand = m_demand;
        demand.fastAverage.assign(KeyCount, 0.0F);
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            demand.fastAverage[probe * ProbeWidth] = 0.1F;
        }
        const std::size_t hot = pick(Probes);
        demand.fastAverage[hot * ProbeWidth] = 1.0F;
        demand.fastAverage[(hot + 1) % Probes * ProbeWidth] = 1.0F;
        demand.slowAverage = demand.fastAverage;
        demand.fastWindow = demand.slowWindow = Seconds(10);
        demand.meanWork = Seconds(0.05);
        for (const FakeServer &server : m_servers) {
            demand.capacities[server.entry.id] = 2;
        }
        host.authority->balance(demand, m_now);
    }

    void maintainLease(std::size_t number)
    {
        constexpr Milliseconds Lease(2'000);
        constexpr Milliseconds Margin(250);
        constexpr Milliseconds RenewInterval(500);
        Host &host = m_hosts[number];
        if (m_store.leader != FakeStore::NoLeader && m_now >= m_store.leaseEnd) {
            m_store.leader = FakeStore::NoLeader;
        }
        if (!reachesStore(host)) {
            return;
        }
        constexpr double CallChance = 0.1; ///< of a call in each step: hosts call the store several times a second
        if (host.era != m_store.era && !chance(CallChance)) {
            return;
        }
        learnEra(host);
        if (m_store.leader == number && host.hasForgottenLease) {
            return;
        }
        if (m_store.leader == number && m_now - host.renewedAt >= RenewInterval) {
            host.renewedAt = m_now;
            host.leaseEnd = m_now + Lease - Margin;
            m_store.leaseEnd = m_now + Lease;
        } else if (m_store.leader == FakeStore::NoLeader) {
            // After a restore the leader of the earlier era mostly takes over first.
            const bool isPreviousLeader = host.authority && host.planEra < m_store.era;
            constexpr double OthersChance = 0.02;
            if (m_store.era > 1 && !isPreviousLeader && !chance(OthersChance)) {
                return;
            }
            PredecessorKnowledge known = knowledgeOf(host);
            known.activeFor = known.activeFor == Milliseconds(0) ? known.activeFor : Lease;
            host.leaseEnd = m_now + Lease - Margin;
            host.renewedAt = m_now;
            host.servers.clear();
            host.planEra = m_store.era;
            host.planRevision = m_store.plans[m_store.era].revision;
            ++host.generation;
            host.hasForgottenLease = false;
            m_store.leader = number;
            m_store.leaseEnd = m_now + Lease;
            m_result.termsWithoutLongHolds += known.noLongHolds ? 1 : 0;
            host.authority = std::make_unique<BasicKeyAuthority<Rules>>(std::move(known), KeyAuthorityTimes(), m_now);
        }
    }

    /// What a host that takes over knows of the earlier leaders.
    PredecessorKnowledge knowledgeOf(Host &host)
    {
        PredecessorKnowledge known;
        known.leastTerm = firstTermOfEra(m_store.era);
        const auto current = m_store.plans.find(m_store.era);
        const bool isPlanCurrent = current != m_store.plans.end() && !current->second.text.empty();
        const bool isFirstEra = m_store.era == 1;
        if (isPlanCurrent || isFirstEra) {
            known.plan = isPlanCurrent ? *parseKeyPlan(current->second.text) : KeyPlan();
            known.noLongHolds = host.consents.closeTerm(Service, known.plan);
            return known;
        }
        known.activeFor = Milliseconds(1);
        const std::optional<KeyPlan> own =
            host.authority ? host.authority->knownPlan(host.lostLeaseEnd, m_now) : std::nullopt;
        if (own) {
            known.plan = *own;
            ++m_result.continuedTerms;
            return known;
        }
        ++m_result.uncertainTerms;
        known.isPlanComplete = false;
        if (host.authority) {
            known.ownGrants = host.authority->runningGrants(m_now);
            m_result.confirmingTerms += known.ownGrants.grants.empty() ? 0 : 1;
        }
        for (const auto &[era, plan] : m_store.plans) {
            if (!plan.text.empty()) {
                known.plan = *parseKeyPlan(plan.text);
            }
        }
        return known;
    }

    void perform(std::size_t, const OwnershipNote &)
    {
    }

    void perform(std::size_t number, const AskDeputy &ask)
    {
        schedule(randomDelay(1, 60), [this, number, generation = m_hosts[number].generation, ask]() {
            answerAsDeputy(1 - number, number, generation, ask);
        });
    }

    /// A paused deputy answers when it resumes. One that reaches the store mostly refuses.
    void answerAsDeputy(std::size_t deputy, std::size_t leader, std::uint64_t generation, const AskDeputy &ask)
    {
        Host &host = m_hosts[deputy];
        if (m_now < host.pausedUntil) {
            schedule(host.pausedUntil - m_now + Step, [this, deputy, leader, generation, ask]() {
                answerAsDeputy(deputy, leader, generation, ask);
            });
            return;
        }
        const bool isWilling = !host.reachesStore || chance(0.2);
        const bool isLost = chance(0.2);
        if (!isWilling || !host.consents.consent(Service, ask.term, ask.deputy) || isLost) {
            return;
        }
        schedule(randomDelay(1, 60), [this, leader, generation, ask]() {
            Host &asking = m_hosts[leader];
            if (asking.generation == generation && asking.authority) {
                asking.authority->onDeputyConsent(ask.term, ask.deputy.epoch);
            }
        });
    }

    void perform(std::size_t number, const SaveKeyPlan &save)
    {
        trySavingPlan(number, m_hosts[number].generation, toText(save.plan));
    }

    void trySavingPlan(std::size_t number, std::uint64_t generation, const std::string &text)
    {
        schedule(randomDelay(2, 40), [this, number, generation, text]() {
            Host &host = m_hosts[number];
            if (host.generation != generation) {
                return;
            }
            if (!reachesStore(host) || m_now < host.pausedUntil) {
                trySavingPlan(number, generation, text);
                return;
            }
            const FakeStore::StoredPlan &stored = m_store.plans[host.planEra];
            if (stored.revision != host.planRevision && stored.text != text) {
                if (host.planEra == m_store.era) {
                    host.authority.reset(); // superseded
                }
                return;
            }
            if (stored.text != text) {
                m_store.save(host.planEra, text, m_now);
            }
            if (chance(0.2)) {
                trySavingPlan(number, generation, text); // the answer was lost; the next attempt finds its own plan
                return;
            }
            if (host.planEra != m_store.era) {
                learnEra(host);
                return;
            }
            host.planRevision = stored.revision;
            host.authority->onPlanSaved(m_now);
        });
    }

    /// The probes of a grant that another server has had with as high a fencing token.
    std::size_t lowFences(const GrantKeys &grant) const
    {
        std::size_t count = 0;
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            const Fence &last = m_lastFences[probe];
            const bool isLow = last.server != grant.server.id && grant.fence <= last.fence;
            count += FakeServer::covers(grant.keys, probe) && isLow ? 1 : 0;
        }
        return count;
    }

    void perform(std::size_t number, const GrantKeys &grant)
    {
        const std::size_t at = indexOf(grant.server.id);
        // An owner refuses to confirm a grant of its own accord, so such a call counts when it is accepted.
        const bool isConfirmation = grant.sendBefore != TimePoint::max();
        m_result.lowFences += isConfirmation ? 0 : lowFences(grant);
        if (!m_servers[at].isReachable) {
            const Milliseconds givenUpAfter = randomDelay(300, 500);
            scheduleOutcome(number, grant.call, KeyCallOutcome::NoAnswer, givenUpAfter);
            holdUp(at, grant, givenUpAfter);
            return;
        }
        const Milliseconds oneWay = randomDelay(1, 60);
        const bool isDelayed = m_delayGrants && chance(0.3);
        const Duration applyAfter = isDelayed ? Duration(oneWay + randomDelay(2'000, 12'000)) : Duration(oneWay);
        const TimePoint arrival = m_now + oneWay;
        const auto outcome = std::make_shared<KeyCallOutcome>(KeyCallOutcome::NoAnswer);
        const std::int64_t run = m_servers[at].entry.incarnation;
        schedule(applyAfter, [this, at, run, isDelayed, isConfirmation, grant, arrival, outcome]() {
            FakeServer &server = m_servers[at];
            if (isDelayed && server.entry.incarnation != run) {
                return; // the call has been lost with the run that got it
            }
            const auto hold = std::chrono::duration<double, std::milli>(grant.hold) * server.clockFactor;
            const TimePoint end = arrival + std::chrono::duration_cast<Duration>(hold);
            *outcome = server.grant(grant.keys, grant.fence, end) ? KeyCallOutcome::Accepted : KeyCallOutcome::Refused;
            if (isConfirmation && *outcome == KeyCallOutcome::Accepted) {
                m_result.lowFences += lowFences(grant);
            }
            for (std::size_t probe = 0; probe < Probes; ++probe) {
                Fence &last = m_lastFences[probe];
                if (*outcome == KeyCallOutcome::Accepted && FakeServer::covers(grant.keys, probe)
                    && grant.fence > last.fence) {
                    last = {grant.server.id, grant.fence};
                }
            }
        });
        const Milliseconds returnDelay = randomDelay(1, 60);
        const bool isAnswered = !isDelayed && !chance(0.1);
        const std::uint64_t generation = m_hosts[number].generation;
        schedule(isAnswered ? oneWay + returnDelay : Milliseconds(500),
                 [this, number, generation, grant, outcome, isAnswered]() {
                     report(number, generation, grant.call, isAnswered ? *outcome : KeyCallOutcome::NoAnswer);
                 });
    }

    /// The kernel sends a call again while the server can't be reached, until the host resets the connection. What was
    /// sent last may be under way for as long as the rules allow.
    void holdUp(std::size_t at, const GrantKeys &grant, Milliseconds givenUpAfter)
    {
        const Milliseconds longest =
            Rules::ResetGivenUpCalls ? givenUpAfter + KeyAuthorityTimes().maxArrivalDelay : Milliseconds(8'000);
        const Milliseconds delay(std::uniform_int_distribution<std::int64_t>(100, longest.count())(m_heldUpRandom));
        schedule(delay, [this, at, grant]() {
            FakeServer &server = m_servers[at];
            const auto hold = std::chrono::duration<double, std::milli>(grant.hold) * server.clockFactor;
            if (server.isReachable) {
                server.grant(grant.keys, grant.fence, m_now + std::chrono::duration_cast<Duration>(hold));
            }
        });
    }

    void perform(std::size_t number, const ReleaseKeys &release)
    {
        m_result.evacuationReleases += release.server.evacuated ? 1 : 0;
        const std::size_t at = indexOf(release.server.id);
        if (!m_servers[at].isReachable) {
            scheduleOutcome(number, release.call, KeyCallOutcome::NoAnswer, randomDelay(300, 500));
            return;
        }
        const Milliseconds oneWay = randomDelay(1, 60);
        schedule(oneWay, [this, at, release]() {
            m_servers[at].release(release.keys);
        });
        // Separate statements: compilers differ in the order in which they evaluate a call's arguments.
        const Milliseconds outcomeDelay = oneWay + randomDelay(1, 300);
        const bool isLost = chance(0.1);
        scheduleOutcome(number, release.call, isLost ? KeyCallOutcome::NoAnswer : KeyCallOutcome::Accepted,
                        outcomeDelay);
    }

    void scheduleOutcome(std::size_t number, std::uint64_t call, KeyCallOutcome end, Milliseconds after)
    {
        const std::uint64_t generation = m_hosts[number].generation;
        schedule(after, [this, number, generation, call, end]() {
            report(number, generation, call, end);
        });
    }

    /// Reports the result of a call; a paused host gets it when it resumes.
    void report(std::size_t number, std::uint64_t generation, std::uint64_t call, KeyCallOutcome end)
    {
        Host &host = m_hosts[number];
        if (host.generation != generation || !host.authority) {
            return;
        }
        if (m_now < host.pausedUntil) {
            schedule(host.pausedUntil - m_now + Step, [this, number, generation, call, end]() {
                report(number, generation, call, end);
            });
            return;
        }
        host.authority->onCallOutcome(call, end, {}, m_now);
    }

    std::size_t indexOf(const std::string &id) const
    {
        const auto position = std::find_if(m_servers.begin(), m_servers.end(), [&id](const FakeServer &server) {
            return server.entry.id == id;
        });
        return static_cast<std::size_t>(position - m_servers.begin());
    }

    void checkOwners()
    {
        bool isDoubleOwned = false;
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            const auto owners = std::count_if(m_servers.begin(), m_servers.end(), [&](const FakeServer &server) {
                return server.holds(probe, m_now);
            });
            isDoubleOwned = isDoubleOwned || owners > 1;
            m_result.ownedSamples += owners > 0 ? 1 : 0;
            ++m_result.samples;
        }
        m_result.doubleOwnedMs += isDoubleOwned ? static_cast<int>(Step.count()) : 0;
    }

    std::mt19937 m_random;
    std::mt19937 m_heldUpRandom; ///< apart from the other draws, which a seed had before there were held-up calls
    std::mt19937 m_evacuationRandom; ///< apart from the other draws for the same reason
    std::array<bool, 3> m_isEvacuated{}; ///< by server
    FaultRates m_rates;
    std::array<Fence, Probes> m_lastFences;
    typename BasicKeyAuthority<Rules>::Demand m_demand; ///< a member because its two vectors are large
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::array<FakeServer, 3> m_servers;
    std::array<Host, 2> m_hosts;
    FakeStore m_store;
    std::vector<Event> m_events;
    bool m_delayGrants = false;
    SimulationResult m_result;
};

/// Runs the simulations of the seeds 1 to `count` on several threads. `use` gets each seed and its result, one at a
/// time and in no fixed order. @param isDone ends the run early; seeds that have begun are finished
template <typename Rules>
void runSimulations(unsigned count, FaultRates rates, Milliseconds length,
                    const std::function<void(unsigned seed, const SimulationResult &)> &use,
                    const std::function<bool()> &isDone = {})
{
    constexpr unsigned MaxThreads = 4;
    std::mutex mutex;
    unsigned nextSeed = 1;
    const auto work = [&]() {
        while (true) {
            unsigned seed = 0;
            {
                const std::lock_guard lock(mutex);
                if (nextSeed > count || (isDone && isDone())) {
                    return;
                }
                seed = nextSeed++;
            }
            const auto result = KeySimulation<Rules>(seed, rates).run(length);
            const std::lock_guard lock(mutex);
            use(seed, result);
        }
    };
    std::vector<std::thread> threads;
    for (unsigned at = 0; at < std::min(MaxThreads, std::max(1U, std::thread::hardware_concurrency())); ++at) {
        threads.emplace_back(work);
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

} // namespace snipevalve::test

#endif // SNIPEVALVE_OWNERSHIP_KEY_SIMULATION_TEST_HPP
