#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "snipevalve/request/server_choice.hpp"
#include "snipevalve/request/server_gate.hpp"

namespace snipevalve {

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint(Milliseconds(milliseconds));
}

} // namespace

TEST_CASE("the gate lets in no more than its limit, in order of the deadlines")
{
    ConcurrencyLimiter gate({2, 3});
    CHECK(gate.arrive(1, at(100), at(0)) == Admission::Enter);
    CHECK(gate.arrive(2, at(100), at(0)) == Admission::Enter);
    CHECK(gate.arrive(3, at(300), at(0)) == Admission::Wait);
    CHECK(gate.arrive(4, at(200), at(0)) == Admission::Wait);
    CHECK(gate.arrive(5, at(400), at(0)) == Admission::Wait);
    CHECK(gate.arrive(6, at(400), at(0)) == Admission::Refuse);
    CHECK(gate.leave(Milliseconds(5), at(10)) == 4);
    gate.giveUp(3);
    CHECK(gate.leave(Milliseconds(5), at(11)) == 5);
    CHECK_FALSE(gate.leave(Milliseconds(5), at(12)));
    CHECK(gate.inside() == 1);
}

TEST_CASE("the gate refuses early what its queue would make late")
{
    ConcurrencyLimiter gate({1, 100});
    CHECK(gate.arrive(1, at(1000), at(0)) == Admission::Enter);
    gate.leave(Milliseconds(50), at(50));
    CHECK(gate.arrive(2, at(1000), at(50)) == Admission::Enter);
    CHECK(gate.arrive(3, at(1000), at(50)) == Admission::Wait);
    CHECK(gate.arrive(4, at(120), at(50)) == Admission::Refuse);
}

TEST_CASE("the gate's limit holds in any order of events")
{
    const bool holds = rc::check("inside never exceeds the limit", []() {
        constexpr std::uint32_t Limit = 2;
        ConcurrencyLimiter gate({Limit, 4});
        std::uint64_t ticket = 0;
        for (const bool arrives : *rc::gen::arbitrary<std::vector<bool>>()) {
            if (arrives) {
                gate.arrive(++ticket, at(1000), at(0));
            } else if (gate.inside() > 0) {
                gate.leave(Milliseconds(1), at(1));
            }
            RC_ASSERT(gate.inside() <= Limit);
            RC_ASSERT(gate.waiting() == 0 || gate.inside() == Limit);
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
