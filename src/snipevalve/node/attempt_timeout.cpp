#include "snipevalve/node/attempt_timeout.hpp"

#include <algorithm>

#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

namespace {

/// An attempt times out after the expected duration times TimeoutFactor plus TimeoutMargin. The factor leaves room for
/// the one request in a hundred that takes three times the usual work.
constexpr double TimeoutFactor = 4.0;
constexpr Milliseconds TimeoutMargin(200);
/// A keyed request is retried at the same owner, which starts the work again, so an attempt should time out only when
/// the connection is dead. This share of the remaining time leaves room for one more attempt.
constexpr double KeyedTimeoutShare = 0.6;

} // namespace

Duration attemptTimeout(Duration expected, Duration left, bool isKeyed)
{
    const auto usual = std::chrono::duration_cast<Duration>(Seconds(expected) * TimeoutFactor) + TimeoutMargin;
    const auto keyed = std::chrono::duration_cast<Duration>(Seconds(left) * KeyedTimeoutShare);
    return isKeyed ? std::max<Duration>(usual, keyed) : usual;
}

} // namespace snipevalve
