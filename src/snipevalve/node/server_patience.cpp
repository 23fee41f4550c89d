#include "snipevalve/node/server_patience.hpp"

#include <algorithm>

#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

namespace {

/// A repeatable request is sent elsewhere when a server takes this many times the expected time, and this much more.
/// One request in a hundred takes three times the usual work.
constexpr double TimeoutFactor = 4.0;
constexpr Milliseconds TimeoutMargin(200);
/// A key has one owner, which would begin the work anew: only a connection that has gone silent is worth that. This
/// part of the time that is left leaves room for one more send.
constexpr double KeyedTimeoutShare = 0.6;

} // namespace

Duration attemptTimeout(Duration expected, Duration left, bool isKeyed)
{
    const auto usual = std::chrono::duration_cast<Duration>(Seconds(expected) * TimeoutFactor) + TimeoutMargin;
    const auto keyed = std::chrono::duration_cast<Duration>(Seconds(left) * KeyedTimeoutShare);
    return isKeyed ? std::max<Duration>(usual, keyed) : usual;
}

} // namespace snipevalve
