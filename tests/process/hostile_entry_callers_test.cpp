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

} // namespace snipevalve::standins
