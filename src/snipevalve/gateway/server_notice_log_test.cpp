#include <catch2/catch.hpp>

#include "snipevalve/gateway/server_notice_log.hpp"

namespace snipevalve {

namespace {

constexpr WallTime Noon = std::chrono::sys_days(std::chrono::year(2026) / 12 / 5) + std::chrono::hours(12)
    + std::chrono::minutes(4) + std::chrono::seconds(9) + Milliseconds(45);

} // namespace

TEST_CASE("a line about a leaving server names the server, the time and what told it")
{
    struct Case
    {
        LeavingServer leaving;
        std::string host;
        std::string text;
    };
    const std::vector<Case> cases = {
        {{"debits", {"debit-0", 17}, LeavingSource::Answer, {}},
         "h-1",
         "servers: event=leaving server=debit-0 leaving since=2026-12-05T12:04:09.045Z told_by=answer service=debits "
         "incarnation=17 host=h-1"},
        {{"debits", {"debit-0", 17}, LeavingSource::List, {}},
         "h-1",
         "servers: event=leaving server=debit-0 leaving since=2026-12-05T12:04:09.045Z told_by=list service=debits "
         "incarnation=17 host=h-1"},
        {{"de bits", {"a\nb", 1}, LeavingSource::List, {}},
         "h\"1",
         "servers: event=leaving server=a%0ab leaving since=2026-12-05T12:04:09.045Z told_by=list service=de%20bits "
         "incarnation=1 host=h%221"},
    };
    for (const Case &each : cases) {
        CHECK(leavingLogText(each.leaving, Noon, each.host) == each.text);
    }
}

TEST_CASE("a line about a pause names the server, the end and the duration that was asked for")
{
    CHECK(pauseLogText("debits", "debit-0", Noon, Milliseconds(2'000))
          == "servers: event=paused server=debit-0 paused until=2026-12-05T12:04:09.045Z asked=2000ms service=debits");
    CHECK(pauseLogText("de\tbits", "a b", Noon, Milliseconds(1))
          == "servers: event=paused server=a%20b paused until=2026-12-05T12:04:09.045Z asked=1ms service=de%09bits");
}

TEST_CASE("a line about an ignored header names the server, the value and the limit")
{
    CHECK(invalidHeaderLogText("a b", {"Retry-After", "1\n2", "60s", "the header is repeated"})
          == "servers: event=invalid_header server=a%20b header=Retry-After value=1%0a2 limit=60s reason=\"the header "
             "is repeated\"");
}

TEST_CASE("the time of day of an earlier time is earlier by as much")
{
    const TimePoint now = Clock::now();
    const auto apart = wallTimeOf(now) - wallTimeOf(now - Milliseconds(5'000));
    CHECK(apart > Milliseconds(4'900));
    CHECK(apart < Milliseconds(5'100));
}

} // namespace snipevalve
