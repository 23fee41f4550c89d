#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "snipevalve/request/concurrency_limiter.hpp"
#include "snipevalve/request/server_choice.hpp"

namespace snipevalve {

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

} // namespace

TEST_CASE("no more requests than the limit are admitted, and waiting ones enter in deadline order")
{
    ConcurrencyLimiter limiter({2, 3});
    CHECK(limiter.admit(1, at(100), at(0)) == Admission::Enter);
    CHECK(limiter.admit(2, at(100), at(0)) == Admission::Enter);
    CHECK(limiter.admit(3, at(300), at(0)) == Admission::Wait);
    CHECK(limiter.admit(4, at(200), at(0)) == Admission::Wait);
    CHECK(limiter.admit(5, at(400), at(0)) == Admission::Wait);
    CHECK(limiter.admit(6, at(400), at(0)) == Admission::Refuse);
    CHECK(limiter.release(Milliseconds(5), at(10)) == 4);
    limiter.cancel(3);
    CHECK(limiter.release(Milliseconds(5), at(11)) == 5);
    CHECK_FALSE(limiter.release(Milliseconds(5), at(12)));
    CHECK(limiter.admitted() == 1);
}

TEST_CASE("a request that would miss its deadline in the queue is refused at once")
{
    ConcurrencyLimiter limiter({1, 100});
    CHECK(limiter.admit(1, at(1000), at(0)) == Admission::Enter);
    limiter.release(Milliseconds(50), at(50));
    CHECK(limiter.admit(2, at(1000), at(50)) == Admission::Enter);
    CHECK(limiter.admit(3, at(1000), at(50)) == Admission::Wait);
    CHECK(limiter.admit(4, at(120), at(50)) == Admission::Refuse);
}

TEST_CASE("the concurrency limit holds in any order of events")
{
    const bool holds = rc::check("admitted requests never exceed the limit", []() {
        constexpr std::uint32_t Limit = 2;
        ConcurrencyLimiter limiter({Limit, 4});
        std::uint64_t ticket = 0;
        for (const bool arrives : *rc::gen::arbitrary<std::vector<bool>>()) {
            if (arrives) {
                limiter.admit(++ticket, at(1000), at(0));
            } else if (limiter.admitted() > 0) {
                limiter.release(Milliseconds(1), at(1));
            }
            RC_ASSERT(limiter.admitted() <= Limit);
            RC_ASSERT(limiter.waiting() == 0 || limiter.admitted() == Limit);
        }
    });
    CHECK(holds);
}

TEMPLATE_TEST_CASE("no policy chooses a server that is not fit", "", RandomChoice, RoundRobinChoice, TwoChoices,
                   FeedbackChoice)
{
    TestType policy;
    Random random(1);
    std::vector<ServerView> servers(4);
    servers[1].fit = false;
    servers[3].fit = false;
    for (int turn = 0; turn < 100; ++turn) {
        const auto chosen = policy.choose(servers, random, at(0));
        REQUIRE(chosen);
        CHECK(servers[*chosen].fit);
    }
    for (ServerView &server : servers) {
        server.fit = false;
    }
    CHECK_FALSE(policy.choose(servers, random, at(0)));
}

} // namespace snipevalve
