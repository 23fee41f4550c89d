#include <catch2/catch.hpp>

#include <algorithm>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 190;
constexpr int HostCount = 2;
/// The stated bound from the store's acknowledgement to the last request that is sent to the zone.
constexpr Milliseconds EvacuationBound{5'000};
constexpr const char *Key = "op/evacuate/a";

/// Sends requests to both services through the hosts in turn.
class Callers
{
public:
    Callers(NodeDeployment &deployment, std::vector<int> hosts)
        : m_deployment(deployment)
        , m_hosts(std::move(hosts))
    {
    }

    void runFor(Milliseconds time)
    {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
            const int host = m_hosts[m_sent % m_hosts.size()];
            const bool isKeyed = (m_sent / m_hosts.size()) % 2 == 0;
            const int key = 64 * static_cast<int>(m_sent * 397 % 1'024); // the stand-ins grant each 64th key
            ++m_sent;
            const Answer answer = isKeyed ? m_deployment.sendRequest(host, "GET", "/k/x", key)
                                          : m_deployment.sendRequest(host, "GET", "/v1/x");
            (isKeyed ? served.first : served.second) += answer.status == 200 ? 1 : 0;
        }
    }

    std::pair<int, int> served; ///< by the keyed service and by the pool

private:
    NodeDeployment &m_deployment;
    std::vector<int> m_hosts;
    std::size_t m_sent = 0;
};

/// The requests that the zone's servers have run since a time.
std::vector<RequestArrival> runsInZone(const PlatformStandin &platform, TimePoint since)
{
    std::vector<RequestArrival> found;
    for (const RequestArrival &arrival : platform.arrivals()) {
        if (arrival.server.ends_with(".a") && arrival.at >= since && arrival.ran) {
            found.push_back(arrival);
        }
    }
    return found;
}

} // namespace

TEST_CASE("nothing is sent to an evacuated zone until it is taken back", "[promise-6]")
{
    enum class Event {
        None,
        StoreAway,
        LeaderLost,
        HostRestart,
    };
    struct Case
    {
        std::string name;
        Event event; ///< after the evacuation
    };
    const std::vector<Case> cases = {
        {"in touch", Event::None},
        {"the store goes away once the hosts know", Event::StoreAway},
        {"the leader is lost at once", Event::LeaderLost},
        {"a host restarts at once", Event::HostRestart},
    };
    std::uint8_t network = Network;
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment("evacuation-" + std::to_string(network), network, HostCount);
        ++network;
        deployment.platform.putConfig(smallConfig(3, 1));
        for (const char *zone : {"a", "b"}) {
            deployment.platform.addServer(std::string("ledger.") + zone, "ledger", true, Milliseconds(5));
            deployment.platform.addServer(std::string("debits.") + zone, "debits", false, Milliseconds(5));
        }
        REQUIRE(deployment.waitUntil(
            [&]() {
                return deployment.serves(0, 0) && deployment.serves(1, 64 * 1'000);
            },
            StartTimeout));
        Callers callers(deployment, {0, 1});
        const TimePoint startedAt = Clock::now();
        callers.runFor(Milliseconds(4'000));
        REQUIRE(!runsInZone(deployment.platform, startedAt).empty());

        deployment.platform.putEntry(Key, "{}");
        const TimePoint evacuatedAt = Clock::now();
        const int leader = deployment.platform.leaderOf("ledger").back() - '0';
        std::vector<int> hosts = {0, 1};
        if (each.event == Event::StoreAway) {
            REQUIRE(deployment.waitUntil(
                [&]() {
                    return deployment.logContains(0, "event=evacuation zone=a state=in_force")
                        && deployment.logContains(1, "event=evacuation zone=a state=in_force");
                },
                EvacuationBound));
            callers.runFor(Milliseconds(500));
            deployment.platform.setStoreFault(StoreFault::Unavailable);
        } else if (each.event == Event::LeaderLost) {
            deployment.node(leader).kill();
            hosts = {1 - leader};
        } else if (each.event == Event::HostRestart) {
            deployment.node(1 - leader).kill();
            deployment.startNode(1 - leader);
        }
        Callers later(deployment, hosts);
        const auto sinceEvacuation = std::chrono::duration_cast<Milliseconds>(Clock::now() - evacuatedAt);
        later.runFor(EvacuationBound - std::min(sinceEvacuation, EvacuationBound));
        const std::pair<int, int> servedBefore = later.served;
        later.runFor(Milliseconds(3'000));
        const std::vector<RequestArrival> late = runsInZone(deployment.platform, evacuatedAt + EvacuationBound);
        CHECK(late.empty());
        const std::vector<RequestArrival> all = runsInZone(deployment.platform, evacuatedAt);
        const Duration last = all.empty() ? Duration::zero() : all.back().at - evacuatedAt;
        WARN(each.name << ": last run in the zone after " << std::chrono::duration_cast<Milliseconds>(last).count()
                       << " ms, served keyed " << later.served.first << ", pool " << later.served.second);
        CHECK(later.served.second - servedBefore.second > 50);
        if (each.event != Event::StoreAway) {
            CHECK(later.served.first - servedBefore.first > 50);
        }
        CHECK(deployment.platform.ownershipBreaches() == 0);

        deployment.platform.setStoreFault(StoreFault::None);
        deployment.platform.removeEntry(Key);
        const TimePoint takenBackAt = Clock::now();
        CHECK(deployment.waitUntil(
            [&]() {
                later.runFor(Milliseconds(200));
                return !runsInZone(deployment.platform, takenBackAt).empty();
            },
            StartTimeout));
    }
}

} // namespace snipevalve::standins
