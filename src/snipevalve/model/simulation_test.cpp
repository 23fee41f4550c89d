#include <catch2/catch.hpp>

#include "snipevalve/model/simulation.hpp"

namespace snipevalve::model {

namespace {

/// A pool modelled on the users' debit service: 8 servers with 2 slots each and speeds from 0.6 to 1.4.
Load debits(double arrivalsPerSecond)
{
    Load load;
    load.name = "debits";
    RequestClass debit;
    debit.name = "debit";
    debit.arrivalsPerSecond = arrivalsPerSecond;
    debit.meanWork = Seconds(0.21);
    debit.target = Seconds(0.6);
    debit.deadline = Seconds(4);
    load.classes = {debit};
    load.serverSpeeds = {0.6, 1.0, 1.4, 0.6, 1.0, 1.4, 1.0, 1.0};
    return load;
}

/// The results of all policies for one load.
struct Comparison
{
    Report leader;
    Report alone;
    Report twoChoices;
};

Comparison compare(const Load &load)
{
    return {simulate(load, Policy::Leader), simulate(load, Policy::Alone), simulate(load, Policy::TwoChoices)};
}

} // namespace

TEST_CASE("one queue for all hosts serves more in time than hosts that dispatch alone, at each load pattern")
{
    struct Case
    {
        std::string name;
        Load load;
        double minWorth; ///< lower bound for the worth with Policy::Leader
    };
    Load burst = debits(45);
    burst.disturbances = {{Seconds(10), Seconds(13), 1.7}};
    Load slowServers = debits(40);
    slowServers.disturbances = {{Seconds(10), Seconds(19), 1.0, 0.25, 5.0}};
    Load refusals = debits(40);
    refusals.disturbances = {{Seconds(10), Seconds(16), 1.0, 0, 1.0, 0.3}};
    const std::vector<Case> cases = {
        {"70 % of the slots busy", debits(53), 0.97},
        {"a burst of 1.7 times the arrival rate", burst, 0.93},
        {"a quarter of the servers 5 times slower", slowServers, 0.85},
        {"servers that refuse 30 % of the requests", refusals, 0.9},
    };
    for (const Case &entry : cases) {
        const Comparison comparison = compare(entry.load);
        INFO(entry.name << ": leader " << comparison.leader.all.worth << ", alone " << comparison.alone.all.worth
                        << ", two choices " << comparison.twoChoices.all.worth);
        CHECK(comparison.leader.all.worth >= entry.minWorth);
        CHECK(comparison.leader.all.worth >= comparison.alone.all.worth);
        CHECK(comparison.leader.all.worth >= comparison.twoChoices.all.worth);
        CHECK(comparison.leader.serverOverflows == 0);
    }
}

TEST_CASE("under overload the excess is refused and the rest is answered in time")
{
    const Load load = debits(110); // 1.4 times the capacity of the slots
    const Report report = simulate(load, Policy::Leader);
    INFO("worth " << report.all.worth << " of " << report.worthBound);
    CHECK(report.all.worth >= 0.75 * report.worthBound);
    CHECK(report.all.failed <= report.all.requests / 100);
}

TEST_CASE("the same seed gives the same result")
{
    const Load load = debits(50);
    const Report first = simulate(load, Policy::Leader);
    const Report second = simulate(load, Policy::Leader);
    CHECK(first.all.requests == second.all.requests);
    CHECK(first.all.inTarget == second.all.inTarget);
    CHECK(first.all.late == second.all.late);
}

} // namespace snipevalve::model
