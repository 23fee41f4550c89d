#include "process/hostile_crowds.hpp"
#include "process/small_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 215;
const std::string EntryPath = "/photo/x";

/// @brief One host of the small deployment with the pool `photo` alone.
DeploymentFile entryDeployment()
{
    DeploymentFile file;
    file.name = "crowd";
    file.zones = {"asan"};
    file.hosts = 1;
    file.concurrency = 4;
    file.services = {{"photo", false, 3, 1000, 1, true, 0}};
    return file;
}

} // namespace

// Guards against callers that take the memory of the entry process, or keep others from sending their requests, by
// requests that they don't end.
TEST_CASE("a crowd of callers that don't end their requests leaves the entry process serving", "[promise-4]")
{
    std::uint8_t network = Network;
    for (const CrowdCase &each : crowds(EntryPath)) {
        DYNAMIC_SECTION(each.name)
        {
            DeploymentOptions options = optionsFor("crowd-" + std::to_string(network), network);
            options.extraSettings = "[entry]\nmemory_mb = " + std::to_string(each.limits.memoryMb)
                + "\nmax_connections = " + std::to_string(each.limits.descriptors * 3 / 4) + "\n";
            Deployment deployment(entryDeployment(), options);
            REQUIRE(deployment.start(StartTimeout));
            HostProcesses &host = deployment.hosts().front();
            meetCrowd(*host.entry, deployment.entryOf(host), EntryPath, each);
        }
        ++network;
    }
}

// Guards against limits that refuse what the documentation allows.
TEST_CASE("a single request of the largest size is served by the entry process in calm", "[promise-4]")
{
    DeploymentOptions options = optionsFor("crowd-largest", Network - 1);
    options.extraSettings = "[entry]\nmemory_mb = " + std::to_string(SmallestHost.memoryMb) + "\n";
    Deployment deployment(entryDeployment(), options);
    REQUIRE(deployment.start(StartTimeout));
    HostProcesses &host = deployment.hosts().front();
    CHECK(post(deployment.entryOf(host), EntryPath, LargestBody) == 200);
    checkLimits(*host.entry, SmallestHost);
}

// Guards against connections to the operations page that take the descriptors which the callers' connections need.
TEST_CASE("a crowd at the operations address leaves the entry process ready and serving", "[promise-4]")
{
    constexpr std::uint8_t OperationsNetwork = 250;
    const std::vector<std::pair<std::string, CrowdRequest>> cases = {
        {"connections without a request", {400, "", "", 0}},
        {"heads that stop short of their end",
         {400, "GET /ready HTTP/1.1\r\nHost: h.example\r\n" + repeat("X-T: " + std::string(993, 't') + "\r\n", 7), "",
          0}},
        {"bodies that stop short of their end",
         {100, "POST /ready HTTP/1.1\r\nHost: h.example\r\n" + length(2 * Megabyte) + "\r\n",
          std::string(256 * Kilobyte, 'p'), 7}},
    };
    std::uint8_t network = OperationsNetwork;
    for (const auto &[name, request] : cases) {
        DYNAMIC_SECTION(name)
        {
            DeploymentOptions options = optionsFor("operations-" + std::to_string(network), network);
            options.extraSettings = "[entry]\nmemory_mb = " + std::to_string(SmallestHost.memoryMb)
                + "\nmax_connections = " + std::to_string(LoweredDescriptors.descriptors * 3 / 4) + "\n";
            Deployment deployment(entryDeployment(), options);
            REQUIRE(deployment.start(StartTimeout));
            HostProcesses &host = deployment.hosts().front();
            const CallerCrowd crowd(deployment.opsOf(host), request);
            crowd.waitUntilSent(SendTimeout);
            CHECK(crowd.connected() == request.callers);
            std::this_thread::sleep_for(HoldTime);
            checkLimits(*host.entry, {SmallestHost.memoryMb, LoweredDescriptors.descriptors});
            CHECK(servesUpload(deployment.entryOf(host), EntryPath));
            CHECK(standins::request(deployment.opsOf(host), "GET", "/ready").status == 200);
        }
        ++network;
    }
}

} // namespace snipevalve::standins
