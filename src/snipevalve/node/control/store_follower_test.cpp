#include <catch2/catch.hpp>

#include "snipevalve/node/control/store_follower.hpp"

namespace snipevalve {

namespace {

/// A store that can be away.
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
};

} // namespace

TEST_CASE("the return of the store is told only to those who have followed it all the while")
{
    // A host that was cut off, and was not needed when the way came back, must not take a long past outage as the
    // reason why servers are missing.
    asio::io_context context;
    FakeStore store;
    StoreReach reach;
    bool isWanted = true;
    int returns = 0;
    FollowHandlers handlers;
    handlers.onList = [](const StoredList &) {};
    handlers.onEvent = [](const StoreEvent &) {};
    handlers.onReturn = [&returns](Duration) {
        ++returns;
    };
    handlers.isWanted = [&isWanted]() {
        return isWanted;
    };
    StoreFollower<FakeStore> follower(store, reach, {"servers/"}, handlers);
    asio::co_spawn(context, follower.run(), asio::detached);
    context.run_for(Milliseconds(100));
    CHECK(follower.currentAt() != TimePoint());
    store.isAway = true;
    context.run_for(Milliseconds(400));
    store.isAway = false;
    context.run_for(Milliseconds(1'500));
    CHECK(returns == 1);
    store.isAway = true;
    context.run_for(Milliseconds(400));
    isWanted = false;
    context.run_for(Milliseconds(1'500));
    store.isAway = false;
    isWanted = true;
    const int before = store.lists;
    context.run_for(Milliseconds(1'500));
    CHECK(store.lists > before); // everything is read anew
    CHECK(returns == 1);
}

} // namespace snipevalve
