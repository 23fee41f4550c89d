#include <catch2/catch.hpp>

#include <functional>

#include "soak/checks.hpp"

namespace snipevalve::soak {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

TimePoint at(int ms)
{
    return Start + Milliseconds(ms);
}

CallerRecord request(const std::string &id, int sentAt, unsigned status)
{
    CallerRecord record;
    record.id = id;
    record.sentAt = at(sentAt);
    record.endedAt = at(sentAt + 50);
    record.status = status;
    record.wasSent = true;
    record.bodyMatches = status == 200;
    return record;
}

/// A run without violations: served requests, one drained server, one added configuration version.
SoakRecords cleanRecords()
{
    SoakRecords records;
    for (int number = 0; number < 100; ++number) {
        const std::string id = "id" + std::to_string(number);
        records.requests.push_back(request(id, 10'000 + number * 100, 200));
        records.requests.back().idempotent = number % 2 == 0;
        records.arrivals.push_back({"s0", id, "debits", at(10'010 + number * 100), true});
    }
    records.drained[{"s1", 0}] = at(5'000);
    records.configured[1] = at(5'000);
    records.starts[0] = {at(0)};
    records.healedAt = at(1'000);
    records.endedAt = at(30'000);
    return records;
}

struct PlantedRecords
{
    std::string name;
    std::string guarantee;
    std::function<void(SoakRecords &)> plant;
};

} // namespace

TEST_CASE("a run without violations has no findings")
{
    CHECK(findViolations(cleanRecords(), {}).empty());
}

TEST_CASE("each check finds a planted violation")
{
    const std::vector<PlantedRecords> cases = {
        {"a second run", "at most once",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id1", "debits", at(10'200), true});
         }},
        {"a run after a refusal", "requests refused as not run never run",
         [](SoakRecords &records) {
             records.requests[1].status = 503;
         }},
        {"a body of another request", "responses are complete and the caller's own",
         [](SoakRecords &records) {
             records.requests[2].bodyMatches = false;
         }},
        {"a success without a run", "responses are complete and the caller's own",
         [](SoakRecords &records) {
             records.requests.push_back(request("never-ran", 12'000, 200));
         }},
        {"work for a drained server", "no work for a draining server",
         [](SoakRecords &records) {
             records.arrivals.front().server = "s1";
         }},
        {"work for a drained server that has started and drained again", "no work for a draining server",
         [](SoakRecords &records) {
             records.drained[{"s1", 1}] = at(7'000);
             records.arrivals.front().server = "s1";
             records.arrivals.front().serverStart = 1;
         }},
        {"work for a server that said that it leaves, while the store is away",
         "no work for a server that said that it leaves",
         [](SoakRecords &records) {
             records.disturbances.push_back({Disturbance::All, at(9'000), at(29'000), false});
             records.arrivals[0].announcesLeaving = true; // answered at 10,050 ms, the last request is at 19,900 ms
         }},
        {"requests in a pause", "servers get the pauses that they ask for",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id0", "debits", at(10'020), false, 0, false, Milliseconds(900)});
         }},
        {"a request lost during planned work", "planned work loses no request",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(10'000), at(16'000), true});
             records.requests[3].status = 0;
         }},
        {"a request broken off during planned work", "planned work loses no request",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(9'990), at(16'000), true});
             records.requests[0].status = 502;
         }},
        {"a route unknown after the propagation bound", "configuration propagates in time",
         [](SoakRecords &records) {
             records.requests.push_back(request("probe", 9'000, 404));
             records.requests.back().probesConfig = true;
             records.requests.back().needsVersion = 1;
         }},
        {"a route that was known before", "configuration never rolls back",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(0), at(9'000), false});
             for (const unsigned status : {200U, 404U}) {
                 records.requests.push_back(request("probe", status == 200 ? 6'000 : 7'000, status));
                 records.requests.back().probesConfig = true;
                 records.requests.back().needsVersion = 1;
             }
             records.arrivals.push_back({"s0", "probe", "debits", at(6'010), true});
         }},
        {"too many repeats", "retry budget",
         [](SoakRecords &records) {
             for (int repeat = 0; repeat < 90; ++repeat) {
                 records.arrivals.push_back({"s0", "id0", "debits", at(11'000), false});
             }
         }},
        {"no service after the recovery time", "service recovers",
         [](SoakRecords &records) {
             for (int number = 0; number < 200; ++number) {
                 records.requests.push_back(request("late" + std::to_string(number), 17'000, 503));
             }
         }},
    };
    for (const PlantedRecords &each : cases) {
        INFO(each.name);
        SoakRecords records = cleanRecords();
        each.plant(records);
        const auto violations = findViolations(records, {});
        REQUIRE(!violations.empty());
        CHECK(violations.front().guarantee == each.guarantee);
    }
}

TEST_CASE("what the bounds allow is not a finding")
{
    const std::vector<PlantedRecords> cases = {
        {"work for a draining server from an isolated node", "",
         [](SoakRecords &records) {
             records.arrivals.front().server = "s1";
             records.disturbances.push_back({0, at(4'000), at(9'000), false});
         }},
        {"work for a later run of a drained server", "",
         [](SoakRecords &records) {
             records.arrivals.front().server = "s1";
             records.arrivals.front().serverStart = 1;
         }},
        {"work for a later start of a server that said that it leaves", "",
         [](SoakRecords &records) {
             records.arrivals[0].announcesLeaving = true;
             records.arrivals[0].serverStart = -1;
         }},
        {"work for a leaving server within the bound", "",
         [](SoakRecords &records) {
             records.arrivals[85].announcesLeaving = true;
         }},
        {"work for a leaving server from a node that has restarted", "",
         [](SoakRecords &records) {
             records.arrivals[0].announcesLeaving = true;
             records.starts[0].push_back(at(11'000));
         }},
        {"two requests in a pause", "",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id0", "debits", at(10'020), false, 0, false, Milliseconds(700)});
         }},
        {"requests in a pause that a cut node has not learned", "",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(10'000), at(10'100), false});
             records.arrivals.push_back({"s0", "id0", "debits", at(10'020), false, 0, false, Milliseconds(900)});
         }},
        {"a request lost when a node is killed", "",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(10'100), at(10'400), false});
             records.requests[3].status = 0;
         }},
        {"an idempotent request that ran twice", "",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id0", "debits", at(10'200), true});
         }},
        {"a route that a restarted node does not know yet", "",
         [](SoakRecords &records) {
             records.starts[0].push_back(at(6'500));
             records.disturbances.push_back({0, at(4'000), at(9'000), false});
             for (const unsigned status : {200U, 404U}) {
                 records.requests.push_back(request("probe", status == 200 ? 6'000 : 7'000, status));
                 records.requests.back().probesConfig = true;
                 records.requests.back().needsVersion = 1;
             }
             records.arrivals.push_back({"s0", "probe", "debits", at(6'010), true});
         }},
    };
    for (const PlantedRecords &each : cases) {
        INFO(each.name);
        SoakRecords records = cleanRecords();
        each.plant(records);
        CHECK(findViolations(records, {}).empty());
    }
}

TEST_CASE("the same seed gives the same faults, and another seed gives others")
{
    CHECK(describe(makeSchedule(7, Milliseconds(12'000))) == describe(makeSchedule(7, Milliseconds(12'000))));
    CHECK(describe(makeSchedule(7, Milliseconds(12'000))) != describe(makeSchedule(8, Milliseconds(12'000))));
}

} // namespace snipevalve::soak
