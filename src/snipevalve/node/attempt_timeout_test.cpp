#include <catch2/catch.hpp>

#include "snipevalve/node/attempt_timeout.hpp"

namespace snipevalve {

TEST_CASE("an attempt at a key's owner times out only when just enough time for one more is left")
{
    struct Case
    {
        std::string name;
        Milliseconds expected;
        Milliseconds left;
        bool isKeyed;
        Milliseconds least;
        Milliseconds most;
    };
    const std::vector<Case> cases = {
        {"a server of a pool: another one may be faster", Milliseconds(100), Milliseconds(4'000), false,
         Milliseconds(300), Milliseconds(1'000)},
        // From scale-1 on `large`: 0.32 s of work on average, up to 1.9 s, while hosts expect 0.1 s at first.
        {"an owner that works on a long request", Milliseconds(100), Milliseconds(4'000), true, Milliseconds(1'900),
         Milliseconds(3'000)},
        {"an owner that is known to be slow", Milliseconds(700), Milliseconds(4'000), true, Milliseconds(2'800),
         Milliseconds(4'000)},
        {"an owner with little time left", Milliseconds(100), Milliseconds(500), true, Milliseconds(300),
         Milliseconds(1'000)},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        const Duration timeout = attemptTimeout(each.expected, each.left, each.isKeyed);
        CHECK(timeout >= each.least);
        CHECK(timeout <= each.most);
    }
}

} // namespace snipevalve
