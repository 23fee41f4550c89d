#include <catch2/catch.hpp>

#include <set>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 47;
void addLedgers(PlatformStandin &platform, int count)
{
    for (int at = 0; at < count; ++at) {
        platform.addServer("ledger-" + std::to_string(at), "ledger", true, Milliseconds(5));
    }
}

} // namespace

TEST_CASE("each key has at most one owner while hosts and servers are lost, and is served again")
{
    NodeDeployment deployment("node-owners", Network, 3);
    addLedgers(deployment.platform, 3);
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.serves(0, 0) && deployment.serves(1, 64 * 500);
        },
        StartTimeout));
    for (int request = 0; request < 100; ++request) {
        const Answer answer = deployment.sendRequest(request % 3, "GET", "/k/x", 64 * (request % 64) * 16);
        CHECK(answer.status == 200);
        CHECK(answer.body == "own");
    }
    const std::string leader = deployment.platform.leaderOf("ledger");
    REQUIRE(leader.size() > 5);
    const int leaderNode = leader.back() - '0';
    deployment.node(leaderNode).kill();
    const int otherNode = (leaderNode + 1) % 3;
    constexpr Milliseconds RecoveryBound(5'000);
    CHECK(deployment.waitUntil(
        [&]() {
            return deployment.serves(otherNode, 0) && deployment.platform.leaderOf("ledger") != leader;
        },
        RecoveryBound));
    deployment.platform.crashServer("ledger-1");
    // The new leader does not know the hold times that its predecessor granted, so it waits for the longest: 10.6 s.
    constexpr Milliseconds DoubleRecoveryBound(12'000);
    for (int key = 0; key < 65'536; key += 64 * 128) {
        INFO("key " << key);
        CHECK(deployment.waitUntil(
            [&]() {
                return deployment.serves(otherNode, key);
            },
            DoubleRecoveryBound));
    }
    CHECK(deployment.platform.ownershipBreaches() == 0);
}

TEST_CASE("a restarted host gives up the leadership of its previous process and leads again before that lease expires")
{
    NodeDeployment deployment("node-again", Network + 5, 1);
    addLedgers(deployment.platform, 2);
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.serves(0, 0) && !deployment.platform.leaderOf("ledger").empty();
        },
        StartTimeout));
    deployment.node(0).kill();
    deployment.startNode(0);
    constexpr Milliseconds Lease(2'000);
    CHECK(deployment.waitUntil(
        [&]() {
            return deployment.logContains(0, "event=taken_over service=ledger");
        },
        Lease));
    CHECK(deployment.logContains(0, "event=stray_removed service=ledger"));
    CHECK_FALSE(deployment.logContains(0, "removed=false"));
    CHECK(deployment.platform.ownershipBreaches() == 0);
}

TEST_CASE("an incomplete or invalid server response never becomes a success or a false 'not run'", "[promise-3]")
{
    struct Case
    {
        std::string name;
        ServerFault fault;
        std::set<unsigned> statuses;
    };
    const std::vector<Case> cases = {
        {"no fault", ServerFault::None, {200}},
        {"no stamp", ServerFault::NoStamp, {502, 504}},
        {"another request's answer", ServerFault::OtherId, {502, 504}},
        {"an encoded body", ServerFault::Encoded, {502, 504}},
        {"no answer after a run", ServerFault::CutShort, {502, 504}},
        {"503 after a run", ServerFault::UnavailableAfterRun, {502, 504}},
        {"refused without a run", ServerFault::Refuses, {503}},
    };
    NodeDeployment deployment("node-answers", Network + 1, 1);
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    for (const Case &each : cases) {
        INFO(each.name);
        deployment.platform.setFault("debits", each.fault);
        const std::size_t before = deployment.platform.runs().size();
        const Answer answer = deployment.sendRequest(0, "POST", "/p/x");
        CHECK(each.statuses.contains(answer.status));
        const std::size_t runs = deployment.platform.runs().size() - before;
        CHECK(runs <= 1);
        if (answer.status == 503) {
            CHECK(runs == 0);
            CHECK(!answer.retryAfter.empty());
        }
    }
}

TEST_CASE("a graceful stop completes requests in flight and exits with status 0", "[promise-7]")
{
    NodeDeployment deployment("node-stop", Network + 2, 1);
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(1'500));
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    Answer answer;
    std::thread caller([&]() {
        answer = deployment.sendRequest(0, "POST", "/p/slow");
    });
    std::this_thread::sleep_for(Milliseconds(300));
    deployment.node(0).terminate();
    std::this_thread::sleep_for(Milliseconds(200));
    deployment.node(0).terminate(); // the signal may arrive more than once
    caller.join();
    CHECK(answer.status == 200);
    CHECK(answer.body == "own");
    CHECK(deployment.node(0).wait(Milliseconds(6'000)) == 0);
}

TEST_CASE("a graceful stop with half-sent requests exits with status 0", "[promise-7]")
{
    // Guards against memory corruption when a connection with a partial request is destroyed while the process exits.
    NodeDeployment deployment("node-half", Network + 4, 1);
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    asio::io_context context;
    std::vector<Tcp::socket> callers;
    for (int caller = 0; caller < 20; ++caller) {
        callers.emplace_back(context);
        callers.back().connect(toTcp({deployment.addressOf(0), NodeCallersPort}));
        const std::string half = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: half-"
            + std::to_string(caller) + "\r\nContent-Length: 10\r\n\r\nabc";
        asio::write(callers.back(), asio::buffer(half));
    }
    std::this_thread::sleep_for(Milliseconds(200));
    deployment.node(0).terminate();
    CHECK(deployment.node(0).wait(Milliseconds(6'000)) == 0);
}

TEST_CASE("a configuration takes effect within the bound and stays in effect without the store", "[promise-8]")
{
    NodeDeployment deployment("node-config", Network + 3, 2);
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(5));
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, "POST", "/p/x").status == 200
                && deployment.sendRequest(1, "POST", "/p/x").status == 200;
        },
        StartTimeout));
    std::string next = smallConfig(7);
    next.replace(next.find("/p/"), 3, "/q/");
    deployment.platform.putConfig(next);
    constexpr Milliseconds ConfigBound(2'000);
    for (int at = 0; at < 2; ++at) {
        CHECK(deployment.waitUntil(
            [&]() {
                return deployment.sendRequest(at, "POST", "/q/x").status == 200;
            },
            ConfigBound));
    }
    deployment.platform.putConfig(smallConfig(6)); // an older version is ignored
    std::this_thread::sleep_for(ConfigBound);
    CHECK(deployment.sendRequest(0, "POST", "/p/x").status == 404);
    deployment.platform.setStoreFault(StoreFault::Unavailable);
    std::this_thread::sleep_for(Milliseconds(3'000));
    CHECK(deployment.sendRequest(0, "POST", "/q/x").status == 200);
    CHECK(deployment.sendRequest(1, "POST", "/q/x").status == 200);
}

} // namespace snipevalve::standins
