#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <future>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 90;
constexpr int FirstHost = 0;
constexpr int HostCount = 2;

std::size_t arrivalsAt(const PlatformStandin &platform, const std::string &server)
{
    const std::vector<RequestArrival> arrivals = platform.arrivals();
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&server](const auto &arrival) {
        return arrival.server == server;
    }));
}

/// Sends requests to a host until one has reached the server. @return whether one has
bool reachServer(NodeDeployment &deployment, int host, const std::string &path, const std::string &server, int key)
{
    const std::size_t before = arrivalsAt(deployment.platform, server);
    return deployment.waitUntil(
        [&]() {
            deployment.sendRequest(host, "GET", path, key);
            return arrivalsAt(deployment.platform, server) > before;
        },
        StartTimeout);
}

/// Sends more requests at a time than one server has slots, so that the host gets connections to both servers. Without
/// load a leader prefers the server that the host is connected to, even if the other one is faster.
void connectToBothServers(NodeDeployment &deployment, int host)
{
    constexpr int Concurrent = 6;
    std::vector<std::future<Answer>> answers;
    for (int request = 0; request < Concurrent; ++request) {
        answers.push_back(std::async(std::launch::async, [&deployment, host]() {
            return deployment.sendRequest(host, "GET", "/v1/x");
        }));
    }
}

/// Sends requests until the leader has let each host use server debit-0.
bool hasLeaderOnAllHosts(NodeDeployment &deployment)
{
    bool hasLeader = true;
    for (int host = 0; host < HostCount; ++host) {
        hasLeader = hasLeader
            && deployment.waitUntil(
                [&]() {
                    connectToBothServers(deployment, host);
                    deployment.sendRequest(host, "GET", "/v1/x");
                    return deployment.logContains(host, "service=debits key=-1 server=debit-0 decided_by=leader");
                },
                StartTimeout);
    }
    return hasLeader;
}

} // namespace

