#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_schedule_test.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds ScheduleLength(20'000);

/// The first seed of `count` whose schedule gives a key two owners; 0 when there is none.
template <typename Rules>
unsigned firstBreach(unsigned count)
{
    for (unsigned seed = 1; seed <= count; ++seed) {
        if (test::KeySchedule<Rules>(seed).run(ScheduleLength).doubleOwned > 0) {
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
    for (unsigned seed = 1; seed <= 1000; ++seed) {
        const auto result = test::KeySchedule<StandardKeyRules>(seed).run(ScheduleLength);
        INFO("seed " << seed);
        CHECK(result.doubleOwned == 0);
        served += result.served;
        looked += result.looked;
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
    const unsigned lease = firstBreach<LeadWithoutALease>(Seeds);
    const unsigned clock = firstBreach<TrustServersClocks>(Seeds);
    WARN("first failing seeds: plan " << plan << ", hold " << hold << ", late grants " << late << ", lease " << lease
                                      << ", clock " << clock);
    CHECK(plan > 0);
    CHECK(hold > 0);
    CHECK(late > 0);
    CHECK(lease > 0);
    CHECK(clock > 0);
}

} // namespace snipevalve
