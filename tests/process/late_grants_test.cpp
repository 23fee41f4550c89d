#include <catch2/catch.hpp>

#include "process/node_deployment.hpp"
#include "soak/fault_proxy.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 150;
constexpr int Nodes = 2;
constexpr int ProbeKeys = 8;
constexpr int ProbeWidth = 8'192;

using soak::ConnectionFault;
using soak::FaultProxy;

/// Connections of all nodes to one server lead through it.
class ServerLink
{
public:
    ServerLink(const Endpoint &listen, const Endpoint &server)
        : proxy(m_context, listen, server)
        , m_thread([this]() {
            m_context.run();
        })
    {
    }

    ~ServerLink()
    {
        m_context.stop();
        m_thread.join();
    }

private:
    asio::io_context m_context{1};

public:
    FaultProxy proxy;

private:
    std::thread m_thread;
};

int servedKeys(NodeDeployment &deployment, int node)
{
    int served = 0;
    for (int probe = 0; probe < ProbeKeys; ++probe) {
        served += deployment.serves(node, probe * ProbeWidth) ? 1 : 0;
    }
    return served;
}

} // namespace

/// A closed connection still delivers what was written to it, for as long as the kernel sends it again.
TEST_CASE("a grant that its leader has given up takes no effect after the link has healed", "[promise-1]")
{
    struct Case
    {
        std::string name;
        bool isLeaderKilled;
    };
    const Case each = GENERATE(values<Case>({
        {"late-grant", false},
        {"late-grant-of-killed-leader", true},
    }));
    INFO(each.name);
    NodeDeployment deployment(each.name, each.isLeaderKilled ? Network + 1 : Network, Nodes);
    PlatformStandin &platform = deployment.platform;
    const Endpoint cutServer = platform.nextServerEndpoint();
    ServerLink link({cutServer.address, 8700}, cutServer);
    platform.addServer("cut", "ledger", true, Milliseconds(1), link.proxy.endpoint());
    platform.addServer("other", "ledger", true, Milliseconds(1));
    for (int node = 0; node < Nodes; ++node) {
        REQUIRE(deployment.waitUntil(
            [&]() {
                return servedKeys(deployment, node) == ProbeKeys;
            },
            StartTimeout));
    }
    const int leader = platform.leaderOf("ledger").back() - '0';
    const int remaining = (leader + 1) % Nodes;

    const TimePoint cutAt = Clock::now();
    link.proxy.setFault(ConnectionFault::CutToTarget);
    constexpr Milliseconds RenewalsAreDue(2'500);
    std::this_thread::sleep_for(RenewalsAreDue);
    if (each.isLeaderKilled) {
        deployment.node(leader).kill();
    }
    platform.leave("cut");
    constexpr Milliseconds LongestHold(30'000);
    REQUIRE(deployment.waitUntil(
        [&]() {
            return servedKeys(deployment, remaining) == ProbeKeys;
        },
        LongestHold));
    link.proxy.setFault(ConnectionFault::None);
    // TCP doubles the time between retransmissions, so the next one comes after as long again at the latest.
    std::this_thread::sleep_for(Clock::now() - cutAt + Milliseconds(1'000));
    CHECK(platform.ownershipBreaches() == 0);
}

TEST_CASE("a request that its host has given up does not run after the link has healed", "[promise-5]")
{
    struct Case
    {
        std::string name;
        std::string method;
        std::string path;
    };
    const Case each = GENERATE(values<Case>({
        {"late-lookup", "GET", "/v1/x"},
        {"late-debit", "POST", "/p/x"},
    }));
    INFO(each.name);
    NodeDeployment deployment(each.name, each.method == "GET" ? Network + 2 : Network + 3, 1);
    PlatformStandin &platform = deployment.platform;
    platform.putConfig(smallConfig(3, 1));
    const Endpoint server = platform.nextServerEndpoint();
    ServerLink link({server.address, 8700}, server);
    platform.addServer("cut", "debits", false, Milliseconds(1), link.proxy.endpoint());
    REQUIRE(deployment.waitUntil(
        [&]() {
            return deployment.sendRequest(0, each.method, each.path).status == 200;
        },
        StartTimeout));

    link.proxy.setFault(ConnectionFault::CutToTarget);
    const std::size_t runsBefore = platform.runs().size();
    CHECK(deployment.sendRequest(0, each.method, each.path, -1, Milliseconds(1'000)).status != 200);
    link.proxy.setFault(ConnectionFault::None);
    std::this_thread::sleep_for(Milliseconds(3'000));
    CHECK(platform.runs().size() == runsBefore);
}

} // namespace snipevalve::standins
