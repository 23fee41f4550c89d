#include <catch2/catch.hpp>

#include <fstream>

#include "soak/hold_checks.hpp"

namespace snipevalve::soak {

namespace {

using standins::GrantEvent;
using standins::ReleaseEvent;
using standins::RequestArrival;
using standins::ServerEvent;
using standins::WorkEndEvent;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1)) + Milliseconds(ms);
}

GrantEvent grant(int from, int until, KeyRange keys, std::uint64_t fence)
{
    return {at(from), at(from), at(until), keys, fence, "127.60.1.1"};
}

ServerEvent request(int from, const std::string &id, std::uint16_t key)
{
    RequestArrival arrival;
    arrival.requestId = id;
    arrival.at = at(from);
    arrival.key = key;
    return arrival;
}

ServerRun run(const std::string &id, std::vector<ServerEvent> events, int endedAt = 60'000)
{
    return {{id, "ledger", std::move(events)}, at(endedAt)};
}

struct HoldCase
{
    std::string name;
    std::vector<ServerRun> runs;
    std::vector<std::string> guarantees; ///< that are violated
    std::vector<GrantExcuse> excuses = {};
};

const KeyRange All{0, 65535};

} // namespace

TEST_CASE("holds of all servers are compared over the whole run")
{
    const HoldCase each = GENERATE(values<HoldCase>({
        {"one server renews", {run("a", {grant(0, 4'000, All, 1), grant(2'000, 6'000, All, 1)})}, {}},
        {"keys are given on after a release",
         {run("a", {grant(0, 4'000, All, 1), ReleaseEvent{at(1'000), {100, 199}, ""}}),
          run("b", {grant(1'001, 5'000, {100, 199}, 2)})},
         {}},
        {"keys are given on after the hold has run out",
         {run("a", {grant(0, 4'000, All, 1)}), run("b", {grant(4'000, 8'000, All, 2)})},
         {}},
        {"keys are given on after the process has ended",
         {run("a", {grant(0, 4'000, All, 1)}, 500), run("b", {grant(500, 8'000, All, 2)})},
         {}},
        {"two servers hold the same keys, without requests",
         {run("a", {grant(0, 4'000, All, 1)}), run("b", {grant(3'000, 7'000, {10, 20}, 2)})},
         {"one holder"}},
        {"a part of the keys is held on after another part was released",
         {run("a", {grant(0, 4'000, All, 1), ReleaseEvent{at(1'000), {100, 199}, ""}}),
          run("b", {grant(1'001, 5'000, {150, 250}, 2)})},
         {"one holder"}},
        {"a renewal that arrives after the keys were given on",
         {run("a", {grant(0, 4'000, All, 1), grant(6'000, 10'000, All, 1)}), run("b", {grant(4'500, 8'500, All, 2)})},
         {"one holder", "fences rise from owner to owner"}},
        {"both holders begin requests",
         {run("a", {grant(0, 4'000, All, 1), request(3'200, "x", 7), WorkEndEvent{at(3'210), "x"}}),
          run("b", {grant(3'000, 7'000, All, 2), request(3'100, "y", 7), WorkEndEvent{at(3'110), "y"}})},
         {"one owner runs requests", "one owner runs requests"}},
        {"keys are granted while another server works on them",
         {run("a",
              {grant(0, 4'000, All, 1), request(900, "x", 7), ReleaseEvent{at(1'000), All, ""},
               WorkEndEvent{at(1'500), "x"}}),
          run("b", {grant(1'200, 5'000, All, 2)})},
         {"no grant while another server works on the key"}},
        {"keys are granted after both runs of a repeated request",
         {run("a",
              {grant(0, 4'000, All, 1), request(100, "x", 7), request(200, "x", 7), WorkEndEvent{at(600), "x"},
               WorkEndEvent{at(700), "x"}, ReleaseEvent{at(800), All, ""}}),
          run("b", {grant(900, 5'000, All, 2)})},
         {}},
        {"keys are granted during the second run of a repeated request",
         {run("a",
              {grant(0, 4'000, All, 1), request(100, "x", 7), request(200, "x", 7), ReleaseEvent{at(500), All, ""},
               WorkEndEvent{at(600), "x"}, WorkEndEvent{at(700), "x"}}),
          run("b", {grant(650, 5'000, All, 2)})},
         {"no grant while another server works on the key"}},
        {"a fence that is not above the last owner's",
         {run("a", {grant(0, 1'000, All, 2)}), run("b", {grant(2'000, 3'000, All, 2)})},
         {"fences rise from owner to owner"}},
        {"a grant that arrives just after its sender was resumed",
         {run("a", {grant(0, 4'000, All, 1)}), run("b", {grant(3'000, 7'000, All, 2)})},
         {},
         {{at(2'900), "127.60.1.1", {}}}},
        {"a grant that arrives just after another host was resumed",
         {run("a", {grant(0, 4'000, All, 1)}), run("b", {grant(3'000, 7'000, All, 2)})},
         {"one holder"},
         {{at(2'900), "127.60.1.2", {}}}},
        {"a grant that arrives too long after its sender was resumed",
         {run("a", {grant(0, 4'000, All, 1)}), run("b", {grant(3'000, 7'000, All, 2)})},
         {"one holder"},
         {{at(2'600), "127.60.1.1", {}}}},
        {"a grant that a resumed server takes late lets it run requests",
         {run("a", {grant(0, 4'000, All, 1), request(3'200, "x", 7), WorkEndEvent{at(3'210), "x"}}),
          run("b", {grant(3'000, 7'000, All, 2), request(3'100, "y", 7), WorkEndEvent{at(3'110), "y"}})},
         {"one owner runs requests"},
         {{at(2'900), {}, "b", true}}},
        {"a low fence in a grant that a resumed server takes late",
         {run("a", {grant(0, 1'000, All, 2)}), run("b", {grant(2'000, 3'000, All, 2)})},
         {"fences rise from owner to owner"},
         {{at(1'900), {}, "b", true}}},
    }));
    INFO(each.name);
    const std::vector<Violation> found = findHoldViolations(each.runs, each.excuses, {});
    std::vector<std::string> guarantees;
    for (const Violation &violation : found) {
        guarantees.push_back(violation.guarantee);
    }
    CHECK(guarantees == each.guarantees);
}

TEST_CASE("a record file gives the events that were written")
{
    const std::vector<ServerEvent> events = {standins::StartEvent{at(0), 77}, grant(1, 2, {3, 4}, 5),
                                             ReleaseEvent{at(6), {3, 3}, "127.60.1.1"}, request(7, "id", 3),
                                             WorkEndEvent{at(8), "id"}};
    std::string text;
    for (const ServerEvent &event : events) {
        text += standins::toLine(event);
    }
    const std::string path = std::string(TEST_FOLDER) + "/hold_checks_test.record";
    std::ofstream(path) << text << "release 12"; // cut off
    const standins::ServerRecord record = standins::readServerRecord(path, "a", "ledger");
    REQUIRE(record.events.size() == events.size());
    for (std::size_t index = 0; index < events.size(); ++index) {
        CHECK(standins::toLine(record.events[index]) == standins::toLine(events[index]));
    }
}

} // namespace snipevalve::soak
