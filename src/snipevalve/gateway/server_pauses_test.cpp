#include <catch2/catch.hpp>

#include <set>

#include "snipevalve/gateway/server_pauses.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

/// A server asks for a pause at a time after the start.
struct Ask
{
    std::string server;
    Milliseconds at{0};
    Milliseconds pause{0};
};

} // namespace

TEST_CASE("a server gets no request before the end of the longest pause that it has asked for")
{
    struct Case
    {
        std::string name;
        std::vector<Ask> asks;
        Milliseconds at{0};
        std::optional<Milliseconds> pausedUntil; ///< of server a
    };
    const std::vector<Case> cases = {
        {"no pause", {}, Milliseconds(0), std::nullopt},
        {"during a pause", {{"a", Milliseconds(0), Milliseconds(2'000)}}, Milliseconds(1'999), Milliseconds(2'000)},
        {"after a pause", {{"a", Milliseconds(0), Milliseconds(2'000)}}, Milliseconds(2'000), std::nullopt},
        {"another server's pause", {{"b", Milliseconds(0), Milliseconds(2'000)}}, Milliseconds(0), std::nullopt},
        {"a shorter pause during a first, from a request that was under way",
         {{"a", Milliseconds(0), Milliseconds(3'000)}, {"a", Milliseconds(200), Milliseconds(500)}},
         Milliseconds(1'000),
         Milliseconds(3'000)},
        {"a longer pause during a first",
         {{"a", Milliseconds(0), Milliseconds(1'000)}, {"a", Milliseconds(500), Milliseconds(1'000)}},
         Milliseconds(1'200),
         Milliseconds(1'500)},
        {"an answer without a pause during a first",
         {{"a", Milliseconds(0), Milliseconds(1'000)}, {"a", Milliseconds(500), Milliseconds(0)}},
         Milliseconds(900),
         Milliseconds(1'000)},
        {"a second pause after a first",
         {{"a", Milliseconds(0), Milliseconds(1'000)}, {"a", Milliseconds(2'000), Milliseconds(500)}},
         Milliseconds(2'100),
         Milliseconds(2'500)},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        ServerPauses pauses;
        for (const Ask &ask : each.asks) {
            pauses.add("ledger", ask.server, ask.pause, Start + ask.at);
        }
        const auto until = pauses.pausedUntil("a", Start + each.at);
        CHECK(until.has_value() == each.pausedUntil.has_value());
        if (until && each.pausedUntil) {
            CHECK(*until == Start + *each.pausedUntil);
        }
    }
}

TEST_CASE("only a pause that moves the end is news")
{
    ServerPauses pauses;
    CHECK(pauses.add("ledger", "a", Milliseconds(2'000), Start));
    CHECK_FALSE(pauses.add("ledger", "a", Milliseconds(500), Start));
    CHECK_FALSE(pauses.add("ledger", "a", Milliseconds(0), Start));
    CHECK(pauses.pausedServers("ledger", Start) == std::vector<std::string>{"a"});
    CHECK(pauses.pausedServers("debits", Start).empty());
    CHECK(pauses.isAnyPaused(Start));
    CHECK_FALSE(pauses.isAnyPaused(Start + Milliseconds(2'000)));
    CHECK(pauses.pausedServers("ledger", Start + Milliseconds(2'000)).empty());
}

TEST_CASE("a request waits for the end of a pause only if it can outlast it")
{
    struct Case
    {
        std::string name;
        Milliseconds pause;
        Milliseconds latest; ///< after the start
        double draw;
        std::optional<Milliseconds> returnsAt; ///< after the start
    };
    const std::vector<Case> cases = {
        {"in time", Milliseconds(2'000), Milliseconds(9'000), 0, Milliseconds(2'000)},
        {"in time, spread", Milliseconds(2'000), Milliseconds(9'000), 1, Milliseconds(2'500)},
        {"little time is left after the pause", Milliseconds(2'000), Milliseconds(2'100), 0.5, Milliseconds(2'050)},
        {"just in time", Milliseconds(2'000), Milliseconds(2'000), 1, Milliseconds(2'000)},
        {"too late", Milliseconds(2'000), Milliseconds(1'999), 0, std::nullopt},
        {"a long pause is spread over a bounded time", Milliseconds(20'000), Milliseconds(60'000), 1,
         Milliseconds(21'000)},
        {"a short pause is spread too", Milliseconds(10), Milliseconds(9'000), 1, Milliseconds(110)},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        const auto time = ServerPauses::returnTime(Start + each.pause, Start + each.latest, Start, each.draw);
        CHECK(time.has_value() == each.returnsAt.has_value());
        if (time && each.returnsAt) {
            CHECK(*time == Start + *each.returnsAt);
        }
    }
}

TEST_CASE("callers whose requests were refused for a pause come back after its end, spread")
{
    const TimePoint until = Start + Milliseconds(2'000);
    CHECK(ServerPauses::retryAfter(until, Start, 0) == Milliseconds(2'000));
    CHECK(ServerPauses::retryAfter(until, Start, 0.5) == Milliseconds(2'250));
    CHECK(ServerPauses::retryAfter(until, Start, 1) == Milliseconds(2'500));
}

} // namespace snipevalve
