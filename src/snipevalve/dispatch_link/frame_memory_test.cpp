#include <catch2/catch.hpp>

#include <vector>

#include "snipevalve/dispatch_link/frame_memory.hpp"

namespace snipevalve {

// Guards against peers that take the memory by frames that they don't end, and against closing those that hold little.
TEST_CASE("the channel that holds most of unfinished frames is closed when there is no room")
{
    constexpr std::size_t Limit = 100;
    struct Case
    {
        std::string name;
        std::vector<std::size_t> held;
        std::size_t asked; ///< by one more channel
        bool isGranted;
        std::vector<std::size_t> closed;
        std::size_t heldAfterwards;
    };
    const std::vector<Case> cases = {
        {"room for all", {40, 50}, 10, true, {}, 100},
        {"the largest gives way", {20, 50, 30}, 10, true, {1}, 60},
        {"the asker holds nearly as much", {48, 52}, 51, true, {1}, 99},
        {"the asker would hold most", {30, 30, 30}, 40, false, {}, 90},
        {"more than the limit", {}, 101, false, {}, 0},
        {"as much as the largest", {60, 40}, 60, false, {}, 100},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        FrameMemory memory(Limit);
        std::vector<std::size_t> closed;
        std::vector<int> channels(each.held.size() + 1);
        for (std::size_t number = 0; number < each.held.size(); ++number) {
            REQUIRE(memory.ask(&channels[number], each.held[number], [&closed, number]() {
                closed.push_back(number);
            }));
        }
        CHECK(memory.ask(&channels.back(), each.asked, []() {}) == each.isGranted);
        CHECK(closed == each.closed);
        CHECK(memory.held() == each.heldAfterwards);
    }
}

TEST_CASE("a channel that asks again gives back what it held")
{
    FrameMemory memory(100);
    const int channel = 0;
    const auto ask = [&](std::size_t bytes) {
        return memory.ask(&channel, bytes, []() {});
    };
    CHECK(ask(60));
    CHECK(ask(90));
    CHECK(memory.held() == 90);
    CHECK_FALSE(ask(110));
    CHECK(memory.held() == 0);
    CHECK(ask(10));
    memory.release(&channel);
    CHECK(memory.held() == 0);
}

} // namespace snipevalve
