#include <catch2/catch.hpp>

#include "snipevalve/node/link_silence.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds CheckInterval{50};

} // namespace

TEST_CASE("a leader that has lost its power is given up before the target of a request has passed")
{
    // With 1 s, a tenth of the requests of a heavy day waited for a leader that was gone, and were late.
    LinkSilence silence;
    const TimePoint lastFrameAt = Start;
    TimePoint now = Start;
    while (!silence.isOver(lastFrameAt, now) && now < Start + std::chrono::seconds(5)) {
        now += CheckInterval;
    }
    CHECK(now - lastFrameAt <= Milliseconds(600));
    CHECK(now - lastFrameAt > 2 * LinkSilence::HeartbeatInterval);
}

TEST_CASE("a leader is not given up because this host has been stalled")
{
    LinkSilence silence;
    TimePoint now = Start;
    for (int check = 0; check < 10; ++check) {
        now += CheckInterval;
        CHECK_FALSE(silence.isOver(now, now));
    }
    const TimePoint lastFrameAt = now;
    now += Milliseconds(3'000); // the frames of this time have arrived and are not read yet
    CHECK_FALSE(silence.isOver(lastFrameAt, now));
    now += CheckInterval;
    CHECK_FALSE(silence.isOver(lastFrameAt, now));
    now += CheckInterval;
    CHECK_FALSE(silence.isOver(now, now));
}

} // namespace snipevalve
