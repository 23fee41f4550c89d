#include "cases.hpp"

#include <thread>

#include "node.hpp"
#include "server.hpp"

namespace review {

Verdict playLostHistory(Record &record)
{
    constexpr Milliseconds DownTime(4'500); // platform_down: for_s
    constexpr Milliseconds RecoveryTime(15'000); // recovery_s
    constexpr Milliseconds MeasuredTime(10'000);
    const TemporaryFolder folder;
    Store &store = keep<Store>("127.69.9.1");
    store.put("op/config", smallConfig({{"ledger", true}}));
    for (int number = 0; number < 6; ++number) {
        keep<Server>(store, record,
                     Server::Options{.id = "i-ledger-" + std::to_string(number),
                                     .service = "ledger",
                                     .ip = "127.69.9." + std::to_string(10 + number),
                                     .keyed = true});
    }
    Node node(folder, store, {.name = "node-1", .ip = "127.69.1.1"});
    node.start();
    waitUntilServed(node, "/k/");
    std::this_thread::sleep_for(Milliseconds(2'000));
    int before = 0;
    int number = 0;
    for (; number < 20; ++number) {
        before += lookUp(record, node, number) ? 1 : 0;
    }
    if (before < number / 4) {
        throw CouldNotRun("too little is served before the disruption");
    }
    if (hasTrouble()) {
        record.add("store-down leader_of_ledger=" + store.leaderOf("ledger"));
        store.goDown();
        std::this_thread::sleep_for(DownTime);
        store.returnWithoutHistory();
    }
    record.add("store-back leader_of_ledger=" + store.leaderOf("ledger"));
    std::this_thread::sleep_for(RecoveryTime);
    record.add("recovery-over leader_of_ledger=" + store.leaderOf("ledger"));
    int after = 0;
    int sent = 0;
    for (const Milliseconds end = record.now() + MeasuredTime; record.now() < end; ++sent) {
        after += lookUp(record, node, ++number) ? 1 : 0;
        std::this_thread::sleep_for(Milliseconds(100));
    }
    record.add("result served_before=" + std::to_string(before) + "/20 served_after=" + std::to_string(after) + "/"
               + std::to_string(sent));
    if (!node.isRunning()) {
        throw CouldNotRun("the node has ended");
    }
    return after * 4 < sent ? Verdict::Broken : Verdict::Held;
}

} // namespace review
