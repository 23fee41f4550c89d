#include <catch2/catch.hpp>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 70;
constexpr int Nodes = 3;
constexpr Milliseconds ChangeBound(2'000); ///< for a new configuration and for servers that leave

void pauseFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Asks all nodes for a route until `end`. @return whether each of them always had it
bool isAlwaysKnown(NodeDeployment &deployment, const std::string &path, TimePoint end)
{
    bool isKnown = true;
    while (isKnown && Clock::now() < end) {
        for (int node = 0; node < Nodes; ++node) {
            isKnown = isKnown && deployment.sendRequest(node, "GET", path).status != 404;
            deployment.sendRequest(node, "POST", "/p/x");
        }
        pauseFor(Milliseconds(10));
    }
    return isKnown;
}

bool waitUntilKnown(NodeDeployment &deployment, const std::string &path)
{
    return deployment.waitUntil(
        [&]() {
            bool isKnown = true;
            for (int node = 0; node < Nodes; ++node) {
                isKnown = isKnown && deployment.sendRequest(node, "GET", path).status == 200;
            }
            return isKnown;
        },
        ChangeBound);
}

} // namespace

TEST_CASE("a restored store takes no configuration back and brings back no server that left", "[promise-6][promise-8]")
{
    struct Case
    {
        std::string name;
        Milliseconds age; ///< of the copy, which does not have the changes
        Milliseconds away;
        bool isChangedWhileAway; ///< the operators change the configuration at once, or after the return
    };
    constexpr Milliseconds ChangeAge(1'500); ///< of the changes when the store goes away
    const std::vector<Case> cases = {
        {"node-restored", Milliseconds(2'500), Milliseconds(1'000), false},
        {"node-restored-briefly-away", Milliseconds(2'500), Milliseconds(50), false},
        {"node-restored-changed", Milliseconds(2'500), Milliseconds(1'000), true},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment(each.name, Network, Nodes);
        PlatformStandin &platform = deployment.platform;
        constexpr int Servers = 5;
        for (int server = 0; server < Servers; ++server) {
            platform.addServer("debit-" + std::to_string(server), "debits", false, Milliseconds(5));
        }
        REQUIRE(deployment.waitUntil(
            [&]() {
                bool isServed = true;
                for (int node = 0; node < Nodes; ++node) {
                    isServed = isServed && deployment.sendRequest(node, "POST", "/p/x").status == 200;
                }
                return isServed;
            },
            StartTimeout));
        pauseFor(each.age - ChangeAge);

        platform.putConfig(smallConfig(3, 1));
        platform.drainServer("debit-1");
        platform.leave("debit-2");
        const TimePoint leftAt = Clock::now();
        CHECK(waitUntilKnown(deployment, "/v1/x"));
        CHECK(isAlwaysKnown(deployment, "/v1/x", leftAt + ChangeAge));
        platform.restoreStore(each.age, each.away);
        if (each.isChangedWhileAway) {
            platform.putConfig(smallConfig(4, 2));
        }
        CHECK(isAlwaysKnown(deployment, "/v1/x", Clock::now() + each.away + Milliseconds(200)));
        if (!each.isChangedWhileAway) {
            platform.putConfig(smallConfig(4, 2));
        }
        CHECK(waitUntilKnown(deployment, "/v2/x"));
        CHECK(isAlwaysKnown(deployment, "/v1/x", Clock::now() + Milliseconds(1'500)));
        CHECK(isAlwaysKnown(deployment, "/v2/x", Clock::now() + Milliseconds(1'500)));

        int lateRuns = 0;
        int runs = 0;
        for (const RequestArrival &arrival : platform.arrivals()) {
            const bool hasLeft = arrival.server == "debit-1" || arrival.server == "debit-2";
            lateRuns += hasLeft && arrival.at > leftAt + ChangeBound ? 1 : 0;
            runs += arrival.at > leftAt + ChangeBound ? 1 : 0;
        }
        CHECK(lateRuns == 0);
        CHECK(runs > 100);
        bool isRestoreSeen = false;
        for (int node = 0; node < Nodes; ++node) {
            isRestoreSeen = isRestoreSeen || deployment.logContains(node, "event=restored era=2 previous=1");
        }
        CHECK(isRestoreSeen);
    }
}

TEST_CASE("keys have one owner and are served again after the store was restored", "[promise-1]")
{
    struct Case
    {
        std::string name;
        Milliseconds settled; ///< from the last change of owners until the store goes away
        Milliseconds away;
    };
    const std::vector<Case> cases = {
        {"node-restored-keys", Milliseconds(2'000), Milliseconds(1'000)},
        {"node-restored-keys-long-away", Milliseconds(2'000), Milliseconds(3'000)},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment(each.name, Network + 1, Nodes);
        PlatformStandin &platform = deployment.platform;
        constexpr int Servers = 3;
        for (int server = 0; server < Servers; ++server) {
            platform.addServer("ledger-" + std::to_string(server), "ledger", true, Milliseconds(5));
        }
        constexpr int KeyStep = 64 * 128;
        const auto areServed = [&]() {
            bool areServed = true;
            for (int key = 0; key < 65'536; key += KeyStep) {
                areServed = areServed && deployment.serves(key / KeyStep % Nodes, key);
            }
            return areServed;
        };
        REQUIRE(deployment.waitUntil(areServed, StartTimeout));
        // The copy is older than these changes of owners.
        constexpr Milliseconds CopyLead(500);
        pauseFor(2 * CopyLead);
        const TimePoint changedAt = Clock::now();
        platform.crashServer("ledger-1");
        platform.addServer("ledger-9", "ledger", true, Milliseconds(5));
        CHECK(deployment.waitUntil(areServed, Milliseconds(12'000)));
        const TimePoint awayAt = Clock::now() + each.settled;
        while (Clock::now() < awayAt) {
            areServed();
        }
        platform.restoreStore(std::chrono::duration_cast<Milliseconds>(Clock::now() - changedAt) + CopyLead, each.away);
        const TimePoint backAt = Clock::now() + each.away;
        while (Clock::now() < backAt + Milliseconds(3'000)) {
            for (int key = 0; key < 65'536; key += KeyStep) {
                deployment.sendRequest(key / KeyStep % Nodes, "GET", "/k/x", key, Milliseconds(300));
            }
        }
        // A new term waits for the longest grants of the previous one: 10.6 s.
        CHECK(deployment.waitUntil(areServed, Milliseconds(12'000)));
        CHECK(platform.ownershipBreaches() == 0);
    }
}

} // namespace snipevalve::standins
