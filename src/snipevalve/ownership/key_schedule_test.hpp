#ifndef SNIPEVALVE_OWNERSHIP_KEY_SCHEDULE_TEST_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_SCHEDULE_TEST_HPP

/// @file A seeded schedule of two hosts that lead in turn, three servers and a store, for the tests of KeyAuthority.

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "snipevalve/ownership/detail/key_authority_impl.hpp"

namespace snipevalve::test {

/// Keys that are looked at; moves in the schedule are at their borders.
inline constexpr std::size_t Probes = 16;
inline constexpr std::uint32_t ProbeWidth = KeyCount / Probes;
inline constexpr Milliseconds Step{10};

/// A server as the platform's pages describe it: its clock for holds may run slow, a grant without an answer may take
/// effect seconds later, a restart forgets everything.
struct FakeServer
{
    UpstreamServer entry;
    double clockFactor = 1.0;
    std::array<std::uint64_t, Probes> seenFence{};
    std::array<TimePoint, Probes> until{};
    bool inStore = true;
    bool reachable = true;

    bool holds(std::size_t probe, TimePoint now) const
    {
        return now < until[probe];
    }

    bool grant(const KeyRange &keys, std::uint64_t fence, TimePoint end)
    {
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe) && seenFence[probe] > fence) {
                return false;
            }
        }
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe)) {
                seenFence[probe] = fence;
                until[probe] = std::max(until[probe], end);
            }
        }
        return true;
    }

    void release(const KeyRange &keys)
    {
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            if (covers(keys, probe)) {
                until[probe] = {};
            }
        }
    }

    void restart()
    {
        ++entry.incarnation;
        seenFence = {};
        until = {};
    }

    static bool covers(const KeyRange &keys, std::size_t probe)
    {
        return keys.contains(static_cast<std::uint16_t>(probe * ProbeWidth));
    }
};

/// The store: one plan and one leader's lease.
struct FakeStore
{
    std::string plan;
    std::uint64_t revision = 0;
    std::size_t leader = NoLeader;
    TimePoint leaseEnd;
    static constexpr std::size_t NoLeader = 99;
};

/// What happened in one schedule.
struct ScheduleResult
{
    int doubleOwned = 0; ///< ms in which some probe had two owners
    std::size_t served = 0; ///< probe-steps with an owner
    std::size_t looked = 0;
};

template <typename Rules>
class KeySchedule
{
public:
    /// @param faultRate chance of each kind of fault in each step; the usual one makes one in 2.5 s
    explicit KeySchedule(unsigned seed, double faultRate = 0.004)
        : m_random(seed)
        , m_faultRate(faultRate)
    {
        for (std::size_t at = 0; at < m_servers.size(); ++at) {
            m_servers[at].entry.id = "s" + std::to_string(at);
            m_servers[at].entry.slots = 2;
            m_servers[at].entry.incarnation = 1;
            m_servers[at].clockFactor = 1.0 + 0.02 * uniform(); // up to 2 % slow, as the pages allow
        }
    }

    ScheduleResult run(Milliseconds length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += Step;
            makeFaults();
            deliver();
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                act(host);
            }
            look();
        }
        return m_result;
    }

