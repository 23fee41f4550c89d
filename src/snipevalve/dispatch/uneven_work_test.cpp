#include <catch2/catch.hpp>

#include "snipevalve/dispatch/remaining_work.hpp"
#include "virtual_servers.hpp"

namespace snipevalve {

namespace {

using testing::VirtualRegion;
using testing::VirtualServer;
using Request = VirtualRegion::Request;

const TimePoint Start = VirtualRegion::Start;

std::vector<VirtualServer> evenServers(int count)
{
    std::vector<VirtualServer> servers(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at) {
        servers[static_cast<std::size_t>(at)].entry.id = "s" + std::to_string(at);
        servers[static_cast<std::size_t>(at)].entry.slots = 4;
    }
    return servers;
}

bool isHeavyKey(std::uint16_t key)
{
    return key % 10 == 0;
}

/// Alike requests of which one key in ten costs 20 times as much.
/// @param tellKey whether the dispatcher is told the keys
std::function<Request(TimePoint)> unevenRequests(std::mt19937_64 &random, bool tellKey)
{
    return [&random, tellKey](TimePoint now) {
        const auto key = static_cast<std::uint16_t>(random() % 200);
        const double noise = std::lognormal_distribution<double>(-0.02, 0.2)(random);
        Request request;
        request.work = Seconds((isHeavyKey(key) ? 0.6 : 0.03) * noise);
        if (tellKey) {
            request.item.key = key;
        }
        request.item.targetBy = now + Milliseconds(900);
        request.item.deadline = now + Milliseconds(2'000);
        return request;
    };
}

} // namespace

TEST_CASE("what a server still has to do is counted from the requests that run and wait there")
{
    RemainingWork work;
    CHECK_FALSE(work.untilSlot(2, Start));
    work.add(1, Seconds(0.8), true, Start);
    CHECK_FALSE(work.untilSlot(2, Start));
    work.add(2, Seconds(0.2), true, Start);
    const TimePoint later = Start + Milliseconds(100);
    CHECK(work.untilSlot(2, later)->count() == Approx(0.1));
    work.add(3, Seconds(0.3), false, later);
    CHECK(work.untilSlot(2, later)->count() == Approx(0.4)); // the waiting one gets the slot of the second first
    const TimePoint overdue = Start + Milliseconds(1'000);
    CHECK(work.untilSlot(2, overdue)->count() > 0.1); // long runners may run on
    work.remove(2);
    work.start(3, overdue);
    CHECK(work.untilSlot(2, overdue)->count() == Approx(0.8 * 0.15));
    work.remove(1);
    work.remove(1);
    CHECK_FALSE(work.untilSlot(2, overdue));
}

TEST_CASE("cheap requests are served in time among others that cost 20 times as much")
{
    // Load pattern: alike requests whose cost differs by the key, beyond what the servers can do.
    constexpr Milliseconds Length(30'000);
    const TimePoint learned = Start + Milliseconds(5'000);
    for (const double rate : {150.0, 220.0, 300.0}) { // 16 slots can do about 180 a second
        std::array<double, 2> onTime{};
        std::array<double, 2> cheapOnTime{};
        std::array<double, 2> heavyOnTime{};
        for (const bool tellKey : {false, true}) {
            std::mt19937_64 random(21);
            DispatcherOptions options;
            options.queuedPerServer = 1;
            VirtualRegion region(options, evenServers(4));
            region.play(Length, rate, random, unevenRequests(random, tellKey));
            const auto isOf = [learned](bool isHeavy) {
                return [learned, isHeavy](const Request &each) {
                    return each.submittedAt >= learned && (each.work > Seconds(0.2)) == isHeavy;
                };
            };
            const auto isOnTime = [](const Request &each) {
                return each.isOnTime();
            };
            onTime[tellKey] = region.shareOnTime(learned);
            cheapOnTime[tellKey] = region.mean(isOf(false), isOnTime);
            heavyOnTime[tellKey] = region.mean(isOf(true), isOnTime);
        }
        WARN("rate " << rate << ": on time " << onTime[0] << " -> " << onTime[1] << ", cheap " << cheapOnTime[0]
                     << " -> " << cheapOnTime[1] << ", heavy " << heavyOnTime[0] << " -> " << heavyOnTime[1]);
        CHECK(onTime[1] >= onTime[0] - 0.005);
    }
}

TEST_CASE("a wrong estimate starves nobody")
{
    // The requests of some keys turn from the heaviest into the cheapest while the service is full. By the old
    // estimates none of them could meet its deadline.
    const auto isChangingKey = [](const WorkItem &item) {
        return *item.key % 10 == 0;
    };
    bool isHeavy = true;
    std::mt19937_64 random(5);
    DispatcherOptions options;
    options.queuedPerServer = 1;
    VirtualRegion region(options, evenServers(4));
    const auto make = [&random, &isHeavy, &isChangingKey](TimePoint now) {
        Request request;
        request.item.key = static_cast<std::uint16_t>(random() % 40);
        const bool isChanging = isChangingKey(request.item);
        const bool isLong = *request.item.key % 10 == 5 || (isChanging && isHeavy);
        request.work = Seconds(isLong ? 0.4 : 0.04);
        request.item.targetBy = now + Milliseconds(isLong ? 900 : 150);
        request.item.deadline = now + Milliseconds(isLong ? 2'000 : 200);
        return request;
    };
    region.play(Milliseconds(20'000), 100, random, make);
    REQUIRE(region.dispatcher.workEstimates().summaries().front().refinement == WorkEstimates::Refinement::Key);
    WorkItem item;
    item.key = 10;
    REQUIRE(region.dispatcher.expectedWork(item) > Seconds(0.25));
    isHeavy = false;
    const TimePoint changed = region.now();
    region.play(Milliseconds(30'000), 130, random, make);
    const auto shareServed = [&region, changed, &isChangingKey](bool isChanging, Milliseconds from) {
        return region.mean(
            [=](const Request &each) {
                return each.submittedAt >= changed + from && isChangingKey(each.item) == isChanging;
            },
            [](const Request &each) {
                return each.answeredAt.has_value();
            });
    };
    WARN("served of these keys: " << shareServed(true, Milliseconds(0)) << ", of others "
                                  << shareServed(false, Milliseconds(0)) << "; after 10 s "
                                  << shareServed(true, Milliseconds(10'000)) << " and "
                                  << shareServed(false, Milliseconds(10'000)));
    CHECK(shareServed(true, Milliseconds(10'000)) > 0.9 * shareServed(false, Milliseconds(10'000)));
}

TEST_CASE("a kind whose cost changes in the middle is served as well as before within seconds")
{
    // The heavy tenth of the keys becomes another tenth.
    std::mt19937_64 random(8);
    std::uint16_t heavy = 0;
    DispatcherOptions options;
    options.queuedPerServer = 1;
    VirtualRegion region(options, evenServers(4));
    const auto make = [&random, &heavy](TimePoint now) {
        Request request;
        request.item.key = static_cast<std::uint16_t>(random() % 100);
        request.work = Seconds(*request.item.key % 10 == heavy ? 0.6 : 0.03);
        request.item.targetBy = now + Milliseconds(900);
        request.item.deadline = now + Milliseconds(2'000);
        return request;
    };
    region.play(Milliseconds(20'000), 180, random, make);
    heavy = 5;
    region.play(Milliseconds(20'000), 180, random, make);
    const double before = region.shareOnTime(Start + Milliseconds(10'000), Start + Milliseconds(20'000));
    const double after = region.shareOnTime(Start + Milliseconds(30'000));
    WARN("on time " << before << " before, "
                    << region.shareOnTime(Start + Milliseconds(20'000), Start + Milliseconds(30'000))
                    << " in the first 10 s after, " << after << " then");
    CHECK(after > before - 0.03);
}

TEST_CASE("a host that has lost its leader and learned nothing serves uneven requests from the start")
{
    // It may fill a share of the slots; other hosts use the others, which it learns from the servers' reports only.
    std::vector<VirtualServer> servers = evenServers(4);
    for (VirtualServer &server : servers) {
        server.tell = [](ServerLoad real, TimePoint) {
            real.running += 1;
            return std::optional<ServerLoad>(real);
        };
    }
    DispatcherOptions options;
    options.slotShare = 0.5;
    std::mt19937_64 random(13);
    VirtualRegion region(options, std::move(servers));
    region.play(Milliseconds(5'000), 50, random, unevenRequests(random, true));
    WARN("on time in the first 2 s " << region.shareOnTime(Start, Start + Milliseconds(2'000)) << ", in the next 3 s "
                                     << region.shareOnTime(Start + Milliseconds(2'000)));
    CHECK(region.shareOnTime(Start, Start + Milliseconds(2'000)) > 0.85);
    CHECK(region.shareOnTime(Start + Milliseconds(2'000)) > 0.85);
}

} // namespace snipevalve