TEST_CASE("once a host has passed on that a server leaves, it sends that server no later request", "[promise-6]")
{
    struct Case
    {
        std::string name;
        bool isLeaderLost; ///< the leader dies after the answer, so that a host without the answer leads or none does
        StoreFault store;
    };
    const std::vector<Case> cases = {
        {"in touch", false, StoreFault::None},
        {"the store is away", false, StoreFault::Unavailable},
        {"the leader is lost", true, StoreFault::None},
        {"the leader is lost and the store is away", true, StoreFault::Unavailable},
    };
    std::uint8_t network = Network;
    for (const Case &each : cases) {
        INFO(each.name);
        NodeDeployment deployment("leaving-" + std::to_string(network), network, HostCount);
        ++network;
        deployment.platform.putConfig(smallConfig(3, 1));
        deployment.platform.addServer("debit-0", "debits", false, Milliseconds(1));
        deployment.platform.addServer("debit-1", "debits", false, Milliseconds(20)); // used less often
        REQUIRE(hasLeaderOnAllHosts(deployment));
        const std::string leader = deployment.platform.leaderOf("debits");
        REQUIRE(!leader.empty());
        const int leaderHost = leader.back() - '0';
        const int otherHost = (leaderHost + 1) % HostCount;
        deployment.platform.setStoreFault(each.store);
        deployment.platform.announceLeaving("debit-0");
        REQUIRE(reachServer(deployment, otherHost, "/v1/x", "debit-0", -1));
        if (each.isLeaderLost) {
            deployment.node(leaderHost).kill();
        }
        const std::size_t before = arrivalsAt(deployment.platform, "debit-0");
        constexpr Milliseconds Observed(4'000); // twice the bound, and longer than a leader's lease
        const TimePoint end = Clock::now() + Observed;
        std::size_t answered = 0;
        while (Clock::now() < end) {
            answered += deployment.sendRequest(otherHost, "GET", "/v1/x").status == 200 ? 1 : 0;
            if (!each.isLeaderLost) {
                answered += deployment.sendRequest(leaderHost, "GET", "/v1/x").status == 200 ? 1 : 0;
            }
        }
        CHECK(arrivalsAt(deployment.platform, "debit-0") == before);
        CHECK(answered > 30); // a request takes about 20 ms
        CHECK(deployment.logContains(otherHost, "server=debit-0 leaving since=20"));
        CHECK(deployment.logContains(otherHost, "told_by=answer service=debits"));
        for (int host = 0; host < HostCount; ++host) {
            CHECK_FALSE(deployment.logContains(host, "told_by=list")); // its entry has never said so
        }
    }
}

TEST_CASE("a server that says that it leaves hands its keys over, and is used again after a new start",
          "[promise-1][promise-6]")
{
    NodeDeployment deployment("leaving-keyed", Network + 6, HostCount);
    for (const char *id : {"ledger-0", "ledger-1"}) {
        deployment.platform.addServer(id, "ledger", true, Milliseconds(5));
    }
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.serves(0, 0) && deployment.serves(1, 64 * 1'000);
        },
        StartTimeout));
    deployment.platform.announceLeaving("ledger-0");
    const auto sendToAllKeys = [&](int host) {
        std::size_t answered = 0;
        for (int key = 0; key < 65'536; key += 64 * 64) {
            answered += deployment.serves(host, key) ? 1 : 0;
        }
        return answered;
    };
    constexpr std::size_t SampledKeys = 16;
    sendToAllKeys(FirstHost); // an answer tells
    constexpr Milliseconds DrainBound(2'000);
    std::this_thread::sleep_for(DrainBound);
    const std::size_t before = arrivalsAt(deployment.platform, "ledger-0");
    CHECK(sendToAllKeys(0) == SampledKeys);
    CHECK(sendToAllKeys(1) == SampledKeys);
    CHECK(arrivalsAt(deployment.platform, "ledger-0") == before);
    CHECK(deployment.platform.ownershipBreaches() == 0);

    deployment.platform.crashServer("ledger-0");
    deployment.platform.restartServer("ledger-0");
    deployment.platform.crashServer("ledger-1"); // its keys can only go to the new life of the other server
    constexpr Milliseconds LongestHold(12'000);
    CHECK(deployment.waitUntil(
        [&]() {
            return deployment.serves(0, 0) && deployment.serves(1, 64 * 1'000);
        },
        LongestHold));
    CHECK(arrivalsAt(deployment.platform, "ledger-0") > before);
    CHECK(deployment.platform.ownershipBreaches() == 0);
}

TEST_CASE("a server that asks for a pause gets no request from that host until its end", "[promise-3]")
{
    NodeDeployment deployment("pause-pool", Network + 8, HostCount);
    deployment.platform.putConfig(smallConfig(3, 1));
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(1));
    deployment.platform.addServer("debit-1", "debits", false, Milliseconds(20)); // used less often
    REQUIRE(hasLeaderOnAllHosts(deployment));
    constexpr Milliseconds Pause(3'000);
    deployment.platform.pauseServer("debit-0", Pause);
    const TimePoint end = Clock::now() + Pause;
    std::array<std::size_t, HostCount> refused{};
    std::array<std::size_t, HostCount> sent{};
    const std::size_t before = arrivalsAt(deployment.platform, "debit-0");
    while (Clock::now() < end - Milliseconds(100)) {
        for (int host = 0; host < HostCount; ++host) {
            const auto index = static_cast<std::size_t>(host);
            refused.at(index) += deployment.sendRequest(host, "GET", "/v1/x").status == 200 ? 0 : 1;
            ++sent.at(index);
        }
    }
    CHECK(arrivalsAt(deployment.platform, "debit-0") <= before + HostCount); // one each, which was told of the pause
    CHECK(arrivalsAt(deployment.platform, "debit-0") > before);
    CHECK(sent.front() > 20);
    for (int host = 0; host < HostCount; ++host) {
        CHECK(deployment.logContains(host, "server=debit-0 paused until=20"));
    }
    CHECK(refused == std::array<std::size_t, HostCount>{});
    std::this_thread::sleep_until(end);
    deployment.platform.crashServer("debit-1"); // so that the choice between the two does not matter
    CHECK(reachServer(deployment, 0, "/v1/x", "debit-0", -1));
}

TEST_CASE("a request for a key whose owner asks for a pause is refused at once or waits", "[promise-3]")
{
    NodeDeployment deployment("pause-keyed", Network + 9, 1);
    deployment.platform.addServer("ledger-0", "ledger", true, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.serves(0, 0);
        },
        StartTimeout));
    constexpr Milliseconds Pause(2'000);
    deployment.platform.pauseServer("ledger-0", Pause);
    const std::size_t before = arrivalsAt(deployment.platform, "ledger-0");
    constexpr Milliseconds ShortDeadline(900);
    constexpr Milliseconds AtOnce(300);
    for (int request = 0; request < 20; ++request) {
        const Answer answer = deployment.sendRequest(0, "GET", "/k/x", 0, ShortDeadline);
        CHECK(answer.status == 503);
        CHECK(answer.duration < AtOnce);
        CHECK(std::stod("0" + answer.retryAfter) > 0.5);
    }
    const Answer patient = deployment.sendRequest(0, "GET", "/k/x", 0, Milliseconds(3'000));
    CHECK(patient.status == 200);
    CHECK(patient.duration > Milliseconds(500));
    CHECK(arrivalsAt(deployment.platform, "ledger-0") == before + 2); // the first, which was refused, and the last
}

} // namespace snipevalve::standins
