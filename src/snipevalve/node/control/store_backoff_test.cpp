#include <catch2/catch.hpp>

#include "snipevalve/node/control/store_backoff.hpp"

namespace snipevalve {

TEST_CASE("four watchers share the backoff during an outage of nine seconds, and all go on after it")
{
    StoreBackoff backoff;
    TimePoint now = Clock::now();
    const TimePoint back = now + Milliseconds(9'000);
    int calls = 0;
    TimePoint regainedAt;
    for (; now < back + Milliseconds(3'000); now += Milliseconds(50)) {
        for (int watcher = 0; watcher < 4; ++watcher) {
            if (!backoff.mayCall(now)) {
                continue;
            }
            if (now < back) {
                ++calls;
                backoff.onFailure(now);
            } else {
                backoff.onSuccess();
                regainedAt = regainedAt == TimePoint() ? now : regainedAt;
            }
        }
    }
    CHECK(calls <= 16); // would be 240 if each watcher retried every 150 ms
    CHECK(regainedAt - back <= Milliseconds(1'250));
    CHECK(backoff.mayCall(now));
    CHECK(backoff.mayCall(now));
}

} // namespace snipevalve
