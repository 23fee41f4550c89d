#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_simulation_test.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds SimulationLength(20'000);
constexpr double UsualFaultRate = 0.004; ///< chance of each kind of fault in each step
/// A rate at which faults last about 10 s, longer than the holds of the previous leader: a host that is cut off for so
/// long would renew grants that its successor has already counted as expired.
constexpr double LongFaultRate = 0.001;

/// The first of `count` seeds whose simulation gives a key two owners; 0 when there is none.
template <typename Rules>
unsigned firstViolatingSeed(unsigned count, double faultRate = UsualFaultRate)
{
    for (unsigned seed = 1; seed <= count; ++seed) {
        if (test::KeySimulation<Rules>(seed, faultRate).run(SimulationLength).doubleOwnedMs > 0) {
            return seed;
        }
    }
    return 0;
}

struct GrantBeforePlanIsSaved : StandardKeyRules
{
    static constexpr bool SavePlanFirst = false;
};

struct NoWaitForExpiry : StandardKeyRules
{
    static constexpr bool WaitForExpiry = false;
};

struct ForgetLateGrants : StandardKeyRules
{
    static constexpr bool CountLateGrants = false;
};

struct SendWithoutLease : StandardKeyRules
{
    static constexpr bool CheckLease = false;
};

struct TrustServersClocks : StandardKeyRules
{
    static constexpr bool AllowForSlowClock = false;
};

} // namespace

TEST_CASE("no simulated faults give a key two owners")
{
    std::size_t ownedSamples = 0;
    std::size_t samples = 0;
    for (const double faultRate : {UsualFaultRate, LongFaultRate}) {
        for (unsigned seed = 1; seed <= 1000; ++seed) {
            const auto result = test::KeySimulation<StandardKeyRules>(seed, faultRate).run(SimulationLength);
            INFO("seed " << seed << ", faults " << faultRate);
            CHECK(result.doubleOwnedMs == 0);
            ownedSamples += result.ownedSamples;
            samples += result.samples;
        }
    }
    // A simulation in which no key has an owner would pass the check above.
    CHECK(ownedSamples > samples / 4);
}

TEST_CASE("the simulation detects the absence of each safety rule")
{
    constexpr unsigned Seeds = 1000;
    const unsigned plan = firstViolatingSeed<GrantBeforePlanIsSaved>(Seeds);
    const unsigned hold = firstViolatingSeed<NoWaitForExpiry>(Seeds);
    const unsigned late = firstViolatingSeed<ForgetLateGrants>(Seeds);
    const unsigned lease = firstViolatingSeed<SendWithoutLease>(Seeds, LongFaultRate);
    const unsigned clock = firstViolatingSeed<TrustServersClocks>(Seeds);
    WARN("first failing seeds: plan " << plan << ", hold " << hold << ", late grants " << late << ", lease " << lease
                                      << ", clock " << clock);
    CHECK(plan > 0);
    CHECK(hold > 0);
    CHECK(late > 0);
    CHECK(lease > 0);
    CHECK(clock > 0);
}

