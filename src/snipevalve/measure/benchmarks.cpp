#include "snipevalve/measure/benchmarks.hpp"

#include <sys/resource.h>

#include <deque>
#include <memory>
#include <random>

#include <spdlog/spdlog.h>

#include "snipevalve/entry/routing_state.hpp"
#include "snipevalve/link/link_hub.hpp"
#include "snipevalve/placement/group_authority.hpp"
#include "snipevalve/routing/slot_load.hpp"

namespace snipevalve {

namespace {

constexpr int Repetitions = 20;

/// @return the mean wall-clock time of one call of `work`, in `Unit`
template <typename Unit, typename Work>
double averageTime(int repetitions, Work work)
{
    const TimePoint begin = Clock::now();
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        work();
    }
    return std::chrono::duration<double, typename Unit::period>(Clock::now() - begin).count() / repetitions;
}

/// @return the user and system CPU time that this process has used
std::chrono::duration<double, std::micro> cpuTime()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto toMicros = [](const timeval &time) {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return toMicros(usage.ru_utime) + toMicros(usage.ru_stime);
}

std::string serverName(std::size_t index)
{
    return "server-" + std::to_string(index);
}

/// @return a slot table whose slots are assigned round-robin to 64 servers
SlotTable makeTable(std::size_t slots)
{
    constexpr std::size_t Servers = 64;
    SlotTable table;
    table.group = {"ledger", 0};
    table.version = {1, 1};
    table.leader = "host-1";
    for (std::size_t server = 0; server < Servers; ++server) {
        table.servers.push_back(serverName(server));
    }
    for (std::size_t slot = 0; slot < slots; ++slot) {
        table.owners.push_back(static_cast<ServerIndex>(slot % Servers));
    }
    return table;
}

Item makeResourceItem(const Resource &resource, std::uint64_t revision)
{
    return {{ItemKind::Resource, pathOf(resource)}, {revision, 0}, toJson(resource), false};
}

RoutingBuilder makeRoutingBuilder(std::size_t servers, std::uint32_t slots)
{
    RoutingBuilder builder;
    builder.apply(makeResourceItem(Service{"ledger", "t", ServiceMode::Keyed, 1, slots, true}, 1));
    Route route;
    route.name = "ledger";
    route.pathPrefix = "/ledger/";
    route.service = "ledger";
    builder.apply(makeResourceItem(route, 2));
    for (std::size_t index = 0; index < servers; ++index) {
        Server server;
        server.name = serverName(index);
        server.service = "ledger";
        server.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
        builder.apply(makeResourceItem(server, index + 3));
    }
    Item table;
    table.key = {ItemKind::Table, "ledger/0"};
    table.version = {1, 1};
    table.payload = encodeTable(makeTable(slots));
    builder.apply(table);
    return builder;
}

double tableBytes(double slots)
{
    return static_cast<double>(encodeTable(makeTable(static_cast<std::size_t>(slots))).size());
}

double tableDecodeTime(double slots)
{
    const std::string payload = encodeTable(makeTable(static_cast<std::size_t>(slots)));
    return averageTime<std::chrono::microseconds>(Repetitions, [&]() {
        decodeTable(payload);
    });
}

double keyLookupTime(double slots)
{
    constexpr int Lookups = 200'000;
    const auto state = makeRoutingBuilder(64, static_cast<std::uint32_t>(slots)).build();
    std::vector<std::string> keys;
    for (int key = 0; key < 1000; ++key) {
        keys.push_back("key-" + std::to_string(key));
    }
    std::size_t nextKey = 0;
    std::size_t found = 0;
    const double time = averageTime<std::chrono::nanoseconds>(Lookups, [&]() {
        const Route *route = state->routeFor("/ledger/key");
        const ServiceRouting *service = state->service(route->service);
        const KeyPlace place = placeOf(keys[nextKey++ % keys.size()], service->service.groups, service->service.slots);
        found += service->groups[place.group]->owners[place.slot];
    });
    return found == 0 ? 0 : time;
}

double routingBuildTime(double servers)
{
    const RoutingBuilder builder = makeRoutingBuilder(static_cast<std::size_t>(servers), 4096);
    return averageTime<std::chrono::microseconds>(Repetitions, [&]() {
        builder.build();
    });
}

double grantOrderBytes(double slots)
{
    // Slots that are not adjacent, as after many moves, give the longest encoding of an order.
    GrantOrder order;
    order.group = {"ledger", 0};
    for (std::uint32_t slot = 0; slot < static_cast<std::uint32_t>(slots); ++slot) {
        order.slots.push_back(slot * 64);
    }
    return static_cast<double>(toJson(order).size());
}

double planBytes(double slots)
{
    const SlotTable table = makeTable(static_cast<std::size_t>(slots));
    GroupPlan plan;
    plan.servers = table.servers;
    plan.witnesses = table.servers;
    plan.targets = table.owners;
    return static_cast<double>(toJson(plan).size());
}

/// Runs the authority of a group whose servers answer immediately, in virtual time.
/// @return the CPU time per second of leadership, including encoding and parsing the messages
double groupLeaderCpuTime(double servers)
{
    constexpr int SimulatedSeconds = 20;
    constexpr int TickMs = 20;
    constexpr std::uint32_t SlotsPerServer = 64;
    const auto count = static_cast<std::size_t>(servers);
    GroupAuthority authority({"ledger", 0}, GroupPlan(), static_cast<std::uint32_t>(count) * SlotsPerServer,
                             AuthorityTimes(), TimePoint());
    std::map<std::string, std::vector<std::uint32_t>> heldSlots;
    std::deque<AuthorityAction> pendingActions;
    const auto enqueue = [&](std::vector<AuthorityAction> actions) {
        std::move(actions.begin(), actions.end(), std::back_inserter(pendingActions));
    };
    const auto runPendingActions = [&](TimePoint now) {
        while (!pendingActions.empty()) {
            const AuthorityAction action = std::move(pendingActions.front());
            pendingActions.pop_front();
            if (const auto *send = std::get_if<SendOrder>(&action)) {
                const auto order = parseGrantOrder(toJson(send->order));
                if (!order->probe) {
                    heldSlots[send->server] = order->slots;
                }
                const GrantAnswer answer{true, order->token, ServerClock(1), heldSlots[send->server]};
                enqueue(authority.onAnswer(send->server, order->token, *parseGrantAnswer(toJson(answer)), now));
            } else if (const auto *write = std::get_if<WritePlan>(&action)) {
                enqueue(authority.onPlanWritten(write->plan.version, now));
            }
        }
    };
    std::vector<GroupMember> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back({serverName(index), false});
    }
    enqueue(authority.onMembers(members, TimePoint()));
    runPendingActions(TimePoint());
    const auto begin = cpuTime();
    for (int ms = 0; ms < SimulatedSeconds * 1000; ms += TickMs) {
        const TimePoint now = TimePoint(Milliseconds(ms));
        enqueue(authority.onTick(now));
        runPendingActions(now);
    }
    return (cpuTime() - begin).count() / SimulatedSeconds;
}

