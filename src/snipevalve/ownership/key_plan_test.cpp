#include <catch2/catch.hpp>

#include "snipevalve/ownership/key_plan.hpp"

namespace snipevalve {

namespace {

const ServerIncarnation A{"a", 1};
const ServerIncarnation B{"b", 7};

} // namespace

TEST_CASE("a plan's text tells the whole plan")
{
    const auto plan = GENERATE(values<KeyPlan>({
        {},
        {1, 2, {{{0, 99}, A}, {{100, 65'535}, B}}, {}, {}, {}},
        {1, 2, {{{0, 99}, A}}, {"host#1", 3}, {{100, 199}, {65'535, 65'535}}, {}},
        {1, 2, {{{0, 99}, A}}, {}, {}, {{"b", {0, 9}, Milliseconds(9'999)}}},
        {1,
         2,
         {{{0, 99}, A}},
         {},
         {},
         {{"b", {0, 9}, Milliseconds(20)},
          {"b", {65'535, 65'535}, Milliseconds(0)},
          {"gone", {5, 5}, Milliseconds(1)}}},
    }));
    const std::string text = toText(plan);
    INFO(text);
    const auto parsed = parseKeyPlan(text);
    REQUIRE(parsed.ok());
    CHECK(*parsed == plan);
}

TEST_CASE("a plan's text names each server once for its recent losses")
{
    const KeyPlan plan{1, 2, {}, {}, {}, {{"b", {0, 9}, Milliseconds(20)}, {"b", {20, 29}, Milliseconds(10)}}};
    CHECK(toText(plan)
          == R"({"ranges":[],"recent_losses":[["b",[[0,9,20],[20,29,10]]]],"servers":[],"term":1,"version":2})");
}

TEST_CASE("a plan with recent losses that can't be is no plan")
{
    const auto losses =
        GENERATE(as<std::string>(), R"(["b",[[0,9,20]]])", R"([["b",[[9,0,20]]]])", R"([["b",[[0,65536,20]]]])",
                 R"([["b",[[-1,9,20]]]])", R"([["b",[[0,9,-1]]]])", R"([["b",[[0,9]]]])", R"([["",[[0,9,20]]]])",
                 R"([[1,[[0,9,20]]]])", R"([["b"]])", R"([["b",[["0",9,20]]]])", "7");
    INFO(losses);
    const auto parsed =
        parseKeyPlan(R"({"term":1,"version":2,"servers":[],"ranges":[],"recent_losses":)" + losses + "}");
    REQUIRE_FALSE(parsed.ok());
    CHECK(absl::IsInvalidArgument(parsed.status()));
}

TEST_CASE("a plan of an earlier version has no recent losses")
{
    const auto parsed = parseKeyPlan(R"({"term":1,"version":2,"servers":[["a",1]],"ranges":[[0,9,0]]})");
    REQUIRE(parsed.ok());
    CHECK(parsed->recentLosses.empty());
}

TEST_CASE("a plan keeps the most recent losses")
{
    std::vector<KeyLoss> losses;
    constexpr std::size_t Surplus = 10;
    for (std::size_t at = 0; at < MaxPlannedLosses + Surplus; ++at) {
        const auto key = static_cast<std::uint16_t>(at);
        losses.push_back({at % 2 == 0 ? "b" : "a", {key, key}, Milliseconds(at)});
    }
    const std::vector<KeyLoss> kept = plannedLosses(losses);
    REQUIRE(kept.size() == MaxPlannedLosses);
    std::string lastServer;
    Milliseconds lastAge{0};
    for (const KeyLoss &loss : kept) {
        CHECK(loss.age < Milliseconds(MaxPlannedLosses));
        CHECK(lastServer <= loss.server);
        CHECK((lastServer != loss.server || loss.age <= lastAge));
        lastServer = loss.server;
        lastAge = loss.age;
    }
}

TEST_CASE("the common plan of two has the recent losses of both, each with its lower age")
{
    const KeyPlan first{1, 1, {}, {}, {}, {{"a", {0, 9}, Milliseconds(10)}, {"b", {0, 9}, Milliseconds(5)}}};
    const KeyPlan second{1, 2, {}, {}, {}, {{"a", {0, 9}, Milliseconds(30)}, {"a", {10, 19}, Milliseconds(0)}}};
    const std::vector<KeyLoss> both{
        {"a", {0, 9}, Milliseconds(10)}, {"a", {10, 19}, Milliseconds(0)}, {"b", {0, 9}, Milliseconds(5)}};
    CHECK(commonPlan(first, second).recentLosses == both);
    CHECK(commonPlan(second, first).recentLosses == both);
}

} // namespace snipevalve
