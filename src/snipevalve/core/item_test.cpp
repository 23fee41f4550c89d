#include <algorithm>
#include <random>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "snipevalve/core/item.hpp"
#include "snipevalve/core/token.hpp"

namespace snipevalve {

namespace {

Item item(const std::string &name, std::uint64_t revision, bool removed = false)
{
    return {{ItemKind::Resource, name}, {revision, 0}, "at " + std::to_string(revision), removed};
}

} // namespace

TEST_CASE("a set never goes back to a lower version", "[promise-8]")
{
    ItemSet set;
    CHECK(set.merge(item("route/a", 5)));
    CHECK_FALSE(set.merge(item("route/a", 4)));
    CHECK_FALSE(set.merge(item("route/a", 5)));
    CHECK(set.find({ItemKind::Resource, "route/a"})->payload == "at 5");
    CHECK(set.merge(item("route/a", 6, true)));
    CHECK_FALSE(set.merge(item("route/a", 5)));
    CHECK(set.find({ItemKind::Resource, "route/a"})->removed);
    CHECK(set.resourceRevision() == 6);
}

TEST_CASE("sets converge regardless of the order of the items", "[promise-8]")
{
    const bool holds = rc::check("two orders give the same set", []() {
        std::vector<Item> items;
        for (const int number : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
            items.push_back(item("route/" + std::to_string(number % 4), static_cast<std::uint64_t>(number)));
        }
        ItemSet inOrder;
        ItemSet shuffled;
        for (const Item &one : items) {
            inOrder.merge(one);
        }
        std::shuffle(items.begin(), items.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        for (const Item &one : items) {
            shuffled.merge(one);
        }
        RC_ASSERT(inOrder.size() == shuffled.size());
        for (const Item &one : inOrder.all()) {
            RC_ASSERT(shuffled.find(one.key)->version == one.version);
        }
    });
    CHECK(holds);
}

TEST_CASE("tokens and groups are read back as written, and malformed texts are rejected")
{
    CHECK(parseToken(toString(Token{3, 17})) == Token{3, 17});
    CHECK(parseGroupId(toString(GroupId{"ledger", 4})) == GroupId{"ledger", 4});
    for (const char *text : {"", ".", "1.", ".1", "1.2.3", "1,2", "-1.2", "a.b"}) {
        INFO(text);
        CHECK_FALSE(parseToken(text));
    }
    for (const char *text : {"", "/", "a/", "/1", "a/b", "a"}) {
        INFO(text);
        CHECK_FALSE(parseGroupId(text));
    }
    CHECK(Token{2, 0} > Token{1, 99});
}

} // namespace snipevalve
