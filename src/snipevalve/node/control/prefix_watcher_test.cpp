#include <catch2/catch.hpp>

#include "snipevalve/node/control/prefix_watcher.hpp"

namespace snipevalve {

namespace {

/// A store whose outages the test controls.
struct FakeStore
{
    bool isAway = false;
    int lists = 0;

    Awaitable<absl::StatusOr<StoredValue>> read(std::string key)
    {
        co_return StoredValue{key, {}, 0};
    }

    Awaitable<absl::StatusOr<StoredList>> list(std::string)
    {
        ++lists;
        if (isAway) {
            co_return absl::UnavailableError("away");
        }
        co_return StoredList{};
    }

    Awaitable<absl::StatusOr<WriteResult>> write(StoreWrite)
    {
        co_return absl::UnavailableError("not used");
    }

    Awaitable<absl::StatusOr<StoreEvents>> watch(std::string, std::uint64_t, Milliseconds)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor, Milliseconds(10));
        co_await timer.async_wait(asio::use_awaitable);
        if (isAway) {
            co_return absl::UnavailableError("away");
        }
        co_return StoreEvents{};
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
        return 0;
    }

    void observeEra(std::uint64_t)
    {
    }

    void setOnRestored(std::function<void(std::uint64_t)>)
    {
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

} // namespace snipevalve
