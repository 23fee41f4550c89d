#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_schedule_test.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds ScheduleLength(20'000);
constexpr double UsualFaults = 0.004; ///< in each step, of each kind
/// Faults that last for 10 s, longer than the holds of an earlier leader: a host that is cut off for so long renews
/// what its successor has taken as lost.
constexpr double LongFaults = 0.001;

/// The first seed of `count` whose schedule gives a key two owners; 0 when there is none.
template <typename Rules>
unsigned firstBreach(unsigned count, double faultRate = UsualFaults)
{
    for (unsigned seed = 1; seed <= count; ++seed) {
        if (test::KeySchedule<Rules>(seed, faultRate).run(ScheduleLength).doubleOwned > 0) {
            return seed;
        }
    }
    return 0;
}

struct GrantBeforeThePlan : StandardKeyRules
{
    static constexpr bool SavePlanFirst = false;
};

struct NoWaitForTheHold : StandardKeyRules
{
    static constexpr bool WaitForHold = false;
};

struct ForgetLateGrants : StandardKeyRules
{
    static constexpr bool CountLateGrants = false;
};

struct LeadWithoutALease : StandardKeyRules
{
    static constexpr bool CheckAuthority = false;
};

struct TrustServersClocks : StandardKeyRules
{
    static constexpr bool AllowForSlowClock = false;
};

} // namespace

TEST_CASE("no schedule gives a key two owners")
{
    std::size_t served = 0;
    std::size_t looked = 0;
    for (const double faultRate : {UsualFaults, LongFaults}) {
        for (unsigned seed = 1; seed <= 1000; ++seed) {
            const auto result = test::KeySchedule<StandardKeyRules>(seed, faultRate).run(ScheduleLength);
            INFO("seed " << seed << ", faults " << faultRate);
            CHECK(result.doubleOwned == 0);
            served += result.served;
            looked += result.looked;
        }
    }
    // A checker that sees no owners at all would find no breach either.
    CHECK(served > looked / 4);
}

TEST_CASE("the schedules find each broken rule")
{
    constexpr unsigned Seeds = 1000;
    const unsigned plan = firstBreach<GrantBeforeThePlan>(Seeds);
    const unsigned hold = firstBreach<NoWaitForTheHold>(Seeds);
    const unsigned late = firstBreach<ForgetLateGrants>(Seeds);
    const unsigned lease = firstBreach<LeadWithoutALease>(Seeds, LongFaults);
    const unsigned clock = firstBreach<TrustServersClocks>(Seeds);
    WARN("first failing seeds: plan " << plan << ", hold " << hold << ", late grants " << late << ", lease " << lease
                                      << ", clock " << clock);
    CHECK(plan > 0);
    CHECK(hold > 0);
    CHECK(late > 0);
    CHECK(lease > 0);
    CHECK(clock > 0);
}

TEST_CASE("silent servers with many ranges take few of the leader's calls, and others their renewals in time")
{
    // Load pattern: 146 of 416 servers fall silent at once, four ranges each; their calls end unanswered after 0.5 s.
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
    // One call at a time and server, each with its 0.5 s and a pause: 5 s hold ten at most, and four began at once.
    CHECK(silentCalls <= Silent * (10 + RangesEach));
    CHECK(silentCalls >= Silent * 4); // a server that comes back is noticed within a second
    const KeyOwners owners = authority.owners(now);
    for (std::uint32_t at = 0; at < Servers * RangesEach; ++at) {
        const std::string *owner = owners.ownerOf(static_cast<std::uint16_t>(at * Width));
        INFO("range " << at << ", owner " << (owner == nullptr ? "none" : *owner));
        CHECK((owner != nullptr && *owner == servers[at % Servers].id));
    }
}

TEST_CASE("renewals of a thousand ranges leave the leader nothing to do at once")
{
    // Load pattern: many hot spells have left a thousand ranges, and each renewal is answered by its own call's end.
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
