#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

namespace {

/// Result of a simulated sequence of attempts: how many were lost after bytes were sent, and the outcome.
struct AttemptTrace
{
    int attemptsAfterLoss = 0; ///< attempts made after one was lost
    int lost = 0;
    Outcome outcome = Outcome::NotRun;
    int attempts = 0;
};

template <typename Rules>
AttemptTrace simulate(const std::vector<int> &ends, bool idempotent, bool replayable)
{
    RequestTraits traits;
    traits.idempotent = idempotent;
    traits.replayable = replayable;
    traits.deadline = TimePoint(Milliseconds(2000));
    BasicRequestLife<Rules> life(traits);
    RetryBudget budget;
    TimePoint now{};
    AttemptTrace trace;
    for (const int number : ends) {
        const auto end = static_cast<AttemptEnd>(number);
        ++trace.attempts;
        trace.attemptsAfterLoss += trace.lost > 0 ? 1 : 0;
        trace.lost += end == AttemptEnd::Lost ? 1 : 0;
        const NextStep step = life.onAttemptEnd(end, now, budget);
        if (const auto *finish = std::get_if<Finish>(&step)) {
            trace.outcome = finish->outcome;
            return trace;
        }
        now += std::get<RetryAfter>(step).delay + Milliseconds(1);
    }
    trace.outcome = life.failure();
    return trace;
}

std::vector<int> randomEnds()
{
    constexpr int Kinds = 7;
    return *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, Kinds));
}

struct RetryAlways : StandardRequestRules
{
    static constexpr bool RetryOnlyIdempotentAfterLoss = false;
};

struct ForgetLoss : StandardRequestRules
{
    static constexpr bool RememberLoss = false;
};

const std::vector<int> LostThenAnswered = {static_cast<int>(AttemptEnd::Lost), 0};
const std::vector<int> LostThenRefused = {static_cast<int>(AttemptEnd::Lost), static_cast<int>(AttemptEnd::QueueFull)};

} // namespace

TEST_CASE("a non-idempotent request is never sent again after a loss", "[promise-5]")
{
    const bool holds = rc::check("no attempt follows a loss", []() {
        const AttemptTrace trace = simulate<StandardRequestRules>(randomEnds(), false, true);
        RC_ASSERT(trace.attemptsAfterLoss == 0);
    });
    CHECK(holds);
    CHECK(simulate<RetryAlways>(LostThenAnswered, false, true).attemptsAfterLoss > 0);
}

TEST_CASE("a request that may have run never ends as not run", "[promise-4]")
{
    const bool holds = rc::check("a loss is never reported as not run", []() {
        const bool idempotent = *rc::gen::arbitrary<bool>();
        const bool replayable = *rc::gen::arbitrary<bool>();
        const AttemptTrace trace = simulate<StandardRequestRules>(randomEnds(), idempotent, replayable);
        RC_ASSERT(trace.lost == 0 || trace.outcome != Outcome::NotRun);
    });
    CHECK(holds);
    CHECK(simulate<ForgetLoss>(LostThenRefused, true, true).outcome == Outcome::NotRun);
}

TEST_CASE("the outcome after a single attempt")
{
    struct Case
    {
        AttemptEnd end;
        bool idempotent;
        bool replayable;
        bool retries;
        Outcome outcome;
    };
    const std::vector<Case> cases = {
        {AttemptEnd::Answered, false, true, false, Outcome::Answered},
        {AttemptEnd::NoServer, false, true, true, Outcome::NotRun},
        {AttemptEnd::NotOwner, false, true, true, Outcome::NotRun},
        {AttemptEnd::Refused, false, true, true, Outcome::NotRun},
        {AttemptEnd::NotConnected, false, true, true, Outcome::NotRun},
        {AttemptEnd::QueueFull, true, true, false, Outcome::NotRun},
        {AttemptEnd::Lost, false, true, false, Outcome::Unknown},
        {AttemptEnd::Lost, true, true, true, Outcome::Unknown},
        {AttemptEnd::Lost, true, false, false, Outcome::Unknown},
        {AttemptEnd::NotOwner, false, false, false, Outcome::NotRun},
    };
    for (const Case &entry : cases) {
        RequestTraits traits{entry.idempotent, entry.replayable, TimePoint(Milliseconds(1000))};
        RequestLife life(traits);
        RetryBudget budget;
        const NextStep step = life.onAttemptEnd(entry.end, TimePoint(), budget);
        INFO("attempt end " << static_cast<int>(entry.end));
        CHECK(std::holds_alternative<RetryAfter>(step) == entry.retries);
        if (!entry.retries) {
            CHECK(std::get<Finish>(step).outcome == entry.outcome);
        }
    }
}

TEST_CASE("retries are bounded by the budget")
{
    RetryBudget budget({0.2, 20.0});
    constexpr int Requests = 1000;
    int retries = 0;
    for (int request = 0; request < Requests; ++request) {
        budget.earn();
        while (budget.take()) {
            ++retries;
        }
    }
    CHECK(retries <= 20 + Requests / 5);
}

} // namespace snipevalve
