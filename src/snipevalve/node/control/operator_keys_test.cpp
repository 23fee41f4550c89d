#include <catch2/catch.hpp>

#include "platform.hpp"
#include "snipevalve/node/control/operator_keys.hpp"

namespace snipevalve {

namespace {

using Zones = std::set<std::string>;

/// The keys of the platform, with what was passed on.
struct Fixture
{
    StoredValue valueOf(const std::string &key) const
    {
        return {key, "{}", 7};
    }

    int changes = 0;
    void onEvents(const std::vector<StoreEvent> &events)
    {
        for (const StoreEvent &event : events) {
            keys.onEvent(event, 1);
        }
        keys.onEventsEnd();
    }

    OperatorKeys<platform::Platform> keys{{[](const auto &, std::uint64_t) {},
                                           [this](const Evacuations &) {
                                               ++changes;
                                           }}};
};

} // namespace

TEST_CASE("the keys below op/evacuate/ name the evacuated zones, and other keys don't")
{
    Fixture fixture;
    const std::string longest(Evacuations::MaxZoneLength, 'x');
    StoredList list;
    list.revision = 10;
    for (const std::string &key : {std::string("op/evacuate/a"), std::string("op/evacuate/"), "op/evacuate/" + longest,
                                   "op/evacuate/y" + longest, std::string("op/evacuated/b"), std::string("op/evacuate"),
                                   std::string("op/other")}) {
        list.values.push_back(fixture.valueOf(key));
    }
    fixture.keys.onList(list, 1);
    CHECK(fixture.keys.evacuations() == Evacuations{1, 10, {"a", longest}});
    CHECK(fixture.changes == 1);

    fixture.onEvents({{{"op/evacuate/b", "{}", 12}, false}});
    CHECK(fixture.keys.evacuations() == Evacuations{1, 12, {"a", "b", longest}});
    fixture.onEvents({{{"op/evacuate/a", "", 11}, true}}); // older than what is known
    CHECK(fixture.keys.evacuations().revision == 12);
    fixture.onEvents({{{"op/evacuate/a", "", 13}, true}});
    CHECK(fixture.keys.evacuations() == Evacuations{1, 13, {"b", longest}});
    fixture.keys.adopt({1, 9, {"c"}}); // a leader that is behind
    CHECK(fixture.keys.evacuations().revision == 13);
    StoredList restored;
    restored.revision = 3;
    fixture.keys.onList(restored, 2); // restored from a copy without any
    CHECK(fixture.keys.evacuations() == Evacuations{2, 3, {}});
    CHECK(fixture.changes == 4);
}

TEST_CASE("all zones of one transaction are evacuated and taken back")
{
    Fixture fixture;
    StoredList list;
    list.revision = 10;
    fixture.keys.onList(list, 1);
    fixture.onEvents({{{"op/evacuate/a", "{}", 12}, false}, {{"op/evacuate/b", "{}", 12}, false}});
    CHECK(fixture.keys.evacuations() == Evacuations{1, 12, {"a", "b"}});
    fixture.onEvents({{{"op/evacuate/a", "", 13}, true}, {{"op/evacuate/b", "", 13}, true}});
    CHECK(fixture.keys.evacuations() == Evacuations{1, 13, {}});
}

TEST_CASE("the number of zones that are kept and relayed is limited")
{
    Fixture fixture;
    StoredList list;
    list.revision = 10;
    for (std::size_t number = 0; number < 3 * Evacuations::MaxZones; ++number) {
        list.values.push_back(fixture.valueOf("op/evacuate/zone-" + std::to_string(number)));
    }
    fixture.keys.onList(list, 1);
    CHECK(fixture.keys.evacuations().zones.size() == Evacuations::MaxZones);
}

} // namespace snipevalve
