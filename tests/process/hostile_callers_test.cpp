#include "process/hostile_crowds.hpp"
#include "process/node_deployment.hpp"
#include "standins/scripted_server.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 190;

/// @brief One node with lowered limits and one server that answers each request.
class SmallNode : public NodeDeployment
{
public:
    SmallNode(const std::string &name, std::uint8_t network, NodeLimits limits)
        : NodeDeployment(name, network, 1, limits)
        , server({"127." + std::to_string(network) + ".3.1", 8080})
    {
        platform.putConfig(smallConfig(3, 1));
        platform.addServer("scripted", "debits", false, Milliseconds(5), server.endpoint());
        server.setScript([](const std::string &id) {
            ScriptedReply reply;
            reply.start = "HTTP/1.1 200 OK\r\nX-Snipevalve-Request-Id: " + id
                + "\r\nX-Snipevalve-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
            return reply;
        });
        REQUIRE(waitUntil(
            [this]() {
                return sendRequest(0, "GET", "/v1/x").status == 200;
            },
            StartTimeout));
    }

    Endpoint callers() const
    {
        return {addressOf(0), NodeCallersPort};
    }

    ScriptedServer server;
};

const std::string NodePath = "/p/x";

} // namespace

// Guards against callers that take the node's memory or descriptors, or keep others from sending their requests, by
// requests that they don't end.
TEST_CASE("a crowd of callers that don't end their requests leaves the node serving", "[promise-4]")
{
    std::uint8_t network = Network;
    for (const CrowdCase &each : crowds(NodePath)) {
        DYNAMIC_SECTION(each.name)
        {
            SmallNode deployment("node-" + std::to_string(network), network, each.limits);
            meetCrowd(deployment.node(0), deployment.callers(), NodePath, each);
        }
        ++network;
    }
}

// Guards against bodies that are held more than once, and against limits that refuse what the documentation allows.
TEST_CASE("a single request of the largest size is served in calm on the smallest host", "[promise-4]")
{
    SmallNode deployment("node-largest", Network + 20, SmallestHost);
    CHECK(post(deployment.callers(), NodePath, LargestBody) == 200);
    checkLimits(deployment.node(0), SmallestHost);
}

} // namespace snipevalve::standins
