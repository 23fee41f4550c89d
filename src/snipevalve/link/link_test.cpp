#include <atomic>
#include <future>
#include <thread>

#include <catch2/catch.hpp>

#include "snipevalve/link/link.hpp"
#include "snipevalve/link/link_hub.hpp"

namespace snipevalve {

namespace {

const Endpoint RelayEndpoint = {"127.35.0.1", 7100};
const Endpoint UnusedEndpoint = {"127.35.0.1", 7199};

LinkHubOptions makeOptions(const std::string &node)
{
    LinkHubOptions options;
    options.node = node;
    options.role = "entry";
    options.heartbeat = Milliseconds(5);
    return options;
}

Item makeTable(std::uint64_t version)
{
    return {{ItemKind::Table, "ledger/0"}, {1, version}, "payload", false};
}

} // namespace

TEST_CASE("links to a port where nobody listens end without harm at each attempt")
{
    constexpr int Hubs = 8;
    constexpr Milliseconds Period(1500);
    std::vector<std::thread> threads;
    for (int number = 0; number < Hubs; ++number) {
        threads.emplace_back([number, Period]() {
            asio::io_context context(1);
            LinkHub hub(context.get_executor(), makeOptions("node-" + std::to_string(number)));
            hub.setCandidates({UnusedEndpoint, {"127.35.0.2", 7199}}, 1);
            asio::co_spawn(context, hub.run(), asio::detached);
            context.run_for(Period);
            context.stop();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    SUCCEED("no failed attempt has crashed the process");
}

TEST_CASE("items published before a node links up are sent to it, and so are later updates")
{
    asio::io_context context(1);
    LinkHub relay(context.get_executor(), makeOptions("relay"));
    LinkHub node(context.get_executor(), makeOptions("node"));
    relay.publish({makeTable(1)});
    node.setCandidates({UnusedEndpoint, RelayEndpoint}, 1);
    asio::co_spawn(context, node.run(), asio::detached);
    context.run_for(Milliseconds(100));
    relay.listen(RelayEndpoint);
    asio::co_spawn(context, relay.run(), asio::detached);
    const auto waitForVersion = [&](std::uint64_t version) {
        const TimePoint deadline = Clock::now() + Milliseconds(5000);
        while (Clock::now() < deadline) {
            context.run_for(Milliseconds(10));
            const Item *item = node.items().find({ItemKind::Table, "ledger/0"});
            if (item != nullptr && item->version.minor == version) {
                return true;
            }
        }
        return false;
    };
    CHECK(waitForVersion(1));
    relay.publish({makeTable(2)});
    CHECK(waitForVersion(2));
    context.stop();
}

} // namespace snipevalve
