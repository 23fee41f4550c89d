#include <catch2/catch.hpp>

#include "snipevalve/net/endpoint.hpp"
#include "snipevalve/node/leader_dispatcher.hpp"
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

/// All hosts have restarted: the leader table still names a leader that knows no configuration, and a seed has just
/// read one from the store.
TEST_CASE("a host that knows no configuration gets it from a seed that leads nothing")
{
    asio::io_context context;
    NodeSettings settings;
    settings.address = "127.0.0.80";
    const Endpoint seed{"127.0.0.81", 19'301};
    const Endpoint staleLeader{"127.0.0.82", 19'301};
    Tcp::acceptor seedAcceptor = listenOn(context.get_executor(), seed);
    Tcp::acceptor leaderAcceptor = listenOn(context.get_executor(), staleLeader);
    LeaderDispatcher seedDesk(context.get_executor(), settings, 1);
    LeaderDispatcher leaderDesk(context.get_executor(), settings, 1);
    asio::co_spawn(context, seedDesk.serve(seedAcceptor), asio::detached);
    asio::co_spawn(context, leaderDesk.serve(leaderAcceptor), asio::detached);
    Placements placements(context.get_executor(), settings, 1);
    std::uint64_t announced = 0;
    placements.onStoreUpdate = [&announced](const StoreUpdate &update) {
        announced = std::max(announced, update.configVersion);
    };
    const auto runBriefly = [&context]() {
        context.restart();
        context.run_for(Milliseconds(150));
    };

    placements.connectToSeeds({seed});
    runBriefly();
    placements.setLeaders({{"service", staleLeader}});
    runBriefly();
    auto config = std::make_shared<GatewayConfig>();
    config->version = 7;
    seedDesk.setConfig(config);
    runBriefly();
    CHECK(announced == 7);

    placements.setConfigKnown();
    runBriefly();
    config = std::make_shared<GatewayConfig>();
    config->version = 8;
    seedDesk.setConfig(config);
    runBriefly();
    CHECK(announced == 7); // the leader is enough

    placements.setLeaders({});
    context.restart();
    context.run_for(Milliseconds(300));
    CHECK(announced == 8); // without leaders, the seeds are needed again
}

/// Hosts restart while the store is away and the leader of before has restarted too; one host still knows the servers.
TEST_CASE("a host that has restarted without the store sends requests to the servers that another host knows")
{
    asio::io_context context;
    NodeSettings settings;
    settings.address = "127.0.0.83";
    const Endpoint survivor{"127.0.0.84", 19'302};
    Tcp::acceptor acceptor = listenOn(context.get_executor(), survivor);
    LeaderDispatcher desk(context.get_executor(), settings, 1); // leads nothing
    Placements known(context.get_executor(), settings, 1);
    desk.onViewsWanted = [&known](const std::vector<std::string> &services, const auto &reply) {
        reply(known.knownViews(services));
    };
    UpstreamServer server;
    server.id = "a";
    server.slots = 2;
    known.setStoreView({"service", false, {server}, {}});
    asio::co_spawn(context, desk.serve(acceptor), asio::detached);
    Placements placements(context.get_executor(), settings, 1);
    placements.setLeaders({{"service", survivor}});
    const auto runBriefly = [&]() {
        for (int step = 0; step < 12; ++step) {
            context.restart();
            context.run_for(Milliseconds(50));
            placements.advance();
            desk.advance();
        }
    };
    runBriefly(); // connects

    std::optional<DispatchDecision> decision;
    Ticket ticket = 0;
    WorkItem item;
    item.targetBy = Clock::now() + Milliseconds(9'000);
    item.deadline = Clock::now() + Milliseconds(10'000);
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            decision = co_await placements.acquire("service", item, ticket);
        },
        asio::detached);
    runBriefly();
    REQUIRE(decision);
    REQUIRE(std::holds_alternative<Placement>(*decision));
    CHECK(std::get<Placement>(*decision).server.id == "a");
    placements.setLeaders({});
    context.restart();
    context.run_for(Milliseconds(50));
}

/// The leader has already placed the request when the host reads from another answer that the server leaves.
TEST_CASE("a permit that is under way when its server says that it leaves is returned", "[promise-6]")
{
    asio::io_context context;
    NodeSettings settings;
    settings.address = "127.0.0.85";
    const Endpoint leader{"127.0.0.86", 19'303};
    Tcp::acceptor acceptor = listenOn(context.get_executor(), leader);
    LeaderDispatcher desk(context.get_executor(), settings, 1);
    UpstreamServer leaving;
    leaving.id = "a";
    leaving.service = "service";
    leaving.slots = 2;
    leaving.incarnation = 1;
    UpstreamServer other = leaving;
    other.id = "b";
    desk.startLeading("service");
    desk.setView({"service", false, {leaving, other}, {}});
    asio::co_spawn(context, desk.serve(acceptor), asio::detached);
    Placements placements(context.get_executor(), settings, 1);
    placements.setLeaders({{"service", leader}});
    const auto runBriefly = [&context]() {
        context.restart();
        context.run_for(Milliseconds(200));
    };
    desk.advance();
    runBriefly(); // connects
    std::optional<DispatchDecision> decision;
    Ticket ticket = 0;
    WorkItem item;
    item.targetBy = Clock::now() + Milliseconds(9'000);
    item.deadline = Clock::now() + Milliseconds(10'000);
    asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
            decision = co_await placements.acquire("service", item, ticket);
        },
        asio::detached);
    asio::post(context, [&]() {
        placements.onServerNotice("service", leaving, {true, Milliseconds(0)});
    });
    runBriefly();
    REQUIRE(decision);
    REQUIRE(std::holds_alternative<Placement>(*decision));
    CHECK(std::get<Placement>(*decision).server.id == "b");
    CHECK(std::get<Placement>(*decision).byLeader);
    REQUIRE(desk.dispatcher("service") != nullptr);
    CHECK(desk.dispatcher("service")->running() == 1);
    CHECK(desk.leavingServers().find({"a", 1}) != nullptr);
    placements.setLeaders({});
    runBriefly();
}

} // namespace snipevalve
