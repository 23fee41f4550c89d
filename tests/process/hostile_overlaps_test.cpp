#include "process/hostile_crowds.hpp"
#include "process/node_deployment.hpp"

#include <csignal>
#include <list>

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 238;
constexpr int Key = 64 * 64; ///< the stand-in servers note every 64th key that they are granted
const std::string NodePath = "/p/x";
constexpr NodeLimits OverlapLimits{120, 400};
constexpr NodeLimits ManyConnections{64, 3'075}; ///< descriptors of the smallest hosts

/// @brief What happens while crowds hold the connections of a node.
struct Overlap
{
    std::string name;
    NodeLimits limits;
    std::vector<CrowdRequest> crowds;
    std::function<void(NodeDeployment &, int crowded)> moment;
    bool isAtLeader = false; ///< the crowds meet the leader of the keyed service, else the other node
};

CrowdRequest silentConnections()
{
    return {400, "", "", 0}; // as many as the descriptors
}

CrowdRequest unfinishedBodies()
{
    constexpr std::size_t BodyBytes = 8 * Megabyte;
    constexpr std::size_t PartBytes = 256 * Kilobyte;
    const std::string part(PartBytes, 'p');
    const std::string ofBody = part.substr(8);
    return {40, head(NodePath, "crowd", length(BodyBytes)) + ofBody, part, BodyBytes / PartBytes - 1};
}

/// @brief Callers that are refused and don't close their connections.
CrowdRequest refusedCallers()
{
    return {2'300, "GET /p/x HTTP/1.1\r\nX-Snipevalve-Request-Id: crowd\r\n\r\n", "", 0};
}

std::vector<Overlap> overlaps()
{
    const std::vector<CrowdRequest> both = {silentConnections(), unfinishedBodies()};
    return {
        {"reloads", OverlapLimits, both,
         [](NodeDeployment &deployment, int crowded) {
             for (int time = 0; time < 3; ++time) {
                 ::kill(deployment.node(crowded).pid(), SIGHUP);
                 std::this_thread::sleep_for(Milliseconds(100));
             }
         }},
        {"a new configuration", OverlapLimits, both,
         [](NodeDeployment &deployment, int crowded) {
             deployment.platform.putConfig(smallConfig(3, 1));
             CHECK(deployment.waitUntil(
                 [&]() {
                     return deployment.sendRequest(crowded, "GET", "/v1/x").status == 200;
                 },
                 StartTimeout));
         }},
        {"an outage of the store", OverlapLimits, both,
         [](NodeDeployment &deployment, int) {
             deployment.platform.setStoreFault(StoreFault::Unavailable);
             std::this_thread::sleep_for(HoldTime);
             deployment.platform.setStoreFault(StoreFault::None);
         }},
        {"the loss of the leader", OverlapLimits, both,
         [](NodeDeployment &deployment, int crowded) {
             deployment.node(1 - crowded).kill();
             CHECK(deployment.waitUntil(
                 [&]() {
                     return deployment.serves(crowded, Key);
                 },
                 StartTimeout));
         }},
        {"requests of the other node", OverlapLimits, both,
         [](NodeDeployment &deployment, int crowded) {
             CHECK(deployment.waitUntil(
                 [&]() {
                     return deployment.serves(1 - crowded, Key);
                 },
                 StartTimeout));
         },
         true},
        {"refused callers that stay",
         ManyConnections,
         {unfinishedBodies(), refusedCallers()},
         [](NodeDeployment &, int) {}},
    };
}

/// @brief Two nodes with a pool and a keyed service, and one of them that leads the keyed service.
class TwoNodes : public NodeDeployment
{
public:
    TwoNodes(const std::string &name, std::uint8_t network, NodeLimits limits)
        : NodeDeployment(name, network, 2, limits)
    {
        platform.addServer("pool", "debits", false, Milliseconds(1));
        platform.addServer("keyed", "ledger", true, Milliseconds(1));
        REQUIRE(waitUntil(
            [this]() {
                return serves(0, Key) && serves(1, Key) && post(callers(0), NodePath, 1) == 200
                    && post(callers(1), NodePath, 1) == 200;
            },
            StartTimeout));
    }

    Endpoint callers(int index) const
    {
        return {addressOf(index), NodeCallersPort};
    }

    int leader() const
    {
        return platform.leaderOf("ledger") == "node-0" ? 0 : 1;
    }

    bool servesKey(int index)
    {
        constexpr int Tries = 10;
        for (int attempt = 0; attempt < Tries; ++attempt) {
            if (serves(index, Key)) {
                return true;
            }
            std::this_thread::sleep_for(Milliseconds(300));
        }
        return false;
    }
};

} // namespace

// Guards against crowds that do no harm one by one, and leave no memory or descriptors for what the node does besides.
TEST_CASE("crowds that keep connections and memory leave the node serving through other events", "[promise-4]")
{
    std::uint8_t network = Network;
    for (const Overlap &each : overlaps()) {
        DYNAMIC_SECTION(each.name)
        {
            TwoNodes deployment("overlap-" + std::to_string(network), network, each.limits);
            const int crowded = each.isAtLeader ? deployment.leader() : 1 - deployment.leader();
            const Endpoint target = deployment.callers(crowded);
            {
                std::list<CallerCrowd> crowds;
                for (const CrowdRequest &request : each.crowds) {
                    crowds.emplace_back(target, request);
                }
                std::this_thread::sleep_for(HoldTime);
                each.moment(deployment, crowded);
                for (const CallerCrowd &crowd : crowds) {
                    crowd.waitUntilSent(SendTimeout);
                }
                checkLimits(deployment.node(crowded), each.limits);
                CHECK(servesUpload(target, NodePath));
                CHECK(deployment.servesKey(crowded));
                checkLimits(deployment.node(crowded), each.limits);
            }
            CHECK(servesUpload(target, NodePath));
            CHECK(deployment.servesKey(crowded));
            CHECK(deployment.node(crowded).isRunning());
        }
        ++network;
    }
}

// Guards against a stop that waits for callers who neither end their requests nor close their connections.
TEST_CASE("a node that is told to stop ends although crowds keep its connections and memory", "[promise-4]")
{
    TwoNodes deployment("overlap-stop", Network + 10, OverlapLimits);
    const int crowded = deployment.leader();
    std::list<CallerCrowd> crowds;
    for (const CrowdRequest &request : {silentConnections(), unfinishedBodies()}) {
        crowds.emplace_back(deployment.callers(crowded), request);
    }
    std::this_thread::sleep_for(HoldTime);
    checkLimits(deployment.node(crowded), OverlapLimits);
    deployment.node(crowded).terminate();
    CHECK(deployment.node(crowded).wait(StartTimeout) == 0);
    CHECK(servesUpload(deployment.callers(1 - crowded), NodePath));
    CHECK(deployment.servesKey(1 - crowded));
}

// Guards against memory that stays with the process, so that each crowd adds to that of the earlier ones.
TEST_CASE("one crowd after the other leaves the node within its memory", "[promise-4]")
{
    constexpr int Crowds = 4;
    TwoNodes deployment("overlap-again", Network + 11, SmallestHost);
    for (int crowd = 0; crowd < Crowds; ++crowd) {
        for (const CrowdCase &each : crowds(NodePath)) {
            const bool isLarge = each.limits.memoryMb == SmallestHost.memoryMb && each.request.callers > 1;
            if (isLarge && each.limits.descriptors == SmallestHost.descriptors) {
                const CallerCrowd held(deployment.callers(0), each.request);
                held.waitUntilSent(SendTimeout);
                std::this_thread::sleep_for(HoldTime);
            }
        }
        checkLimits(deployment.node(0), SmallestHost);
        CHECK(servesUpload(deployment.callers(0), NodePath));
    }
}

} // namespace snipevalve::standins