/// Opens links to one hub over gRPC on the loopback interface and keeps them idle.
/// @return the CPU time of both ends per second of heartbeats
double idleLinksCpuTime(double links)
{
    constexpr std::uint16_t Port = 17100;
    constexpr std::chrono::seconds ConnectTime(1);
    constexpr std::chrono::seconds Period(3);
    spdlog::set_level(spdlog::level::warn);
    asio::io_context context(1);
    LinkHubOptions options;
    options.node = "relay";
    options.role = "relay";
    LinkHub relay(context.get_executor(), options);
    relay.listen({"127.0.0.1", Port});
    asio::co_spawn(context, relay.run(), asio::detached);
    std::deque<LinkHub> clients;
    for (int index = 0; index < static_cast<int>(links); ++index) {
        options.node = "node-" + std::to_string(index);
        options.role = "entry";
        clients.emplace_back(context.get_executor(), options);
        clients.back().setCandidates({{"127.0.0.1", Port}}, 1);
        asio::co_spawn(context, clients.back().run(), asio::detached);
    }
    context.run_for(ConnectTime);
    const auto begin = cpuTime();
    context.run_for(Period);
    const auto used = cpuTime() - begin;
    context.stop();
    return used.count() / static_cast<double>(Period.count());
}

double loadReportBytes(double slots)
{
    return static_cast<double>(encodeSlotCounts(std::vector<std::uint32_t>(static_cast<std::size_t>(slots))).size());
}

/// @return the time to accept one change and to decide for each link whether to send it there
double changePropagationTime(double links)
{
    ItemExchange exchange;
    for (std::uint64_t stream = 1; stream <= static_cast<std::uint64_t>(links); ++stream) {
        exchange.onOpened(stream, LinkDirection::Incoming, "entry", {});
    }
    Route route;
    route.name = "ledger";
    std::uint64_t revision = 0;
    return averageTime<std::chrono::microseconds>(Repetitions * 10, [&]() {
        exchange.add({makeResourceItem(route, ++revision)});
    });
}

} // namespace

const std::vector<Benchmark> &benchmarks()
{
    static const std::vector<Benchmark> all = {
        {"table bytes", "slots", "B", {1024, 4096, 16384}, tableBytes},
        {"table decode", "slots", "us", {1024, 4096, 16384}, tableDecodeTime},
        {"lookup of a key", "slots", "ns", {1024, 4096, 16384}, keyLookupTime},
        {"routing build", "servers", "us", {64, 256, 1024}, routingBuildTime},
        {"grant order bytes", "slots of the server", "B", {16, 64, 256}, grantOrderBytes},
        {"plan bytes", "slots", "B", {1024, 4096, 16384}, planBytes},
        {"leading a group", "servers", "us/s", {8, 16, 32, 64}, groupLeaderCpuTime},
        {"keeping links (both ends)", "links", "us/s", {10, 40, 120}, idleLinksCpuTime},
        {"spreading a change", "links", "us", {10, 50, 200}, changePropagationTime},
        {"load report bytes", "slots", "B", {1024, 4096, 16384}, loadReportBytes},
    };
    return all;
}

} // namespace snipevalve
