#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <set>

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

UpstreamServer server(const std::string &id, unsigned slots = 2)
{
    UpstreamServer entry;
    entry.id = id;
    entry.slots = slots;
    return entry;
}

WorkItem item(Ticket ticket, int priority = 0)
{
    WorkItem work;
    work.ticket = ticket;
    work.priority = priority;
    work.targetBy = Start + Milliseconds(500);
    work.deadline = Start + Milliseconds(3'000);
    return work;
}

std::vector<Ticket> placed(Dispatcher &dispatcher)
{
    std::vector<Ticket> tickets;
    for (const DispatchDecision &decision : dispatcher.take()) {
        if (const auto *placement = std::get_if<Placement>(&decision)) {
            tickets.push_back(placement->ticket);
        }
    }
    return tickets;
}

std::vector<Rejection> rejected(Dispatcher &dispatcher)
{
    std::vector<Rejection> all;
    for (const DispatchDecision &decision : dispatcher.take()) {
        if (const auto *rejection = std::get_if<Rejection>(&decision)) {
            all.push_back(*rejection);
        }
    }
    return all;
}

} // namespace

TEST_CASE("no server runs more requests than its slots, and a waiting request is placed when a slot is freed")
{
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a"), server("b")}, Start);
    for (Ticket ticket = 1; ticket <= 6; ++ticket) {
        dispatcher.submit(item(ticket), Start);
    }
    CHECK(placed(dispatcher) == std::vector<Ticket>{1, 2, 3, 4});
    CHECK(dispatcher.waiting() == 2);
    dispatcher.finish(2, WorkEnd::Done, Milliseconds(100), Start + Milliseconds(100));
    CHECK(placed(dispatcher) == std::vector<Ticket>{5});
}

