#include <algorithm>
#include <atomic>
#include <thread>

#include "process/small_deployment.hpp"

namespace snipevalve::standins {

namespace {

using Json = nlohmann::json;

constexpr std::uint8_t Network = 33;
constexpr Milliseconds PropagationBound(2000); ///< target for 12 hosts

/// @brief An accepted change of one of the concurrent operators.
struct AcceptedChange
{
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    int deadlineMs = 0;
};

Json readRoute(const Endpoint &admin)
{
    return Json::parse(request(admin, "GET", "/v1/routes/ledger").body, nullptr, false);
}

PlainReply patchDeadline(const Endpoint &admin, std::uint64_t revision, int deadlineMs)
{
    const Json patch = {{"spec", {{"deadlineMs", deadlineMs}}}};
    return request(admin, "PATCH", "/v1/routes/ledger", patch.dump(), std::to_string(revision));
}

bool isInForceEverywhere(const Endpoint &admin)
{
    const Json status = Json::parse(request(admin, "GET", "/v1/routes/ledger/status").body, nullptr, false);
    return status.is_object() && status.value("everywhere", false);
}

std::uint64_t entryRevision(Deployment &deployment, const HostProcesses &host)
{
    const Json metrics = Json::parse(request(deployment.opsOf(host), "GET", "/metrics").body, nullptr, false);
    return metrics.is_object() ? metrics.value("revision", std::uint64_t(0)) : 0;
}

} // namespace

TEST_CASE("concurrent operators: one change wins each revision, and each operator gets a correct reply", "[promise-8]")
{
    constexpr int Operators = 8;
    constexpr int ChangesEach = 12;
    Deployment deployment(smallDeployment(), optionsFor("race", Network));
    REQUIRE(deployment.start(StartTimeout));
    const Endpoint admin = deployment.adminEndpoint();
    deployment.setStoreFaults(R"({"loseAnswers":20})");
    std::mutex mutex;
    std::vector<AcceptedChange> accepted;
    std::atomic<int> conflicts = 0;
    std::vector<std::thread> operators;
    for (int number = 0; number < Operators; ++number) {
        operators.emplace_back([&, number]() {
            for (int change = 0; change < ChangesEach; ++change) {
                const int deadlineMs = 1000 + number * 100 + change;
                const auto baseRevision = readRoute(admin).value("revision", std::uint64_t(0));
                const PlainReply reply = patchDeadline(admin, baseRevision, deadlineMs);
                const Json body = Json::parse(reply.body, nullptr, false);
                if (reply.status == 200) {
                    const std::lock_guard lock(mutex);
                    accepted.push_back({baseRevision, body.value("revision", std::uint64_t(0)), deadlineMs});
                } else {
                    conflicts += reply.status == 409 ? 1 : 0;
                }
            }
        });
    }
    for (std::thread &thread : operators) {
        thread.join();
    }
    CHECK(accepted.size() >= ChangesEach);
    CHECK(conflicts > 0);
    CHECK(accepted.size() + static_cast<std::size_t>(conflicts) == Operators * ChangesEach);
    // The accepted changes form one chain: no two have the same base revision, and the last one is in effect.
    const auto isEarlier = [](const AcceptedChange &left, const AcceptedChange &right) {
        return left.baseRevision < right.baseRevision;
    };
    std::sort(accepted.begin(), accepted.end(), isEarlier);
    for (std::size_t change = 1; change < accepted.size(); ++change) {
        CHECK(accepted[change].baseRevision > accepted[change - 1].baseRevision);
    }
    CHECK(readRoute(admin)["spec"]["deadlineMs"] == accepted.back().deadlineMs);
    CHECK(Deployment::waitFor(PropagationBound, [&]() {
        return isInForceEverywhere(admin);
    }));
}

TEST_CASE("an accepted change takes effect on all hosts within seconds, also after a relay is lost", "[promise-8]")
{
    Deployment deployment(smallDeployment(6), optionsFor("in-force", Network));
    REQUIRE(deployment.start(StartTimeout));
    const Endpoint admin = deployment.adminEndpoint();
    const auto change = [&](int deadlineMs) {
        const auto revision = readRoute(admin).value("revision", std::uint64_t(0));
        REQUIRE(patchDeadline(admin, revision, deadlineMs).status == 200);
        const TimePoint acceptedAt = Clock::now();
        CHECK(Deployment::waitFor(PropagationBound, [&]() {
            return isInForceEverywhere(admin);
        }));
        return std::chrono::duration<double, std::milli>(Clock::now() - acceptedAt).count();
    };
    const double withRelays = change(3000);
    std::string relay;
    for (HostProcesses &host : deployment.hosts()) {
        if (host.name != "host-01" && relay.empty() && deployment.placementStatus(host).value("relay", false)) {
            relay = host.name;
            host.placement->kill();
            host.placement.reset();
            host.entry->kill();
            host.entry.reset();
        }
    }
    REQUIRE_FALSE(relay.empty());
    deployment.publishHosts({}, {relay});
    sleepFor(Milliseconds(1500));
    const double withoutRelay = change(4000);
    WARN("in force everywhere after " << withRelays << " ms, with one relay lost after " << withoutRelay << " ms");
}

TEST_CASE("a process that starts during a store outage has the accepted configuration", "[promise-8]")
{
    Deployment deployment(smallDeployment(), optionsFor("restart-away", Network));
    REQUIRE(deployment.start(StartTimeout));
    const Endpoint admin = deployment.adminEndpoint();
    const auto revision = readRoute(admin).value("revision", std::uint64_t(0));
    REQUIRE(patchDeadline(admin, revision, 7000).status == 200);
    const auto accepted = readRoute(admin).value("revision", std::uint64_t(0));
    REQUIRE(Deployment::waitFor(PropagationBound, [&]() {
        return isInForceEverywhere(admin);
    }));
    deployment.setStoreFaults(R"({"away":true})");
    const PlainReply refused = patchDeadline(admin, accepted, 8000);
    CHECK(refused.status == 503);
    for (HostProcesses &host : deployment.hosts()) {
        INFO(host.name);
        host.placement.reset();
        host.entry.reset();
        host.admin.reset();
        deployment.startHost(host);
        const auto hasRevision = [&]() {
            return entryRevision(deployment, host) >= accepted;
        };
        CHECK(Deployment::waitFor(Milliseconds(6000), hasRevision));
    }
    // A relay that restarted during the outage must not serve an older revision when the store returns.
    deployment.setStoreFaults(R"({"away":false})");
    sleepFor(Milliseconds(1000));
    for (const HostProcesses &host : deployment.hosts()) {
        CHECK(entryRevision(deployment, host) >= accepted);
    }
    CHECK(readRoute(admin)["spec"]["deadlineMs"] == 7000);
}

} // namespace snipevalve::standins