private:
    struct Host
    {
        std::unique_ptr<BasicKeyAuthority<Rules>> authority;
        TimePoint authorityUntil;
        TimePoint renewedAt;
        TimePoint pausedUntil;
        bool reachesStore = true;
        std::vector<UpstreamServer> entries; ///< as the host last read them
        std::uint64_t planRevision = 0;
        std::uint64_t generation = 0; ///< tells late results of an earlier term apart
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

    Milliseconds between(int least, int most)
    {
        return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_random));
    }

    void later(Duration delay, std::function<void()> run)
    {
        m_events.push_back({m_now + delay, std::move(run)});
    }

    void deliver()
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

    void makeFaults()
    {
        if (chance(m_faultRate)) {
            Host &host = m_hosts[pick(m_hosts.size())];
            host.pausedUntil = m_now + between(100, 6'000);
        }
        if (chance(m_faultRate)) {
            Host &host = m_hosts[pick(m_hosts.size())];
            host.reachesStore = !host.reachesStore;
        }
        if (chance(m_faultRate)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.reachable = !server.reachable;
        }
        if (chance(m_faultRate)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.inStore = !server.inStore;
        }
        if (chance(m_faultRate / 2)) {
            m_servers[pick(m_servers.size())].restart();
        }
        if (chance(m_faultRate)) {
            FakeServer &server = m_servers[pick(m_servers.size())];
            server.entry.draining = !server.entry.draining;
        }
        if (chance(m_faultRate)) {
            m_lateGrants = !m_lateGrants;
        }
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void act(std::size_t number)
    {
        Host &host = m_hosts[number];
        if (m_now < host.pausedUntil) {
            return;
        }
        keepLease(number);
        if (!host.authority) {
            return;
        }
        if (host.reachesStore) {
            host.entries.clear();
            for (const FakeServer &server : m_servers) {
                if (server.inStore) {
                    host.entries.push_back(server.entry);
                }
            }
        }
        host.authority->setServers(host.entries, m_now);
        host.authority->setLeaderLease(host.authorityUntil, host.reachesStore);
        if (chance(0.05)) {
            moveSomeKeys(host);
        }
        for (const KeyAction &action : host.authority->advance(m_now)) {
            std::visit(
                [this, number](const auto &each) {
                    perform(number, each);
                },
                action);
        }
    }

    /// Loads that make one random probe hot.
    void moveSomeKeys(Host &host)
    {
        typename BasicKeyAuthority<Rules>::Demand &demand = m_demand;
        demand.fast.assign(KeyCount, 0.0F);
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            demand.fast[probe * ProbeWidth] = 0.1F;
        }
        const std::size_t hot = pick(Probes);
        demand.fast[hot * ProbeWidth] = 1.0F;
        demand.fast[(hot + 1) % Probes * ProbeWidth] = 1.0F;
        demand.slow = demand.fast;
        demand.fastWindow = demand.slowWindow = Seconds(10);
        demand.meanWork = Seconds(0.05);
        for (const FakeServer &server : m_servers) {
            demand.capacities[server.entry.id] = 2;
        }
        host.authority->balance(demand, m_now);
    }

    void keepLease(std::size_t number)
    {
        constexpr Milliseconds Lease(2'000);
        constexpr Milliseconds Margin(250);
        constexpr Milliseconds RenewInterval(500);
        Host &host = m_hosts[number];
        if (m_store.leader != FakeStore::NoLeader && m_now >= m_store.leaseEnd) {
            m_store.leader = FakeStore::NoLeader;
        }
        if (!host.reachesStore) {
            return;
        }
        if (m_store.leader == number && m_now - host.renewedAt >= RenewInterval) {
            host.renewedAt = m_now;
            host.authorityUntil = m_now + Lease - Margin;
            m_store.leaseEnd = m_now + Lease;
        } else if (m_store.leader == FakeStore::NoLeader) {
            host = Host{nullptr, m_now + Lease - Margin, m_now, {}, true, {}, m_store.revision, host.generation + 1};
            m_store.leader = number;
            m_store.leaseEnd = m_now + Lease;
            const KeyPlan plan = m_store.plan.empty() ? KeyPlan() : *parseKeyPlan(m_store.plan);
            host.authority = std::make_unique<BasicKeyAuthority<Rules>>(plan, KeyAuthorityTimes(), m_now);
        }
    }

    void perform(std::size_t, const OwnershipNote &)
    {
    }

    void perform(std::size_t number, const SaveKeyPlan &save)
    {
        tryToSave(number, m_hosts[number].generation, toText(save.plan));
    }

    void tryToSave(std::size_t number, std::uint64_t generation, const std::string &text)
    {
        later(between(2, 40), [this, number, generation, text]() {
            Host &host = m_hosts[number];
            if (host.generation != generation) {
                return;
            }
            if (!host.reachesStore || m_now < host.pausedUntil) {
                tryToSave(number, generation, text);
                return;
            }
            if (m_store.revision != host.planRevision && m_store.plan != text) {
                host.authority.reset(); // superseded
                return;
            }
            if (m_store.plan != text) {
                m_store.plan = text;
                ++m_store.revision;
            }
            if (chance(0.2)) {
                tryToSave(number, generation, text); // the answer was lost; the next try finds our own plan
                return;
            }
            host.planRevision = m_store.revision;
            host.authority->onPlanSaved(m_now);
        });
    }

    void perform(std::size_t number, const GrantKeys &grant)
    {
        const std::size_t at = indexOf(grant.server.id);
        const std::int64_t life = grant.server.incarnation;
        if (!m_servers[at].reachable) {
            finish(number, grant.call, KeyCallOutcome::NoAnswer, between(300, 500));
            return;
        }
        const Milliseconds way = between(1, 60);
        const bool isLate = m_lateGrants && chance(0.3);
        const Duration applyAfter = isLate ? Duration(way + between(2'000, 12'000)) : Duration(way);
        const TimePoint arrival = m_now + way;
        const auto outcome = std::make_shared<KeyCallOutcome>(KeyCallOutcome::NoAnswer);
        later(applyAfter, [this, at, life, grant, arrival, outcome]() {
            FakeServer &server = m_servers[at];
            if (server.entry.incarnation != life) {
                return;
            }
            const auto hold = std::chrono::duration<double, std::milli>(grant.hold) * server.clockFactor;
            const TimePoint end = arrival + std::chrono::duration_cast<Duration>(hold);
            *outcome = server.grant(grant.keys, grant.fence, end) ? KeyCallOutcome::Accepted : KeyCallOutcome::Refused;
        });
        const Milliseconds back = between(1, 60);
        const bool isAnswered = !isLate && !chance(0.1);
        const std::uint64_t generation = m_hosts[number].generation;
        later(isAnswered ? way + back : Milliseconds(500), [this, number, generation, grant, outcome, isAnswered]() {
            report(number, generation, grant.call, isAnswered ? *outcome : KeyCallOutcome::NoAnswer);
        });
    }

    void perform(std::size_t number, const ReleaseKeys &release)
    {
        const std::size_t at = indexOf(release.server.id);
        if (!m_servers[at].reachable) {
            finish(number, release.call, KeyCallOutcome::NoAnswer, between(300, 500));
            return;
        }
        const Milliseconds way = between(1, 60);
        const std::int64_t life = release.server.incarnation;
        later(way, [this, at, life, release]() {
            if (m_servers[at].entry.incarnation == life) {
                m_servers[at].release(release.keys);
            }
        });
        finish(number, release.call, chance(0.1) ? KeyCallOutcome::NoAnswer : KeyCallOutcome::Accepted,
               way + between(1, 300));
    }

    void finish(std::size_t number, std::uint64_t call, KeyCallOutcome end, Milliseconds after)
    {
        const std::uint64_t generation = m_hosts[number].generation;
        later(after, [this, number, generation, call, end]() {
            report(number, generation, call, end);
        });
    }

    /// A paused host sees the result when it wakes.
    void report(std::size_t number, std::uint64_t generation, std::uint64_t call, KeyCallOutcome end)
    {
        Host &host = m_hosts[number];
        if (host.generation != generation || !host.authority) {
            return;
        }
        if (m_now < host.pausedUntil) {
            later(host.pausedUntil - m_now + Step, [this, number, generation, call, end]() {
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

    void look()
    {
        bool isDouble = false;
        for (std::size_t probe = 0; probe < Probes; ++probe) {
            const auto owners = std::count_if(m_servers.begin(), m_servers.end(), [&](const FakeServer &server) {
                return server.holds(probe, m_now);
            });
            isDouble = isDouble || owners > 1;
            m_result.served += owners > 0 ? 1 : 0;
            ++m_result.looked;
        }
        m_result.doubleOwned += isDouble ? static_cast<int>(Step.count()) : 0;
    }

    std::mt19937 m_random;
    double m_faultRate;
    typename BasicKeyAuthority<Rules>::Demand m_demand; ///< kept, since its two vectors are large
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::array<FakeServer, 3> m_servers;
    std::array<Host, 2> m_hosts;
    FakeStore m_store;
    std::vector<Event> m_events;
    bool m_lateGrants = false;
    ScheduleResult m_result;
};

} // namespace snipevalve::test

#endif // SNIPEVALVE_OWNERSHIP_KEY_SCHEDULE_TEST_HPP
