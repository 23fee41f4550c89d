#include <algorithm>

#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_balance.hpp"
#include "snipevalve/ownership/recent_owners.hpp"

namespace snipevalve {

namespace {

const TimePoint Start = TimePoint(std::chrono::hours(1));

} // namespace

TEST_CASE("a server counts as a recent owner of the keys that it has lost, until the time given")
{
    RecentOwners recent;
    recent.add({100, 199}, "a", Start + Milliseconds(1'000));
    recent.add({150, 299}, "a", Start + Milliseconds(2'000));
    recent.add({100, 199}, "b", Start + Milliseconds(2'000));

    struct Example
    {
        std::string server;
        KeyRange keys;
        bool before; ///< whether it counts before the first entry ends
        bool between; ///< after the first and before the second one
    };
    const auto example = GENERATE(values<Example>({
        {"a", {100, 100}, true, false},
        {"a", {0, 99}, false, false},
        {"a", {0, 100}, true, false},
        {"a", {299, 299}, true, true},
        {"a", {300, 65'535}, false, false},
        {"b", {199, 65'535}, true, true},
        {"c", {0, 65'535}, false, false},
    }));
    INFO(example.server << " " << example.keys.from << "-" << example.keys.to);
    CHECK(recent.contains(example.keys, example.server) == example.before);
    recent.expire(Start + Milliseconds(1'000));
    CHECK(recent.contains(example.keys, example.server) == example.between);
    recent.expire(Start + Milliseconds(2'000));
    CHECK_FALSE(recent.contains(example.keys, example.server));
}

TEST_CASE("ranges lose the keys that a recent owner has lost")
{
    struct Example
    {
        std::vector<KeyRange> ranges;
        KeyRange lost;
        std::vector<KeyRange> left;
    };
    const auto example = GENERATE(values<Example>({
        {{{0, 65'535}}, {10, 20}, {{0, 9}, {21, 65'535}}},
        {{{0, 65'535}}, {0, 65'535}, {}},
        {{{0, 9}, {30, 39}}, {5, 34}, {{0, 4}, {35, 39}}},
        {{{0, 9}, {30, 39}}, {10, 29}, {{0, 9}, {30, 39}}},
        {{{65'535, 65'535}}, {65'535, 65'535}, {}},
    }));
    RecentOwners recent;
    recent.add(example.lost, "a", Start);
    CHECK(recent.without(example.ranges, "a") == example.left);
    CHECK(recent.without(example.ranges, "b") == example.ranges);
}

TEST_CASE("the start of a range ends where other servers have lost the keys")
{
    struct Example
    {
        KeyRange keys;
        KeyRange start;
    };
    const auto example = GENERATE(values<Example>({
        {{0, 65'535}, {0, 99}},
        {{0, 50}, {0, 50}},
        {{100, 65'535}, {100, 149}},
        {{120, 130}, {120, 130}},
        {{150, 65'535}, {150, 199}},
        {{200, 65'535}, {200, 299}},
        {{300, 65'535}, {300, 65'534}},
        {{65'535, 65'535}, {65'535, 65'535}},
    }));
    RecentOwners recent;
    recent.add({100, 199}, "a", Start);
    recent.add({150, 299}, "b", Start);
    recent.add({65'535, 65'535}, "b", Start);
    INFO(example.keys.from << "-" << example.keys.to);
    CHECK(recent.uniformStart(example.keys) == example.start);
}

TEST_CASE("moves and merges pass over a server that has recently lost the keys")
{
    std::vector<float> loads(KeyCount, 0.0F);
    const std::map<std::string, double> capacities{{"full", 2}, {"empty", 2}, {"idle", 2}};
    const std::vector<OwnedRange> ranges{{{0, 999}, "full"}, {{1'000, 65'535}, "idle"}};
    for (const std::uint16_t key : {10, 20, 30, 40}) {
        loads[key] = 0.6F;
    }
    loads[2'000] = 0.2F;
    RecentOwners recent;
    recent.add({0, 999}, "empty", Start);
    const auto moves = planKeyMoves(ranges, loads, capacities, {}, recent);
    REQUIRE_FALSE(moves.empty());
    for (const KeyMove &move : moves) {
        INFO(move.keys.from << "-" << move.keys.to << " from " << move.from << " to " << move.to);
        CHECK((move.from != "full" || move.to == "idle"));
    }

    const std::vector<OwnedRange> enclosed{{{0, 999}, "full"}, {{1'000, 1'009}, "idle"}, {{1'010, 65'535}, "full"}};
    const std::vector<float> noLoad(KeyCount, 0.0F);
    CHECK(planKeyMerges(enclosed, noLoad, capacities).size() == 1);
    recent.add({1'005, 1'005}, "full", Start);
    CHECK(planKeyMerges(enclosed, noLoad, capacities, recent).empty());
}

TEST_CASE("a server that has nowhere to give its keys does not keep others from giving theirs")
{
    std::vector<float> loads(KeyCount, 0.0F);
    const std::map<std::string, double> capacities{{"hot", 2}, {"warm", 2}, {"filled", 2}, {"idle", 2}};
    const std::vector<OwnedRange> ranges{
        {{0, 999}, "hot"}, {{1'000, 1'999}, "warm"}, {{2'000, 2'999}, "filled"}, {{3'000, 65'535}, "idle"}};
    for (const std::uint16_t key : {10, 20, 30, 40}) {
        loads[key] = 0.6F;
        loads[1'000 + key] = 0.55F;
        loads[2'000 + key] = 0.475F;
    }
    loads[3'000] = 0.2F;
    const auto isMoveFromWarm = [](const KeyMove &move) {
        return move.from == "warm" && move.to == "idle";
    };
    const auto unrestricted = planKeyMoves(ranges, loads, capacities);
    CHECK(std::any_of(unrestricted.begin(), unrestricted.end(), isMoveFromWarm));

    RecentOwners recent;
    recent.add({0, 999}, "idle", Start);
    const auto moves = planKeyMoves(ranges, loads, capacities, {}, recent);
    CHECK(std::any_of(moves.begin(), moves.end(), isMoveFromWarm));
}

TEST_CASE("a server that can give its keys to no other is left out, and the others go on")
{
    struct Example
    {
        std::string name;
        std::map<std::uint16_t, float> loads; ///< by key; a thousand keys belong to each of "a", "b", "c" and "d"
        std::map<std::string, double> capacities;
        std::vector<std::pair<KeyRange, std::string>> lost;
        KeyRange movedKeys; ///< a move of some of them
        std::string from;
        std::string to;
    };
    const std::map<std::string, double> equal{{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}};
    const auto example = GENERATE_COPY(values<Example>({
        {"all others have lost the keys of the most utilised server",
         {{10, 1.0F},
          {20, 1.0F},
          {30, 1.0F},
          {1'010, 0.9F},
          {1'020, 0.9F},
          {1'030, 0.9F},
          {2'010, 0.4F},
          {3'010, 0.2F}},
         equal,
         {{{0, 999}, "b"}, {{0, 999}, "c"}, {{0, 999}, "d"}},
         {1'000, 1'999},
         "b",
         "d"},
        {"a server without keys has lost those of the most utilised server, and none is overloaded",
         {{10, 0.2F}, {20, 0.2F}, {1'010, 0.1F}, {1'020, 0.1F}, {2'010, 0.1F}, {3'010, 0.1F}},
         {{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}, {"new", 2}},
         {{{0, 999}, "new"}},
         {1'000, 1'999},
         "b",
         "new"},
        {"the roomiest server has lost the key that fills its server",
         {{10, 1.0F}, {20, 0.3F}, {1'010, 0.3F}, {2'010, 0.3F}, {3'010, 0.3F}},
         {{"a", 1}, {"b", 2}, {"c", 4}, {"d", 3}},
         {{{10, 10}, "c"}},
         {10, 10},
         "a",
         "d"},
    }));
    INFO(example.name);
    const std::vector<OwnedRange> ranges{
        {{0, 999}, "a"}, {{1'000, 1'999}, "b"}, {{2'000, 2'999}, "c"}, {{3'000, 3'999}, "d"}};
    std::vector<float> loads(KeyCount, 0.0F);
    for (const auto &[key, load] : example.loads) {
        loads[key] = load;
    }
    RecentOwners recent;
    for (const auto &[keys, server] : example.lost) {
        recent.add(keys, server, Start);
    }
    const auto moves = planKeyMoves(ranges, loads, example.capacities, {}, recent);
    CHECK(std::any_of(moves.begin(), moves.end(), [&example](const KeyMove &move) {
        return example.movedKeys.contains(move.keys.from) && example.movedKeys.contains(move.keys.to)
            && move.from == example.from && move.to == example.to;
    }));
    for (const KeyMove &move : moves) {
        INFO(move.keys.from << "-" << move.keys.to << " from " << move.from << " to " << move.to);
        CHECK_FALSE(recent.contains(move.keys, move.to));
    }
}

} // namespace snipevalve
