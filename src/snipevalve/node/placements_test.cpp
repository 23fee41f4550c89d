#include <catch2/catch.hpp>

#include "snipevalve/node/placements.hpp"

namespace snipevalve {

TEST_CASE("a request that waits for a server is refused when its host is about to end", "[promise-7]")
{
    asio::io_context context;
    const NodeSettings settings;
    Placements placements(context.get_executor(), settings, 1);
    std::optional<DispatchDecision> decision;
    Ticket ticket = 0;
    WorkItem item;
    item.targetBy = Clock::now() + Milliseconds(9'000);
    item.deadline = Clock::now() + Milliseconds(10'000);
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            decision = co_await placements.acquire("service", item, ticket); // waits, as no server is known
        },
        asio::detached);
    context.run_for(Milliseconds(50));
    REQUIRE_FALSE(decision);
    placements.refuseWaiting();
    context.restart();
    context.run_for(Milliseconds(50));
    REQUIRE(decision);
    CHECK(std::get<Rejection>(*decision).reason == RejectReason::Stopping);
}

} // namespace snipevalve