TEST_CASE("unresponsive servers with many ranges get few of the leader's calls, and other servers are renewed in time")
{
    // Load pattern: 146 of 416 servers with four ranges each stop answering; their calls time out after 0.5 s.
    constexpr std::uint32_t Servers = 416;
    constexpr std::uint32_t Silent = 146;
    constexpr std::uint32_t RangesEach = 4;
    constexpr Milliseconds CallTimeout(500);
    constexpr Milliseconds Step(20);
    KeyPlan plan{1, 1, {}};
    std::vector<UpstreamServer> servers(Servers);
    for (std::uint32_t at = 0; at < Servers; ++at) {
        servers[at].id = "s" + std::to_string(at);
        servers[at].slots = 2;
        servers[at].incarnation = 1;
    }
    constexpr std::uint32_t Width = KeyCount / (Servers * RangesEach);
    for (std::uint32_t at = 0; at < Servers * RangesEach; ++at) {
        const std::uint32_t from = at * Width;
        plan.ranges.push_back({{static_cast<std::uint16_t>(from), static_cast<std::uint16_t>(from + Width - 1)},
                               incarnationOf(servers[at % Servers])});
    }
    TimePoint now = Clock::now();
    KeyAuthority authority(plan, {}, now);
    authority.setServers(servers, now);
    std::multimap<TimePoint, std::uint64_t> timeouts;
    std::size_t silentCalls = 0;
    constexpr int Steps = 250; // 5 s
    for (int step = 0; step < Steps; ++step) {
        now += Step;
        authority.setLeaderLease(now + Milliseconds(1'000), true);
        while (!timeouts.empty() && timeouts.begin()->first <= now) {
            authority.onCallOutcome(timeouts.begin()->second, KeyCallOutcome::NoAnswer, {}, now);
            timeouts.erase(timeouts.begin());
        }
        for (const KeyAction &action : authority.advance(now)) {
            if (std::holds_alternative<SaveKeyPlan>(action)) {
                authority.onPlanSaved(now);
            } else if (const auto *grant = std::get_if<GrantKeys>(&action)) {
                const bool isSilent = std::stoul(grant->server.id.substr(1)) < Silent;
                silentCalls += isSilent ? 1 : 0;
                if (isSilent) {
                    timeouts.emplace(now + CallTimeout, grant->call);
                } else {
                    authority.onCallOutcome(grant->call, KeyCallOutcome::Accepted, {}, now);
                }
            }
        }
    }
    // After the first four calls at once, each server gets one call at a time, each with its timeout of 0.5 s and a
    // retry delay: at most ten in 5 s.
    CHECK(silentCalls <= Silent * (10 + RangesEach));
    CHECK(silentCalls >= Silent * 4); // frequent enough to notice within a second that a server is back
    const KeyOwners owners = authority.owners(now);
    for (std::uint32_t at = 0; at < Servers * RangesEach; ++at) {
        const std::string *owner = owners.ownerOf(static_cast<std::uint16_t>(at * Width));
        INFO("range " << at << ", owner " << (owner == nullptr ? "none" : *owner));
        CHECK((owner != nullptr && *owner == servers[at % Servers].id));
    }
}

TEST_CASE("renewals of a thousand ranges leave the leader no work to do at once")
{
    // Load pattern: many hot spots have left a thousand ranges, and each renewal ends as a call of its own.
    KeyPlan plan{1, 1, {}};
    std::vector<UpstreamServer> servers(2);
    servers[0].id = "a";
    servers[1].id = "b";
    for (UpstreamServer &server : servers) {
        server.slots = 2;
        server.incarnation = 1;
    }
    constexpr unsigned Ranges = 1'000;
    for (unsigned at = 0; at < Ranges; ++at) {
        const auto from = static_cast<std::uint16_t>(at * 60);
        plan.ranges.push_back({{from, static_cast<std::uint16_t>(from + 59)}, incarnationOf(servers[at % 2])});
    }
    TimePoint now = Clock::now();
    KeyAuthority authority(plan, {}, now);
    authority.setServers(servers, now);
    std::size_t renewals = 0;
    std::size_t plansSaved = 0;
    std::size_t moreToDo = 0;
    for (int step = 0; step < 500; ++step) { // 10 s
        now += Milliseconds(20);
        authority.setLeaderLease(now + Milliseconds(1'000), true);
        for (const KeyAction &action : authority.advance(now)) {
            if (std::holds_alternative<SaveKeyPlan>(action)) {
                authority.onPlanSaved(now);
                ++plansSaved;
            } else if (const auto *grant = std::get_if<GrantKeys>(&action)) {
                const bool isMoreToDo = authority.onCallOutcome(grant->call, KeyCallOutcome::Accepted, {}, now);
                renewals += step > 300 ? 1 : 0;
                moreToDo += step > 300 && isMoreToDo ? 1 : 0;
            }
        }
        REQUIRE(authority.owners(now).ownerOf(0) != nullptr);
    }
    CHECK(renewals > 0);
    CHECK(moreToDo == 0);
    CHECK(plansSaved <= 2);
}

} // namespace snipevalve
