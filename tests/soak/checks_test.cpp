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
    record.bodyIsOwn = status == 200;
    return record;
}

/// A run in which nothing is wrong: served requests, one drained server, two versions.
SoakRecords soundRecords()
{
    SoakRecords records;
    for (int number = 0; number < 100; ++number) {
        const std::string id = "id" + std::to_string(number);
        records.requests.push_back(request(id, 10'000 + number * 100, 200));
        records.requests.back().idempotent = number % 2 == 0;
        records.arrivals.push_back({"s0", id, "debits", at(10'010 + number * 100), true});
    }
    records.drained["s1"] = at(5'000);
    records.configured[1] = at(5'000);
    records.starts[0] = {at(0)};
    records.healedAt = at(1'000);
    records.endedAt = at(30'000);
    return records;
}

struct Planted
{
    std::string name;
    std::string promise;
    std::function<void(SoakRecords &)> breach;
};

} // namespace

TEST_CASE("a sound run has no findings")
{
    CHECK(findBreaches(soundRecords(), {}).empty());
}

TEST_CASE("each check finds a planted breach")
{
    const std::vector<Planted> cases = {
        {"two owners", "one owner",
         [](SoakRecords &records) {
             records.doubleOwners = 1;
         }},
        {"a second run", "at most once",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id1", "debits", at(10'200), true});
         }},
        {"a run after a refusal", "not run is true",
         [](SoakRecords &records) {
             records.requests[1].status = 503;
         }},
        {"another body", "own whole answers",
         [](SoakRecords &records) {
             records.requests[2].bodyIsOwn = false;
         }},
        {"a success without a run", "own whole answers",
         [](SoakRecords &records) {
             records.requests.push_back(request("never-ran", 12'000, 200));
         }},
        {"work for a server that left", "no work for a leaving server",
         [](SoakRecords &records) {
             records.arrivals.front().server = "s1";
         }},
        {"a cut request", "planned work cuts nothing",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(10'000), at(16'000), true});
             records.requests[3].status = 0;
         }},
        {"an unknown route", "in force in time",
         [](SoakRecords &records) {
             records.requests.push_back(request("probe", 9'000, 404));
             records.requests.back().probesConfig = true;
             records.requests.back().needsVersion = 1;
         }},
        {"a route that was known before", "never goes back",
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
        {"no service after the recovery time", "service regained",
         [](SoakRecords &records) {
             for (int number = 0; number < 200; ++number) {
                 records.requests.push_back(request("late" + std::to_string(number), 17'000, 503));
             }
         }},
    };
    for (const Planted &each : cases) {
        INFO(each.name);
        SoakRecords records = soundRecords();
        each.breach(records);
        const auto breaches = findBreaches(records, {});
        REQUIRE(!breaches.empty());
        CHECK(breaches.front().promise == each.promise);
    }
}

TEST_CASE("what the bounds allow is no finding")
{
    const std::vector<Planted> cases = {
        {"work for a leaving server from a node that was cut off", "",
         [](SoakRecords &records) {
             records.arrivals.front().server = "s1";
             records.disturbances.push_back({0, at(4'000), at(9'000), false});
         }},
        {"a cut beside a killed node", "",
         [](SoakRecords &records) {
             records.disturbances.push_back({0, at(10'100), at(10'400), false});
             records.requests[3].status = 0;
         }},
        {"an idempotent request that ran twice", "",
         [](SoakRecords &records) {
             records.arrivals.push_back({"s0", "id0", "debits", at(10'200), true});
         }},
        {"a route that is new in a node's next life", "",
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
    for (const Planted &each : cases) {
        INFO(each.name);
        SoakRecords records = soundRecords();
        each.breach(records);
        CHECK(findBreaches(records, {}).empty());
    }
}

TEST_CASE("a seed gives the same faults each time, and other seeds other ones")
{
    CHECK(describe(makeSchedule(7, Milliseconds(12'000))) == describe(makeSchedule(7, Milliseconds(12'000))));
    CHECK(describe(makeSchedule(7, Milliseconds(12'000))) != describe(makeSchedule(8, Milliseconds(12'000))));
}

} // namespace snipevalve::soak