TEST_CASE("a new leader that adopts far more sends than there are slots serves again within half a second")
{
    // After the loss of a leader, 70 hosts sent to a server with 2 slots, which dropped what it could not queue.
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a")}, Start);
    Ticket ticket = 0;
    for (int host = 0; host < 30; ++host) {
        dispatcher.adopt(item(++ticket), "a", Start);
    }
    TimePoint now = Start;
    std::size_t served = 0;
    for (; now < Start + Milliseconds(500); now += Milliseconds(20)) {
        WorkItem work = item(++ticket);
        work.targetBy = now + Milliseconds(500);
        work.deadline = now + Milliseconds(3'000);
        dispatcher.submit(work, now);
        dispatcher.advance(now);
        for (const Ticket each : placed(dispatcher)) {
            dispatcher.finish(each, WorkEnd::Done, Milliseconds(20), now + Milliseconds(20));
            ++served;
        }
    }
    CHECK(served >= 10); // guards against: none until the hosts gave up, 0.8 to 3 s later
}

TEST_CASE("a slot whose answer was lost is used again once the server has answered later sends")
{
    // A request ran but its answer was lost; its sender waits until the deadline.
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a")}, Start);
    dispatcher.submit(item(1), Start); // its answer is lost
    dispatcher.submit(item(2), Start);
    REQUIRE(placed(dispatcher).size() == 2);
    dispatcher.finish(2, WorkEnd::Done, Milliseconds(100), Start + Milliseconds(100));
    dispatcher.submit(item(3), Start + Milliseconds(100));
    REQUIRE(placed(dispatcher).size() == 1);
    dispatcher.finish(3, WorkEnd::Done, Milliseconds(100), Start + Milliseconds(200));
    const TimePoint later = Start + Milliseconds(1'000); // ten times the expected time
    dispatcher.advance(later);
    WorkItem work = item(4);
    work.targetBy = later + Milliseconds(500);
    dispatcher.submit(work, later);
    work.ticket = 5;
    dispatcher.submit(work, later);
    CHECK(placed(dispatcher).size() == 2); // guards against: one, with the slot of the lost send still held
    // The end of the lost send must not free its slot a second time.
    dispatcher.finish(1, WorkEnd::Lost, Milliseconds(2'000), later);
    work.ticket = 6;
    dispatcher.submit(work, later);
    CHECK(placed(dispatcher).empty());
}

TEST_CASE("a slow server gets no more than its slots")
{
    // The server takes 12 times as long as usual; further sends would only queue there.
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a")}, Start);
    dispatcher.submit(item(1), Start);
    dispatcher.submit(item(2), Start);
    REQUIRE(placed(dispatcher).size() == 2);
    const TimePoint later = Start + Milliseconds(1'100);
    dispatcher.advance(later);
    WorkItem work = item(3);
    work.targetBy = later + Milliseconds(500);
    dispatcher.submit(work, later);
    CHECK(placed(dispatcher).empty());
}

TEST_CASE("at low utilisation a host keeps to servers of its zone that it is connected to")
{
    // With many hosts and servers and few requests per pair, new connections and traffic between zones are costly.
    Dispatcher dispatcher({});
    std::vector<UpstreamServer> servers;
    for (int at = 0; at < 12; ++at) {
        servers.push_back(server("s" + std::to_string(at)));
        servers.back().zone = at % 3 == 0 ? "near" : "far";
    }
    dispatcher.setServers(servers, Start);
    std::set<std::string> used;
    TimePoint now = Start;
    for (Ticket ticket = 1; ticket <= 50; ++ticket, now += Milliseconds(200)) {
        WorkItem work = item(ticket);
        work.zone = "near";
        work.host = 7;
        work.targetBy = now + Milliseconds(500);
        work.deadline = now + Milliseconds(3'000);
        dispatcher.advance(now);
        dispatcher.submit(work, now);
        for (const DispatchDecision &decision : dispatcher.take()) {
            used.insert(std::get<Placement>(decision).server.id);
        }
        dispatcher.finish(ticket, WorkEnd::Done, Milliseconds(100), now + Milliseconds(100));
    }
    CHECK(used.size() <= 2); // guards against: all twelve in turn, eight of them in the other zone
}

TEST_CASE("a leader keeps up with a long queue in front of many servers")
{
    // A burst on a service of 128 servers: 300 requests wait, and 700 a second end and begin. A leader has half a core,
    // so an event may take at most 0.5 ms on a full core.
    Dispatcher dispatcher({});
    std::vector<UpstreamServer> servers;
    constexpr int Servers = 128;
    for (int at = 0; at < Servers; ++at) {
        servers.push_back(server("s" + std::to_string(at), 4));
    }
    dispatcher.setServers(servers, Start);
    Ticket last = 0;
    TimePoint now = Start;
    std::vector<Ticket> running;
    const auto submitOne = [&]() {
        WorkItem work = item(++last);
        work.targetBy = now + Milliseconds(2'000);
        work.deadline = now + Milliseconds(12'000);
        work.zone = "z" + std::to_string(last % 4);
        work.host = static_cast<std::uint32_t>(last % 70);
        dispatcher.submit(work, now);
        for (const Ticket ticket : placed(dispatcher)) {
            running.push_back(ticket);
        }
    };
    for (int request = 0; request < 4 * Servers + 300; ++request) {
        submitOne();
    }
    REQUIRE(dispatcher.waiting() >= 250);
    constexpr int Events = 2'000;
    const auto startedAt = Clock::now();
    for (int event = 0; event < Events / 2; ++event) {
        now += Milliseconds(1);
        dispatcher.finish(running[static_cast<std::size_t>(event)], WorkEnd::Done, Milliseconds(500), now);
        submitOne();
    }
    const Duration took = Clock::now() - startedAt;
    const auto micros = std::chrono::duration_cast<std::chrono::nanoseconds>(took).count() / 1e3 / Events;
    WARN("an event took " << micros << " us");
    CHECK(took / Events < std::chrono::microseconds(500));
    CHECK(dispatcher.waiting() >= 250);
}

TEST_CASE("requests go by priority and target, but none that is late before one that can still meet its target time")
{
    struct Case
    {
        std::string name;
        int firstPriority;
        int secondPriority;
        Milliseconds firstTarget;
        Milliseconds secondTarget;
        Ticket expectedFirst;
    };
    const std::vector<Case> cases = {
        {"higher priority first", 2, 1, Milliseconds(500), Milliseconds(500), 3},
        {"earlier target first", 1, 1, Milliseconds(500), Milliseconds(400), 3},
        {"on time before late", 2, 1, Milliseconds(500), Milliseconds(20), 2},
        {"lower ticket first", 1, 1, Milliseconds(500), Milliseconds(500), 2},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        Dispatcher dispatcher({});
        dispatcher.setServers({server("a", 1)}, Start);
        dispatcher.submit(item(1), Start);
        WorkItem first = item(2, each.firstPriority);
        first.targetBy = Start + each.firstTarget;
        WorkItem second = item(3, each.secondPriority);
        second.targetBy = Start + each.secondTarget;
        dispatcher.submit(first, Start);
        dispatcher.submit(second, Start);
        dispatcher.take();
        dispatcher.finish(1, WorkEnd::Done, Milliseconds(100), Start + Milliseconds(100));
        CHECK(placed(dispatcher).front() == each.expectedFirst);
    }
}

TEST_CASE("a request that can't be answered in time is rejected at once, with a retry-after time")
{
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a", 1)}, Start);
    std::size_t rejections = 0;
    Duration longest{};
    for (Ticket ticket = 1; ticket <= 60; ++ticket) {
        dispatcher.submit(item(ticket), Start);
        for (const Rejection &rejection : rejected(dispatcher)) {
            ++rejections;
            CHECK(rejection.reason == RejectReason::TooLate);
            longest = std::max(longest, rejection.retryAfter);
        }
    }
    // 100 ms of work before the first observation: about 30 fit into 3 s on one slot.
    CHECK(rejections >= 28);
    CHECK(rejections <= 34);
    CHECK(longest > Milliseconds(1'500));
}

TEST_CASE("a request goes only to the owner of its key, and waits while the key has no owner")
{
    Dispatcher dispatcher({});
    dispatcher.setServers({server("a"), server("b")}, Start);
    dispatcher.setOwners(KeyOwners({{{0, 99}, "a"}, {{100, 199}, "b"}}), Start);
    WorkItem mine = item(1);
    mine.key = 150;
    dispatcher.submit(mine, Start);
    const auto decisions = dispatcher.take();
    REQUIRE(decisions.size() == 1);
    CHECK(std::get<Placement>(decisions.front()).server.id == "b");
    WorkItem moving = item(2);
    moving.key = 250;
    dispatcher.submit(moving, Start);
    CHECK(dispatcher.take().empty());
    dispatcher.setOwners(KeyOwners({{{0, 299}, "a"}}), Start + Milliseconds(50));
    CHECK(placed(dispatcher) == std::vector<Ticket>{2});
}

TEST_CASE("a server that leaves or fails gets no new work")
{
    struct Case
    {
        std::string name;
        std::function<void(Dispatcher &)> makeUnavailable;
    };
    const std::vector<Case> cases = {
        {"draining",
         [](Dispatcher &dispatcher) {
             UpstreamServer leaving = server("a");
             leaving.draining = true;
             dispatcher.setServers({leaving}, Start);
         }},
        {"removed",
         [](Dispatcher &dispatcher) {
             dispatcher.setServers({}, Start);
         }},
        {"unreachable three times",
         [](Dispatcher &dispatcher) {
             for (Ticket ticket = 101; ticket <= 103; ++ticket) {
                 dispatcher.submit(item(ticket), Start);
                 dispatcher.finish(ticket, WorkEnd::Unreachable, Milliseconds(1), Start);
             }
         }},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        Dispatcher dispatcher({});
        dispatcher.setServers({server("a")}, Start);
        each.makeUnavailable(dispatcher);
        dispatcher.take();
        dispatcher.submit(item(1), Start);
        CHECK(placed(dispatcher).empty());
    }
}

TEST_CASE("repeated sends stay within the ratio and the slack of every window")
{
    DispatcherOptions options;
    options.repeats.ratio = 0.2;
    options.repeats.slack = 5;
    Dispatcher dispatcher(options);
    dispatcher.setServers({server("a", 1'000)}, Start);
    int repeats = 0;
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        dispatcher.submit(item(ticket), Start);
    }
    dispatcher.take();
    for (Ticket ticket = 101; ticket <= 200; ++ticket) {
        WorkItem again = item(ticket);
        again.repeat = true;
        dispatcher.submit(again, Start + Milliseconds(10));
        repeats += static_cast<int>(placed(dispatcher).size());
    }
    CHECK(repeats == 23); // slack of 5, plus nine tenths of 0.2 * 100
}

TEST_CASE("no sliding window exceeds its limit of repeats, even when the load falls")
{
    RepeatLimits limits;
    limits.ratio = 0.2;
    limits.slack = 10;
    RepeatWindow window(limits);
    std::vector<double> requests;
    std::vector<double> repeats;
    constexpr int Tenths = 400;
    for (int tenth = 0; tenth < Tenths; ++tenth) {
        const TimePoint now = Start + Milliseconds(100) * tenth;
        const int arrivals = (tenth / 60) % 2 == 0 ? 40 : 4;
        for (int at = 0; at < arrivals; ++at) {
            window.onRequest(now);
        }
        int taken = 0;
        while (window.take(now)) {
            ++taken;
        }
        requests.push_back(arrivals);
        repeats.push_back(taken);
    }
    // The platform's rule: the limit follows the largest of this window, the previous one and the one half a window
    // earlier.
    constexpr int WindowTenths = 100;
    const auto sum = [](const std::vector<double> &values, int from) {
        double total = 0;
        for (int at = std::max(from, 0); at < from + WindowTenths; ++at) {
            total += values[static_cast<std::size_t>(at)];
        }
        return total;
    };
    for (int from = 0; from + WindowTenths <= Tenths; ++from) {
        const double most =
            std::max({sum(requests, from), sum(requests, from - WindowTenths / 2), sum(requests, from - WindowTenths)});
        INFO("window from " << from);
        CHECK(sum(repeats, from) <= limits.slack + limits.ratio * most);
    }
}

TEST_CASE("adopted sends hold slots, even if they are adopted before their server is known")
{
    for (const bool isKnownFirst : {true, false}) {
        INFO("server known first: " << isKnownFirst);
        Dispatcher dispatcher({});
        if (isKnownFirst) {
            dispatcher.setServers({server("a")}, Start);
        }
        dispatcher.adopt(item(1), "a", Start);
        dispatcher.adopt(item(2), "a", Start);
        dispatcher.setServers({server("a")}, Start);
        dispatcher.submit(item(3), Start);
        CHECK(placed(dispatcher).empty());
        dispatcher.finish(1, WorkEnd::Done, Milliseconds(50), Start + Milliseconds(50));
        CHECK(placed(dispatcher) == std::vector<Ticket>{3});
    }
}

TEST_CASE("a server that turns slow while its queue is never empty is found to be slow")
{
    DispatcherOptions options;
    options.queuedPerServer = 1;
    Dispatcher dispatcher(options);
    dispatcher.setServers({server("a", 4)}, Start);
    auto capacityAfter = [&dispatcher, ticket = Ticket(0)](Milliseconds work, int from, int to) mutable {
        std::deque<Ticket> atServer;
        for (int ms = from; ms < to; ms += static_cast<int>(work.count()) / 4) {
            const TimePoint now = Start + Milliseconds(ms);
            if (ms >= from + work.count() && !atServer.empty()) {
                const Ticket ended = atServer.front();
                atServer.pop_front();
                dispatcher.finish(ended, WorkEnd::Done, work * 5 / 4, now); // a quarter of it is the wait at the server
            }
            for (int more = 0; more < 3; ++more) {
                WorkItem item;
                item.ticket = ++ticket;
                item.targetBy = now + Milliseconds(2'000);
                item.deadline = now + Milliseconds(4'000);
                dispatcher.submit(item, now);
            }
            for (const Ticket each : placed(dispatcher)) {
                atServer.push_back(each);
            }
        }
        for (const Ticket each : atServer) {
            dispatcher.finish(each, WorkEnd::Abandoned, {}, Start + Milliseconds(to));
        }
        return dispatcher.capacityOf("a");
    };
    const double before = capacityAfter(Milliseconds(100), 0, 4'000);
    CHECK(before == Approx(4.0).margin(0.8));
    CHECK(capacityAfter(Milliseconds(400), 4'000, 8'000) < before / 2);
}

TEST_CASE("a request waits at each full server, so that its slots are never idle under load")
{
    // Load pattern: one key asks for five times what its server can do, and the end of each request takes 15 ms to
    // reach the dispatcher and the next request to reach the server.
    constexpr unsigned Slots = 4;
    constexpr Milliseconds Work(100);
    constexpr Milliseconds OneWay(8);
    constexpr int Length = 10'000; // ms
    DispatcherOptions options;
    options.queuedPerServer = 1;
    Dispatcher dispatcher(options);
    dispatcher.setServers({server("a", Slots)}, Start);
    std::multimap<TimePoint, Ticket> arrivals;
    std::multimap<TimePoint, std::pair<Ticket, Duration>> ends;
    std::vector<TimePoint> slotsFreeAt(Slots, Start);
    std::size_t served = 0;
    std::size_t mostPlaced = 0;
    std::size_t placedNow = 0;
    Ticket ticket = 0;
    for (int ms = 0; ms < Length; ++ms) {
        const TimePoint now = Start + Milliseconds(ms);
        while (!arrivals.empty() && arrivals.begin()->first <= now) {
            const auto slot = std::min_element(slotsFreeAt.begin(), slotsFreeAt.end());
            *slot = std::max(*slot, now) + Work;
            ends.emplace(*slot + OneWay, std::make_pair(arrivals.begin()->second, *slot + OneWay - now));
            arrivals.erase(arrivals.begin());
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [ended, took] = ends.begin()->second;
            ends.erase(ends.begin());
            dispatcher.finish(ended, WorkEnd::Done, took, now);
            ++served;
            --placedNow;
        }
        if (ms % 5 == 0) {
            WorkItem work = item(++ticket);
            work.targetBy = now + Milliseconds(400);
            work.deadline = now + Milliseconds(1'000);
            dispatcher.submit(work, now);
        }
        dispatcher.advance(now);
        for (const Ticket each : placed(dispatcher)) {
            arrivals.emplace(now + OneWay, each);
            mostPlaced = std::max(mostPlaced, ++placedNow);
        }
    }
    constexpr double Possible = Slots * Length / 100.0;
    CHECK(static_cast<double>(served) > 0.97 * Possible);
    CHECK(mostPlaced == Slots + 1);
}

TEST_CASE("an evacuation during a burst ends placements in the zone at once, and what the others can't take is refused")
{
    // Three servers of two slots in three zones; 60 requests of 100 ms a second and then a burst of 90.
    const auto zoned = [](const std::set<std::string> &evacuated) {
        std::vector<UpstreamServer> servers;
        for (const char *zone : {"a", "b", "c"}) {
            servers.push_back(server(zone));
            servers.back().zone = zone;
            servers.back().evacuated = evacuated.contains(zone);
        }
        return servers;
    };
    Dispatcher dispatcher({});
    dispatcher.setServers(zoned({}), Start);
    std::multimap<TimePoint, Ticket> ends;
    std::map<std::string, int> placedIn;
    std::size_t refused = 0;
    Duration longestHeld{};
    std::map<Ticket, TimePoint> submittedAt;
    Ticket ticket = 0;
    const auto run = [&](TimePoint from, Milliseconds length, Milliseconds interval) {
        for (TimePoint now = from; now < from + length; now += interval) {
            while (!ends.empty() && ends.begin()->first <= now) {
                dispatcher.finish(ends.begin()->second, WorkEnd::Done, Milliseconds(100), ends.begin()->first);
                ends.erase(ends.begin());
            }
            WorkItem work = item(++ticket);
            work.targetBy = now + Milliseconds(300);
            work.deadline = now + Milliseconds(1'000);
            submittedAt[ticket] = now;
            dispatcher.submit(work, now);
            dispatcher.advance(now);
            for (const DispatchDecision &decision : dispatcher.take()) {
                if (const auto *placement = std::get_if<Placement>(&decision)) {
                    ++placedIn[placement->server.id];
                    ends.emplace(now + Milliseconds(100), placement->ticket);
                } else {
                    const TimePoint since = submittedAt.at(std::get<Rejection>(decision).ticket);
                    longestHeld = std::max(longestHeld, now - since);
                    ++refused;
                }
            }
        }
    };
    run(Start, Milliseconds(1'000), Milliseconds(17));
    REQUIRE(placedIn["a"] > 0);
    REQUIRE(refused == 0);

    const TimePoint burst = Start + Milliseconds(1'000);
    run(burst, Milliseconds(200), Milliseconds(11));
    placedIn.clear();
    dispatcher.setServers(zoned({"a"}), burst + Milliseconds(200));
    run(burst + Milliseconds(200), Milliseconds(2'000), Milliseconds(11));
    CHECK(placedIn["a"] == 0);
    CHECK(placedIn["b"] + placedIn["c"] > 70); // of 80 that two servers of two slots can serve
    CHECK(refused > 50); // of 182
    CHECK(longestHeld < Milliseconds(1'000));

    // All zones: nothing waits. A request that waited before is refused within the interval of the forecasts.
    const TimePoint all = burst + Milliseconds(2'200);
    dispatcher.setServers(zoned({"a", "b", "c"}), all);
    dispatcher.advance(all + Milliseconds(40));
    CHECK(dispatcher.waiting() == 0);
    dispatcher.take();
    WorkItem work = item(++ticket);
    work.targetBy = all + Milliseconds(300);
    work.deadline = all + Milliseconds(1'000);
    dispatcher.submit(work, all + Milliseconds(40));
    const std::vector<Rejection> rejections = rejected(dispatcher);
    REQUIRE(rejections.size() == 1);
    CHECK(rejections.front().reason == RejectReason::NoServer);
    CHECK(rejections.front().retryAfter > Duration::zero());

    placedIn.clear();
    ends.clear();
    dispatcher.setServers(zoned({}), all + Milliseconds(200));
    run(all + Milliseconds(200), Milliseconds(1'000), Milliseconds(17));
    CHECK(placedIn["a"] > 0);
}

TEST_CASE("requests whose key's owner is evacuated wait for the move, unless no server is left")
{
    UpstreamServer owner = server("a");
    owner.evacuated = true;
    Dispatcher dispatcher({});
    dispatcher.setServers({owner, server("b")}, Start);
    dispatcher.setOwners(KeyOwners({{{0, 65'535}, "a"}}), Start);
    WorkItem work = item(1);
    work.key = 7;
    dispatcher.submit(work, Start);
    CHECK(dispatcher.take().empty());
    dispatcher.setOwners(KeyOwners({{{0, 65'535}, "b"}}), Start + Milliseconds(100));
    CHECK(placed(dispatcher) == std::vector<Ticket>{1});

    dispatcher.setOwners(KeyOwners({{{0, 65'535}, "a"}}), Start + Milliseconds(200));
    dispatcher.setServers({owner}, Start + Milliseconds(200));
    work.ticket = 2;
    dispatcher.submit(work, Start + Milliseconds(200));
    CHECK(rejected(dispatcher).size() == 1); // guards against: held until its deadline
}

} // namespace snipevalve
