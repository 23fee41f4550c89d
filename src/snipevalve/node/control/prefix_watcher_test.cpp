#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "snipevalve/node/control/prefix_watcher.hpp"

namespace snipevalve {

namespace {

/// A store whose outages and restores the test controls. It holds one key, whose value changes with each revision.
struct FakeStore
{
    bool isAway = false;
    int lists = 0;
    int watches = 0;
    std::uint64_t revision = 0;
    std::uint64_t oldestRevision = 0; ///< a watch from an earlier revision finds no history
    std::uint64_t actualEra = 0; ///< 0: the answers name no era
    std::uint64_t knownEra = 0;

    Awaitable<absl::StatusOr<StoredValue>> read(std::string key)
    {
        co_return StoredValue{key, {}, 0};
    }

    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix)
    {
        ++lists;
        const std::uint64_t begunIn = knownEra;
        co_await wait();
        const absl::Status status = answer(begunIn);
        if (!status.ok()) {
            co_return status;
        }
        co_return StoredList{revision, {{prefix, std::to_string(revision), revision}}};
    }

    Awaitable<absl::StatusOr<WriteResult>> write(StoreWrite)
    {
        co_return absl::UnavailableError("not used");
    }

    Awaitable<absl::StatusOr<StoreEvents>> watch(std::string prefix, std::uint64_t after, Milliseconds)
    {
        ++watches;
        const std::uint64_t begunIn = knownEra;
        co_await wait();
        const absl::Status status = answer(begunIn);
        if (!status.ok()) {
            co_return status;
        }
        if (after > revision || after < oldestRevision) {
            co_return absl::OutOfRangeError("no such history");
        }
        StoreEvents events;
        events.revision = revision;
        if (after < revision) {
            events.events.push_back({{prefix, std::to_string(revision), revision}, false});
        }
        co_return events;
    }

    Awaitable<absl::StatusOr<std::uint64_t>> createLease(Milliseconds)
    {
        co_return absl::UnavailableError("not used");
    }

    Awaitable<absl::Status> renewLease(std::uint64_t)
    {
        co_return absl::UnavailableError("not used");
    }

    std::uint64_t era() const
    {
        return knownEra;
    }

    void observeEra(std::uint64_t era)
    {
        knownEra = std::max(knownEra, era);
    }

    void setOnRestored(std::function<void(std::uint64_t)>)
    {
    }

private:
    static Awaitable<void> wait()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(10));
        co_await timer.async_wait(asio::use_awaitable);
    }

    absl::Status answer(std::uint64_t begunIn)
    {
        if (isAway) {
            return absl::UnavailableError("away");
        }
        observeEra(actualEra);
        const bool isRestored = begunIn != 0 && begunIn < knownEra;
        return isRestored ? absl::AbortedError("restored") : absl::OkStatus();
    }
};

} // namespace

