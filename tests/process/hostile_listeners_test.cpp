#include "process/hostile_crowds.hpp"
#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 227;
const std::string NodePath = "/p/x";

/// @brief A listening address of the node apart from that for callers.
enum class Listener {
    Readiness,
    Control, ///< for the other hosts
};

struct ListenerCase
{
    std::string name;
    Listener listener;
    CrowdRequest request;
    NodeLimits limits;
};

/// @brief The beginning of a frame between hosts: its length, four bytes in big-endian order.
std::string frameLength(std::size_t bytes)
{
    constexpr unsigned BitsPerByte = 8;
    std::string prefix;
    for (int byte = 3; byte >= 0; --byte) {
        prefix += static_cast<char>(bytes >> (BitsPerByte * static_cast<unsigned>(byte)));
    }
    return prefix;
}

/// @brief The first frame that a host named `h` sends.
std::string firstFrame()
{
    const std::string message("\x0a\x01h\x42\x01r", 6); // HostFrame: host and run
    return frameLength(message.size()) + message;
}

std::vector<ListenerCase> listenerCases()
{
    constexpr std::size_t LargestFrame = 4 * Megabyte;
    constexpr std::size_t PartBytes = 256 * Kilobyte;
    constexpr std::size_t MissingBytes = 8;
    constexpr int Connections = 400; ///< twice the descriptors
    constexpr int Frames = 40; ///< of the largest size; more than the memory holds
    const std::string part(PartBytes, 'p');
    const std::string ofFrame = part.substr(MissingBytes);
    const std::string field = "X-T: " + std::string(993, 't') + "\r\n";
    const std::string line = " /ready HTTP/1.1\r\nHost: h.example\r\n";
    const std::string chunked = "POST" + line + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"readiness: connections without a request", Listener::Readiness, {Connections, "", "", 0}, LoweredDescriptors},
        {"readiness: heads that stop short of their end",
         Listener::Readiness,
         {Connections, "GET" + line + repeat(field, 7), "", 0},
         LoweredDescriptors},
        {"readiness: trailers that stop short of their end",
         Listener::Readiness,
         {Connections, chunked + "0\r\n" + repeat(field, 60), "", 0},
         LoweredDescriptors},
        {"readiness: chunk extensions that stop short of their end",
         Listener::Readiness,
         {Connections, chunked + "0;" + std::string(60 * Kilobyte, 'e'), "", 0},
         LoweredDescriptors},
        {"readiness: answers that are not read",
         Listener::Readiness,
         {Connections, "", repeat("GET /metrics HTTP/1.1\r\nHost: h.example\r\n\r\n", 100), 10},
         LoweredDescriptors},
        {"control: connections without a frame", Listener::Control, {Connections, "", "", 0}, LoweredDescriptors},
        {"control: first frames of the largest size, whole but for the last bytes",
         Listener::Control,
         {Frames, frameLength(LargestFrame) + ofFrame, part, LargestFrame / PartBytes - 1},
         SmallestHost},
        {"control: later frames of the largest size, whole but for the last bytes",
         Listener::Control,
         {Frames, firstFrame() + frameLength(LargestFrame) + ofFrame, part, LargestFrame / PartBytes - 1},
         SmallestHost},
        {"control: hosts that send nothing more",
         Listener::Control,
         {Connections, firstFrame(), "", 0},
         LoweredDescriptors},
    };
}

/// @brief Asks whether the node is ready, as often as a load balancer may before it gives up.
bool isReady(const Endpoint &readiness)
{
    constexpr int Tries = 10;
    for (int attempt = 0; attempt < Tries; ++attempt) {
        asio::io_context context;
        Tcp::socket socket(context);
        ErrorCode error;
        socket.connect(toTcp(readiness), error);
        asio::write(socket, asio::buffer(std::string("GET /ready HTTP/1.1\r\nHost: h.example\r\n\r\n")), error);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        http::read(socket, buffer, parser, error);
        if (!error && parser.get().result_int() == 200) {
            return true;
        }
        std::this_thread::sleep_for(Milliseconds(300));
    }
    return false;
}

} // namespace

// Guards against connections to the node's other addresses that take the memory or the descriptors which it needs for
// its callers.
TEST_CASE("a crowd at the addresses for readiness and for hosts leaves the node ready and serving", "[promise-4]")
{
    std::uint8_t network = Network;
    for (const ListenerCase &each : listenerCases()) {
        DYNAMIC_SECTION(each.name)
        {
            NodeDeployment deployment("node-" + std::to_string(network), network, 1, each.limits);
            deployment.platform.addServer("sound", "debits", false, Milliseconds(1));
            const Endpoint callers{deployment.addressOf(0), NodeCallersPort};
            const Endpoint readiness{deployment.addressOf(0), NodeReadinessPort};
            const Endpoint control{deployment.addressOf(0), NodeControlPort};
            REQUIRE(deployment.waitUntil(
                [&]() {
                    return post(callers, NodePath, 1) == 200;
                },
                StartTimeout));
            {
                const CallerCrowd crowd(each.listener == Listener::Readiness ? readiness : control, each.request);
                crowd.waitUntilSent(SendTimeout);
                CHECK(crowd.connected() == each.request.callers);
                std::this_thread::sleep_for(HoldTime);
                checkLimits(deployment.node(0), each.limits);
                CHECK(isReady(readiness));
                CHECK(servesUpload(callers, NodePath));
                checkLimits(deployment.node(0), each.limits);
            }
            CHECK(isReady(readiness));
            CHECK(servesUpload(callers, NodePath));
            CHECK(deployment.node(0).isRunning());
        }
        ++network;
    }
}

} // namespace snipevalve::standins
