#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "snipevalve/placement/grant.hpp"
#include "snipevalve/placement/group_plan.hpp"

namespace snipevalve {

TEST_CASE("orders and answers are read back as written")
{
    const bool holds = rc::check("any set of slots", []() {
        const auto chosen = *rc::gen::container<std::set<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 300));
        GrantOrder order;
        order.group = {"ledger", 3};
        order.token = {4, 17};
        order.slots.assign(chosen.begin(), chosen.end());
        order.anchor = ServerClock(12345);
        order.lifetime = Milliseconds(2000);
        const auto again = parseGrantOrder(toJson(order));
        RC_ASSERT(again.has_value());
        RC_ASSERT(again->slots == order.slots);
        RC_ASSERT(again->token == order.token);
        RC_ASSERT(again->anchor == order.anchor);
        const GrantAnswer answer = {true, {4, 17}, ServerClock(9), order.slots};
        const auto answered = parseGrantAnswer(toJson(answer));
        RC_ASSERT(answered.has_value());
        RC_ASSERT(answered->held == order.slots);
    });
    CHECK(holds);
}

TEST_CASE("malformed orders, answers and plans are refused")
{
    for (const char *text : {"", "{}", "[]", "nonsense", R"({"accepted":true})",
                             R"({"accepted":true,"highest":"1.1","clockMs":1,"held":"a"})",
                             R"({"accepted":true,"highest":"1.1","clockMs":1,"held":"1-"})",
                             R"({"accepted":true,"highest":"1.1","clockMs":1,"held":"1-99999999"})"}) {
        INFO(text);
        CHECK_FALSE(parseGrantAnswer(text));
        CHECK_FALSE(parseGrantOrder(text));
        CHECK_FALSE(parsePlan(text));
    }
    CHECK_FALSE(decodeOwners("00f"));
    CHECK_FALSE(decodeOwners("00fx"));
}

TEST_CASE("plans are read back as written")
{
    const GroupPlan plan = {3, "host-1", 4, "w-1", {"a", "b"}, {0, 1, NoServer}, {"a"}};
    CHECK(parsePlan(toJson(plan)) == plan);
}

} // namespace snipevalve