TEST_CASE("a watcher reports the recovery of the store only if it was running all through the outage")
{
    // A watch that is paused when the store recovers must not report the outage later: servers that have left would be
    // taken for servers whose entries expired in the outage.
    asio::io_context context;
    FakeStore store;
    StoreBackoff backoff;
    bool isNeeded = true;
    int recoveries = 0;
    WatchHandlers handlers;
    handlers.onList = [](const StoredList &) {};
    handlers.onEvent = [](const StoreEvent &) {};
    handlers.onRecovery = [&recoveries](Duration) {
        ++recoveries;
    };
    handlers.isNeeded = [&isNeeded]() {
        return isNeeded;
    };
    PrefixWatcher<FakeStore> watcher(store, backoff, {"servers/"}, handlers);
    asio::co_spawn(context, watcher.run(), asio::detached);
    context.run_for(Milliseconds(100));
    CHECK(watcher.upToDateAt() != TimePoint());
    store.isAway = true;
    context.run_for(Milliseconds(400));
    store.isAway = false;
    context.run_for(Milliseconds(1'500));
    CHECK(recoveries == 1);
    store.isAway = true;
    context.run_for(Milliseconds(400));
    isNeeded = false;
    context.run_for(Milliseconds(1'500));
    store.isAway = false;
    isNeeded = true;
    const int before = store.lists;
    context.run_for(Milliseconds(1'500));
    CHECK(store.lists > before); // all values are listed again
    CHECK(recoveries == 1);
}

TEST_CASE("a watcher lists anew, once for each era, when the store was restored from a copy")
{
    struct Case
    {
        std::string name;
        std::uint64_t revision; ///< of the restored store
        bool toldByOthers; ///< another host tells of the era before this one gets an answer that names it
        bool isWhilePaused;
        std::uint64_t eraBefore;
        int restores;
    };
    const std::vector<Case> cases = {
        {"the revision is lower", 80, false, false, 4, 1},
        {"revisions have passed the old one again", 150, false, false, 4, 1},
        {"the revision is the same again", 100, false, false, 4, 1},
        {"another host tells of it first", 80, true, false, 4, 1},
        {"told of it first, revisions have passed the old one again", 150, true, false, 4, 1},
        {"it was restored while the watch was paused", 80, false, true, 4, 1},
        {"told of it while the watch was paused", 80, true, true, 4, 1},
        {"the first known era is no restore", 150, false, false, 0, 0},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        asio::io_context context;
        FakeStore store;
        StoreBackoff backoff;
        store.revision = 100;
        store.actualEra = each.eraBefore;
        bool isNeeded = true;
        std::vector<std::string> calls;
        WatchHandlers handlers;
        handlers.onList = [&calls](const StoredList &list) {
            calls.push_back("list " + list.values.at(0).value);
        };
        handlers.onEvent = [&calls](const StoreEvent &event) {
            calls.push_back("event " + event.value.value);
        };
        handlers.onRestored = [&calls]() {
            calls.push_back("restored");
        };
        handlers.onRecovery = [&calls](Duration) {
            calls.push_back("recovery");
        };
        handlers.isNeeded = [&isNeeded]() {
            return isNeeded;
        };
        PrefixWatcher<FakeStore> watcher(store, backoff, {"servers/"}, handlers);
        asio::co_spawn(context, watcher.run(), asio::detached);
        context.run_for(Milliseconds(100));
        REQUIRE(calls == std::vector<std::string>{"list 100"});
        calls.clear();
        isNeeded = !each.isWhilePaused;
        context.run_for(Milliseconds(100));
        store.revision = each.revision;
        store.actualEra = 5;
        if (each.toldByOthers) {
            store.observeEra(5);
        }
        isNeeded = true;
        context.run_for(Milliseconds(300));
        const std::string listed = "list " + std::to_string(each.revision);
        REQUIRE_FALSE(calls.empty());
        CHECK(std::count(calls.begin(), calls.end(), "restored") == each.restores);
        CHECK(std::count(calls.begin(), calls.end(), listed) == 1);
        CHECK(std::count(calls.begin(), calls.end(), "recovery") == 0);
        CHECK(calls.back() == listed);
        CHECK(watcher.revision() == each.revision);
        calls.clear();
        ++store.revision;
        context.run_for(Milliseconds(100));
        CHECK(calls == std::vector<std::string>{"event " + std::to_string(each.revision + 1)});
    }
}

TEST_CASE("an outage that ends with a restored store is reported as one outage and one restore")
{
    asio::io_context context;
    FakeStore store;
    StoreBackoff backoff;
    store.revision = 100;
    store.actualEra = 4;
    std::vector<std::string> calls;
    WatchHandlers handlers;
    handlers.onList = [&calls](const StoredList &list) {
        calls.push_back("list " + list.values.at(0).value);
    };
    handlers.onEvent = [](const StoreEvent &) {};
    handlers.onRestored = [&calls]() {
        calls.push_back("restored");
    };
    handlers.onRecovery = [&calls](Duration) {
        calls.push_back("recovery");
    };
    PrefixWatcher<FakeStore> watcher(store, backoff, {"servers/"}, handlers);
    asio::co_spawn(context, watcher.run(), asio::detached);
    context.run_for(Milliseconds(100));
    calls.clear();
    store.isAway = true;
    context.run_for(Milliseconds(300));
    store.isAway = false;
    store.revision = 80;
    store.actualEra = 5;
    context.run_for(Milliseconds(1'500));
    CHECK(calls == std::vector<std::string>{"recovery", "restored", "list 80"});
}

TEST_CASE("a list with a lower revision is refused within one era")
{
    asio::io_context context;
    FakeStore store;
    StoreBackoff backoff;
    store.revision = 100;
    store.actualEra = 4;
    int lists = 0;
    WatchHandlers handlers;
    handlers.onList = [&lists](const StoredList &) {
        ++lists;
    };
    handlers.onEvent = [](const StoreEvent &) {};
    PrefixWatcher<FakeStore> watcher(store, backoff, {"servers/"}, handlers);
    asio::co_spawn(context, watcher.run(), asio::detached);
    context.run_for(Milliseconds(100));
    CHECK(lists == 1);
    store.revision = 80; // the watch finds no history and the watcher lists anew
    context.run_for(Milliseconds(200));
    CHECK(lists == 1);
    CHECK(watcher.upToDateAt() == TimePoint());
    store.revision = 101;
    context.run_for(Milliseconds(3'000));
    CHECK(lists == 2);
}

} // namespace snipevalve
