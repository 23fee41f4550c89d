#include <catch2/catch.hpp>

#include <deque>

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

namespace {

/// A host that is connected to the leader of a service with the servers a and b; a owns the keys if it is keyed.
class LedHost
{
public:
    explicit LedHost(bool keyed)
        : m_keyed(keyed)
        , m_acceptor(listenOn(m_context.get_executor(), Leader))
        , desk(m_context.get_executor(), settings(), 1)
        , placements(m_context.get_executor(), settings(), 1)
    {
        desk.startLeading("service");
        desk.setView(view());
        asio::co_spawn(m_context, desk.serve(m_acceptor), asio::detached);
        connect();
    }

    ~LedHost()
    {
        placements.setLeaders({});
        runFor(Milliseconds(50));
    }

    /// @param owner of all keys
    /// @param start of server a
    ServiceView view(const std::string &owner = "a", std::int64_t start = 1) const
    {
        return {"service", m_keyed, {server("a", start), server("b")}, KeyOwners({{{0, 65'535}, owner}})};
    }

    static UpstreamServer server(const std::string &id, std::int64_t start = 1)
    {
        UpstreamServer entry;
        entry.id = id;
        entry.service = "service";
        entry.zone = id;
        entry.slots = 2;
        entry.incarnation = start;
        return entry;
    }

    void runFor(Milliseconds time)
    {
        m_context.restart();
        m_context.run_for(time);
    }

    /// Names the leader to the host, which connects to it.
    void connect()
    {
        placements.setLeaders({{"service", Leader}});
        desk.advance();
        runFor(Milliseconds(200));
    }

    /// From then on the host acts alone.
    void disconnect()
    {
        placements.setLeaders({});
        placements.setStoreView(view());
        runFor(Milliseconds(50));
    }

    /// Sends as many requests of a pool as its servers have slots. @return the servers that they are placed on
    std::set<std::string> probe()
    {
        constexpr std::size_t Slots = 4;
        std::set<std::string> used;
        Probe &probe = m_probes.emplace_back();
        probe.tickets.resize(Slots);
        for (Ticket &ticket : probe.tickets) {
            const WorkItem item = itemFor(Milliseconds(9'000));
            asio::co_spawn(
                m_context,
                [this, item, &probe, &ticket]() -> Awaitable<void> {
                    const DispatchDecision placed = co_await placements.acquire("service", item, ticket);
                    const auto *placement = std::get_if<Placement>(&placed);
                    probe.used.insert(placement == nullptr ? "none" : placement->server.id);
                    if (probe.isOver && placement != nullptr) {
                        placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
                    }
                },
                asio::detached);
        }
        runFor(Milliseconds(60));
        probe.isOver = true;
        used = probe.used;
        for (const Ticket ticket : probe.tickets) {
            placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
        }
        advance();
        return used;
    }

    /// Sends requests that take all slots of server a, or of both servers of a pool, and the places behind them.
    void fillSlots()
    {
        constexpr int ServerSlots = 3; // with the one that waits at the server
        const int count = m_keyed ? ServerSlots : 2 * ServerSlots;
        for (int index = 0; index < count; ++index) {
            Ticket &ticket = m_fillers.emplace_back();
            const WorkItem item = itemFor(Milliseconds(20'000));
            asio::co_spawn(
                m_context,
                [this, item, &ticket]() -> Awaitable<void> {
                    const DispatchDecision filler = co_await placements.acquire("service", item, ticket);
                    if (m_isOpen && std::holds_alternative<Placement>(filler)) {
                        placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
                    }
                },
                asio::detached);
        }
        runFor(Milliseconds(100));
    }

    /// Ends the requests of fillSlots(); those that still wait end as soon as they are placed.
    void freeSlots()
    {
        m_isOpen = true;
        for (const Ticket ticket : m_fillers) {
            placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
        }
    }

    /// Runs what depends on time, as the traffic thread does.
    void advance()
    {
        placements.advance();
        desk.advance();
        runFor(Milliseconds(50));
    }

    void request(std::optional<std::uint16_t> key, Milliseconds deadline)
    {
        WorkItem item = itemFor(deadline);
        item.key = key;
        asio::co_spawn(
            m_context,
            [this, item]() -> Awaitable<void> {
                decision = co_await placements.acquire("service", item, m_ticket);
            },
            asio::detached);
    }

    /// Asks for another attempt of this many requests, each of which ends as soon as it is sent.
    void repeat(int count)
    {
        for (int index = 0; index < count; ++index) {
            Ticket &ticket = m_repeats.emplace_back();
            WorkItem item = itemFor(Milliseconds(9'000));
            item.repeat = true;
            asio::co_spawn(
                m_context,
                [this, item, &ticket]() -> Awaitable<void> {
                    const DispatchDecision end = co_await placements.acquire("service", item, ticket);
                    if (const auto *rejection = std::get_if<Rejection>(&end)) {
                        refusals.push_back(rejection->reason);
                        co_return;
                    }
                    ++sentAgain;
                    placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
                },
                asio::detached);
        }
    }

    /// Delivers the notice after the request has been sent to the leader and before its permit arrives.
    void deliver(const std::string &id, ServerNotice notice)
    {
        asio::post(m_context, [this, id, notice]() {
            placements.onServerNotice("service", server(id), notice);
        });
    }

    /// Passes the evacuations to the host after the request has been sent to the leader, which does not know them.
    void evacuate(const Evacuations &evacuations)
    {
        asio::post(m_context, [this, evacuations]() {
            placements.setEvacuations(evacuations);
        });
    }

private:
    static constexpr const char *HostAddress = "127.0.0.85";
    static inline const Endpoint Leader{"127.0.0.86", 19'303};

    static const NodeSettings &settings()
    {
        static const NodeSettings settings = []() {
            NodeSettings result;
            result.address = HostAddress;
            result.retrySlack = 10; // six for the leader
            return result;
        }();
        return settings;
    }

    WorkItem itemFor(Milliseconds deadline) const
    {
        WorkItem item;
        item.key = m_keyed ? std::optional<std::uint16_t>(7) : std::nullopt;
        item.targetBy = Clock::now() + deadline;
        item.deadline = Clock::now() + deadline;
        return item;
    }

    struct Probe
    {
        std::vector<Ticket> tickets;
        std::set<std::string> used;
        bool isOver = false; ///< its other requests end at once
    };

    asio::io_context m_context;
    bool m_keyed;
    bool m_isOpen = false; ///< fillers end at once
    Tcp::acceptor m_acceptor;
    Ticket m_ticket = 0;
    std::deque<Ticket> m_fillers;
    std::deque<Probe> m_probes;
    std::deque<Ticket> m_repeats;

public:
    LeaderDispatcher desk;
    Placements placements;
    std::optional<DispatchDecision> decision;
    int sentAgain = 0; ///< of the requests of repeat()
    std::vector<RejectReason> refusals; ///< of the requests of repeat()
};

} // namespace

TEST_CASE("a permit that is under way when its server leaves or asks for a pause is returned", "[promise-6]")
{
    struct Case
    {
        std::string name;
        bool keyed;
        ServerNotice notice; ///< of server a, which the leader chooses first
        Milliseconds deadline; ///< of the request
        std::string placedOn; ///< shortly afterwards; empty when nowhere
        bool isRejected;
        std::string placedLater; ///< after the pause
    };
    constexpr Milliseconds Pause(800);
    constexpr Milliseconds Long(9'000);
    constexpr Milliseconds Short(500);
    const std::vector<Case> cases = {
        {"no notice", false, {}, Long, "a", false, "a"},
        {"the server leaves", false, {true, Milliseconds(0)}, Long, "b", false, "b"},
        {"a server of a pool pauses", false, {false, Pause}, Long, "b", false, "b"},
        {"a key's owner pauses and the caller can wait", true, {false, Pause}, Long, "", false, "a"},
        {"a key's owner pauses for too long", true, {false, Pause}, Short, "", true, ""},
        {"a key's owner leaves", true, {true, Milliseconds(0)}, Long, "", false, ""},
        {"a key's owner pauses and leaves", true, {true, Pause}, Long, "", false, ""},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(each.keyed);
        host.request(each.keyed ? std::optional<std::uint16_t>(7) : std::nullopt, each.deadline);
        host.deliver("a", each.notice);
        host.runFor(Milliseconds(200));
        const auto placedOn = [&host]() {
            const auto *placement = host.decision ? std::get_if<Placement>(&*host.decision) : nullptr;
            return placement == nullptr ? std::string() : placement->server.id;
        };
        const auto *rejection = host.decision ? std::get_if<Rejection>(&*host.decision) : nullptr;
        CHECK(placedOn() == each.placedOn);
        CHECK((rejection != nullptr) == each.isRejected);
        if (rejection != nullptr) {
            CHECK(rejection->reason == RejectReason::Paused);
            CHECK(rejection->retryAfter > Milliseconds(500));
        }
        REQUIRE(host.desk.dispatcher("service") != nullptr);
        CHECK(host.desk.dispatcher("service")->running() == (each.placedOn.empty() ? 0 : 1));
        host.runFor(Milliseconds(1'000));
        CHECK(placedOn() == each.placedLater);
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

TEST_CASE("a permit that is under way when its zone is evacuated is returned, though the leader does not know it yet")
{
    constexpr Milliseconds Long(9'000);
    const auto placedOn = [](const LedHost &host) {
        const auto *placement = host.decision ? std::get_if<Placement>(&*host.decision) : nullptr;
        return placement == nullptr ? std::string() : placement->server.id;
    };
    for (const bool keyed : {false, true}) {
        INFO("keyed " << keyed);
        LedHost host(keyed);
        host.request(keyed ? std::optional<std::uint16_t>(7) : std::nullopt, Long);
        host.evacuate({1, 5, {"a"}});
        host.runFor(Milliseconds(200));
        CHECK(placedOn(host) == (keyed ? "" : "b"));
        CHECK(host.desk.dispatcher("service")->running() <= 1); // the returned permits hold no slots
        host.desk.setView(host.view("b")); // the key has moved
        host.runFor(Milliseconds(200));
        CHECK(placedOn(host) == "b");
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
    SECTION("a key that does not move in time")
    {
        LedHost host(true);
        host.request(std::uint16_t(7), Milliseconds(400));
        host.evacuate({1, 5, {"a"}});
        host.runFor(Milliseconds(600));
        REQUIRE(host.decision);
        CHECK(std::holds_alternative<Rejection>(*host.decision));
        CHECK(host.desk.dispatcher("service")->running() == 0);
    }
}

TEST_CASE("a host applies evacuations to each view by itself, with and without a leader")
{
    using Servers = std::set<std::string>;
    const Servers both = {"a", "b"};
    struct Case
    {
        std::string name;
        std::set<std::string> zones;
        Servers used;
    };
    const std::vector<Case> cases = {{"one zone", {"a"}, {"b"}},
                                     {"an unknown zone", {"x"}, both},
                                     {"all zones, which leaves no server", {"a", "b"}, both}};
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(false);
        REQUIRE(host.probe() == both);
        host.desk.setEvacuations({1, 5, each.zones}); // told to all hosts; the view has no marks yet
        host.runFor(Milliseconds(50));
        CHECK(host.probe() == each.used);
        host.disconnect();
        CHECK(host.probe() == each.used);
        host.placements.setEvacuations({1, 4, {}}); // older
        CHECK(host.probe() == each.used);
        host.placements.setEvacuations({1, 6, {}});
        CHECK(host.probe() == both);
    }
}

TEST_CASE("a host that has restarted knows the evacuations before it uses a server")
{
    // The first frame of any host that it connects to names them.
    LedHost host(false);
    host.desk.setEvacuations({1, 5, {"b"}});
    host.placements.setLeaders({});
    host.runFor(Milliseconds(50));
    std::optional<Evacuations> told;
    host.placements.onStoreUpdate = [&told](const StoreUpdate &update) {
        told = update.evacuations ? update.evacuations : told;
    };
    host.connect();
    REQUIRE(told);
    CHECK(*told == Evacuations{1, 5, {"b"}});
    CHECK(host.probe() == std::set<std::string>{"a"});
}

TEST_CASE("a request that is queued when its servers ask for a pause is refused at once or waits", "[promise-3]")
{
    struct Case
    {
        std::string name;
        bool isKeyed;
        bool isLed; ///< false: the host acts alone
        std::vector<std::string> pausing;
        Milliseconds deadline; ///< of the request
        bool isRefused;
        std::size_t queuedAtLeader; ///< after the notice
    };
    constexpr Milliseconds Pause(1'200);
    constexpr Milliseconds Long(9'000);
    constexpr Milliseconds Short(1'000);
    const std::vector<Case> cases = {
        {"a key, too late after the pause", true, true, {"a"}, Short, true, 0},
        {"a key, in time after the pause", true, true, {"a"}, Long, false, 0},
        {"a key, too late after the pause, without a leader", true, false, {"a"}, Short, true, 0},
        {"a key, in time after the pause, without a leader", true, false, {"a"}, Long, false, 0},
        {"a key of another server", true, true, {"b"}, Short, false, 1},
        {"a pool with another server", false, true, {"a"}, Short, false, 1},
        {"a pool, too late after its pause", false, true, {"a", "b"}, Short, true, 0},
        {"a pool, too late after its pause, without a leader", false, false, {"a", "b"}, Short, true, 0},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(each.isKeyed);
        if (!each.isLed) {
            host.disconnect();
        }
        host.fillSlots();
        host.request(each.isKeyed ? std::optional<std::uint16_t>(7) : std::nullopt, each.deadline);
        host.runFor(Milliseconds(50));
        REQUIRE_FALSE(host.decision);
        const TimePoint end = Clock::now() + Pause;
        for (const std::string &id : each.pausing) {
            host.placements.onServerNotice("service", LedHost::server(id), {false, Pause});
        }
        host.advance();
        const auto *rejection = host.decision ? std::get_if<Rejection>(&*host.decision) : nullptr;
        CHECK((rejection != nullptr) == each.isRefused);
        if (rejection != nullptr) {
            CHECK(rejection->reason == RejectReason::Paused);
            CHECK(Clock::now() + rejection->retryAfter > end);
        }
        const Dispatcher *dispatcher = host.desk.dispatcher("service");
        REQUIRE(dispatcher != nullptr);
        if (each.isLed) {
            CHECK(dispatcher->waiting() == each.queuedAtLeader);
        }
        host.freeSlots();
        while (Clock::now() < end) {
            const bool isEarly =
                !each.isRefused && each.pausing.front() == "a" && each.isKeyed && host.decision.has_value();
            REQUIRE_FALSE(isEarly);
            host.advance();
        }
        for (int step = 0; step < 10; ++step) {
            host.advance();
        }
        CHECK((host.decision && std::holds_alternative<Placement>(*host.decision)) != each.isRefused);
        CHECK(dispatcher->running() == (each.isLed && !each.isRefused ? 1 : 0)); // no slot is lost
        CHECK(dispatcher->waiting() == 0);
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

TEST_CASE("a request that waits for the end of a pause is considered anew when the pause or the servers change",
          "[promise-3]")
{
    struct Case
    {
        std::string name;
        Milliseconds secondPause; ///< zero: none
        std::string owner; ///< of the key, after a while
        std::string result; ///< shortly afterwards: the server, `refused` or `waits`
    };
    constexpr Milliseconds Pause(1'000);
    constexpr Milliseconds Deadline(3'000);
    const std::vector<Case> cases = {
        {"nothing changes", Milliseconds(0), "a", "waits"},
        {"the pause grows, and the request can still outlast it", Milliseconds(2'000), "a", "waits"},
        {"the pause grows beyond the request's time", Milliseconds(3'000), "a", "refused"},
        {"the key moves", Milliseconds(0), "b", "b"},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(true);
        host.disconnect();
        host.placements.onServerNotice("service", LedHost::server("a"), {false, Pause});
        host.request(7, Deadline);
        host.advance();
        REQUIRE_FALSE(host.decision);
        host.placements.onServerNotice("service", LedHost::server("a"), {false, each.secondPause});
        host.placements.setStoreView(host.view(each.owner));
        host.advance();
        const auto *placement = host.decision ? std::get_if<Placement>(&*host.decision) : nullptr;
        const std::string result = placement != nullptr ? placement->server.id : host.decision ? "refused" : "waits";
        CHECK(result == each.result);
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

TEST_CASE("what a server has said holds through all that happens meanwhile", "[promise-6]")
{
    enum class Event {
        Pause,
        ShortPause,
        Success,
        Leave,
        Back,
        LoseLeader,
        RegainLeader,
        Relay,
        RelayLeaving,
        StoreBack
    };
    constexpr Milliseconds PauseTime(1'000);
    constexpr Milliseconds ShortPauseTime(50);
    struct Case
    {
        std::string name;
        std::vector<Event> events; ///< of server a
        bool isUsed; ///< server a, before the end of a pause
        bool isUsedLater; ///< after it
    };
    using enum Event;
    const std::vector<Case> cases = {
        {"nothing happens", {}, true, true},
        {"a pause", {Pause}, false, true},
        {"a pause while a request is under way, which succeeds", {Pause, Success}, false, true},
        {"a second and shorter pause during a first", {Pause, ShortPause}, false, true},
        {"a pause on a server that then leaves", {Pause, Leave}, false, false},
        {"a server that leaves and then asks for a pause", {Leave, Pause}, false, false},
        {"an answer without the notice after one with it", {Leave, Success}, false, false},
        {"leaving and back with a new start", {Leave, Back}, true, true},
        {"leaving, and a late answer of the earlier start", {Leave, Back, Leave}, true, true},
        {"a pause, leaving and back with a new start", {Pause, Leave, Back}, false, true},
        {"the leader is lost during a pause", {Pause, LoseLeader}, false, true},
        {"the leader is lost after a departure", {Leave, LoseLeader}, false, false},
        {"a pause without a leader, which comes back", {LoseLeader, Pause, RegainLeader}, false, true},
        {"a departure without a leader, which comes back", {LoseLeader, Leave, RegainLeader}, false, false},
        {"another host's view during a pause", {Pause, LoseLeader, Relay}, false, true},
        {"another host's view after a departure", {Leave, LoseLeader, Relay}, false, false},
        {"another host's view tells a departure", {LoseLeader, RelayLeaving}, false, false},
        {"another host's view tells a departure, and the store says ready",
         {LoseLeader, RelayLeaving, StoreBack},
         false,
         false},
        {"the store comes back during a pause", {Pause, LoseLeader, StoreBack}, false, true},
        {"the store comes back after a departure", {Leave, LoseLeader, StoreBack}, false, false},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(false);
        const auto notify = [&host](ServerNotice notice) {
            host.placements.onServerNotice("service", LedHost::server("a"), notice);
        };
        TimePoint end; // of the pause
        for (const Event event : each.events) {
            switch (event) {
            case Pause:
                notify({false, PauseTime});
                end = Clock::now() + PauseTime;
                break;
            case ShortPause:
                notify({false, ShortPauseTime});
                host.runFor(2 * ShortPauseTime);
                break;
            case Success:
                notify({});
                break;
            case Leave:
                notify({true, Milliseconds(0)});
                break;
            case Back:
                host.desk.setView(host.view("", 2));
                break;
            case LoseLeader:
                host.placements.setLeaders({});
                break;
            case RegainLeader:
                host.connect();
                break;
            case Relay:
                host.placements.adoptView({host.view(), Milliseconds(0)});
                break;
            case RelayLeaving: {
                ServiceView view = host.view();
                view.servers.front().draining = true;
                host.placements.adoptView({view, Milliseconds(0)});
                break;
            }
            case StoreBack:
                host.placements.setStoreView(host.view()); // an older copy: the entry is ready
                break;
            }
            host.advance();
        }
        CHECK(host.probe().contains("a") == each.isUsed);
        while (Clock::now() < end) {
            host.advance();
        }
        const std::set<std::string> used = host.probe();
        CHECK(used.contains("a") == each.isUsedLater);
        CHECK(used.contains("b"));
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

TEST_CASE("what a host knows of leaving servers reaches later leaders and the hosts that ask it for views",
          "[promise-6]")
{
    struct Case
    {
        std::string name;
        std::int64_t listedStart; ///< of the server in the view that is set after the notice
        bool isLeaving;
    };
    const std::vector<Case> cases = {{"the same start", 1, true}, {"a later start", 2, false}};
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(false);
        host.desk.stopLeading("service");
        host.runFor(Milliseconds(100));
        host.placements.onServerNotice("service", LedHost::server("a"), {true, Milliseconds(0)}); // nobody leads
        UpstreamServer listed = LedHost::server("a");
        listed.incarnation = each.listedStart;
        host.placements.setLeaders({});
        host.placements.setStoreView({"service", false, {listed}, {}}); // the entry still says `ready`
        const std::vector<KnownView> relayed = host.placements.knownViews({"service"});
        REQUIRE(relayed.size() == 1);
        REQUIRE(relayed.front().view.servers.size() == 1);
        CHECK(relayed.front().view.servers.front().draining == each.isLeaving);

        host.request(std::nullopt, Milliseconds(9'000)); // the host is alone
        host.runFor(Milliseconds(100));
        CHECK(host.decision.has_value() != each.isLeaving);
        host.placements.refuseWaiting();

        host.desk.startLeading("service");
        host.desk.setView({"service", false, {listed}, {}});
        host.connect();
        host.request(std::nullopt, Milliseconds(9'000));
        host.decision.reset();
        host.runFor(Milliseconds(100));
        CHECK(host.desk.leavingServers().find({"a", 1}) != nullptr);
        CHECK(host.decision.has_value() != each.isLeaving);
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

/// The caller would get a failure, although a server may be at work on the attempt that has timed out.
TEST_CASE("a request whose next attempt has not been sent when its leader resigns gets it", "[promise-7]")
{
    struct Case
    {
        std::string name;
        bool isKeyed;
        bool isQueued; ///< at the leader when it resigns; false: the request for a permit is still under way
        int repeats;
        int sent; ///< the leader's budget holds for those that it hands back
    };
    const std::vector<Case> cases = {
        {"a key, queued", true, true, 1, 1},
        {"a pool, queued", false, true, 1, 1},
        {"a key, asked for as the leader resigns", true, false, 1, 1},
        {"a pool, asked for as the leader resigns", false, false, 1, 1},
        {"more than the budget allows, queued", true, true, 9, 6},
        {"more than the budget allows, asked for as the leader resigns", true, false, 9, 6},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        LedHost host(each.isKeyed);
        host.fillSlots();
        host.repeat(each.repeats);
        if (each.isQueued) {
            host.runFor(Milliseconds(50));
        }
        REQUIRE(host.sentAgain == 0);
        host.desk.stopLeading("service");
        for (int step = 0; step < 4; ++step) {
            host.advance();
        }
        CHECK(host.sentAgain == each.sent);
        CHECK(host.refusals == std::vector<RejectReason>(each.repeats - each.sent, RejectReason::RetryBudget));
        host.freeSlots();
        host.placements.refuseWaiting();
        host.runFor(Milliseconds(50));
    }
}

TEST_CASE("requests that wait for the end of a pause come back spread", "[promise-3]")
{
    asio::io_context context;
    const NodeSettings settings;
    Placements placements(context.get_executor(), settings, 1);
    placements.setStoreView({"service", false, {LedHost::server("a")}, {}}); // this host is alone
    constexpr Milliseconds Pause(800);
    constexpr int Requests = 200;
    placements.onServerNotice("service", LedHost::server("a"), {false, Pause});
    const TimePoint end = Clock::now() + Pause;
    std::vector<Ticket> tickets(Requests);
    std::vector<TimePoint> placedAt;
    for (Ticket &ticket : tickets) {
        WorkItem item;
        item.targetBy = end + Milliseconds(5'000);
        item.deadline = end + Milliseconds(5'000);
        asio::co_spawn(
            context,
            [&placements, &placedAt, &ticket, item]() -> Awaitable<void> {
                const DispatchDecision decision = co_await placements.acquire("service", item, ticket);
                if (std::holds_alternative<Placement>(decision)) {
                    placedAt.push_back(Clock::now());
                    placements.finish(ticket, WorkEnd::Done, Milliseconds(1));
                }
            },
            asio::detached);
    }
    context.run_for(Pause + Milliseconds(400));
    REQUIRE(placedAt.size() == Requests);
    std::sort(placedAt.begin(), placedAt.end());
    CHECK(placedAt.front() >= end);
    const auto halfTime = end + Pause / 8; // the spread is a quarter of the pause
    const auto early = std::lower_bound(placedAt.begin(), placedAt.end(), halfTime) - placedAt.begin();
    CHECK(early > Requests / 4);
    CHECK(early < Requests * 3 / 4);
}

} // namespace snipevalve
