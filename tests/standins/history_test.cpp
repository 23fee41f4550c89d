#include <catch2/catch.hpp>

#include "standins/history.hpp"

namespace snipevalve::standins {

namespace {

CallRecord call(const std::string &id, const std::string &method, CallEnd end)
{
    CallRecord record;
    record.id = id;
    record.service = "incasso";
    record.method = method;
    record.key = "k";
    record.end = end;
    return record;
}

RunRecord run(const std::string &id, const std::string &server, std::uint64_t effectNs, Token acquired)
{
    return {server, id, "POST", "incasso/0", 1, effectNs, acquired};
}

} // namespace

TEST_CASE("the history check reports each kind of violation")
{
    struct Case
    {
        std::string violation;
        std::vector<CallRecord> calls;
        std::vector<RunRecord> runs;
    };
    const std::vector<Case> cases = {
        {"ran 2 times",
         {call("a", "POST", CallEnd::Answered)},
         {run("a", "s-1", 1, {1, 1}), run("a", "s-1", 2, {1, 1})}},
        {"was told not run and ran", {call("a", "POST", CallEnd::NotRun)}, {run("a", "s-1", 1, {1, 1})}},
        {"is in no server's log", {call("a", "POST", CallEnd::Answered)}, {}},
        {"a: ", {call("a", "GET", CallEnd::Wrong)}, {}},
        {"ran after", {}, {run("a", "s-1", 1, {1, 5}), run("b", "s-2", 2, {1, 2})}},
        {"ran after", {}, {run("a", "s-1", 1, {1, 5}), run("b", "s-2", 2, {1, 5})}},
    };
    for (const Case &entry : cases) {
        const HistoryReport report = checkHistory(entry.calls, entry.runs);
        INFO(entry.violation);
        REQUIRE(report.violations.size() == 1);
        CHECK(report.violations.front().find(entry.violation) != std::string::npos);
    }
}

TEST_CASE("the history check accepts a history without violations")
{
    const std::vector<CallRecord> calls = {call("a", "POST", CallEnd::Answered), call("b", "POST", CallEnd::NotRun)};
    const std::vector<RunRecord> runs = {run("a", "s-1", 1, {1, 1}), run("z", "s-2", 2, {1, 2})};
    CHECK(checkHistory(calls, runs).violations.empty());
}

} // namespace snipevalve::standins
