#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_exits.hpp"

namespace snipevalve {

namespace {

using Capacities = std::map<std::string, double>;

double loadOf(const KeyRange &keys, const std::vector<float> &loads)
{
    double load = 0;
    for (std::uint32_t key = keys.from; key <= keys.to; ++key) {
        load += loads[key];
    }
    return load;
}

} // namespace

TEST_CASE("the keys of a zone's servers are shared among the others by their room, the busiest first")
{
    // Twelve servers of four slots, of which the first four leave; one key of theirs is hot, and b4 is nearly full.
    constexpr std::uint32_t Width = KeyCount / 12;
    std::vector<float> loads(KeyCount, 1.5F / Width);
    loads[100] = 2.0F;
    std::vector<OwnedRange> leaving;
    std::vector<OwnedRange> staying;
    Capacities capacities;
    for (std::uint32_t number = 0; number < 12; ++number) {
        const KeyRange keys{static_cast<std::uint16_t>(number * Width),
                            static_cast<std::uint16_t>(number == 11 ? KeyCount - 1 : (number + 1) * Width - 1)};
        if (number < 4) {
            leaving.push_back({keys, std::string("a").append(std::to_string(number))});
        } else {
            staying.push_back({keys, std::string("b").append(std::to_string(number))});
            capacities[std::string("b").append(std::to_string(number))] = number == 4 ? 1.6 : 4.0;
        }
    }
    const std::vector<KeyMove> moves = planKeyExits(leaving, staying, loads, capacities, {});
    REQUIRE(!moves.empty());
    CHECK(moves.front().keys.contains(100));
    CHECK(moves.size() <= 3 * capacities.size());
    Capacities taken;
    std::uint32_t moved = 0;
    for (std::size_t at = 0; at < moves.size(); ++at) {
        moved += moves[at].keys.size();
        taken[moves[at].to] += loadOf(moves[at].keys, loads);
        CHECK(capacities.contains(moves[at].to));
        const double before = at == 0 ? 1e9 : loadOf(moves[at - 1].keys, loads);
        CHECK(loadOf(moves[at].keys, loads) <= before + 0.2);
    }
    CHECK(moved == 4 * Width); // each key once
    CHECK(taken["b4"] < 0.5); // guards against: an equal share for a server without room
    for (const auto &[id, capacity] : capacities) {
        INFO(id);
        CHECK((1.5 + taken[id]) / capacity < 1.0);
    }
}

TEST_CASE("keys that leave go to a server that has recently lost them only if there is no other")
{
    const std::vector<float> loads(KeyCount, 0.0F);
    const std::vector<OwnedRange> leaving{{{0, 99}, "a"}};
    RecentOwners recent;
    recent.add({50, 60}, "b", TimePoint::max());
    for (const KeyMove &move : planKeyExits(leaving, {}, loads, {{"b", 4}, {"c", 2}}, recent)) {
        const bool wasLost = move.keys.from <= 60 && move.keys.to >= 50;
        CHECK((!wasLost || move.to == "c"));
    }
    CHECK_FALSE(planKeyExits(leaving, {}, loads, {{"b", 4}}, recent).empty());
    CHECK(planKeyExits(leaving, {}, loads, {}, recent).empty());
}

} // namespace snipevalve
