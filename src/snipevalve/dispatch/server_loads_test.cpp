#include <catch2/catch.hpp>

#include "virtual_servers.hpp"

namespace snipevalve {

namespace {

using testing::VirtualRegion;
using testing::VirtualServer;

const TimePoint Start = VirtualRegion::Start;

/// One machine in five is three times as slow for 400 ms at a time.
double momentarySlowdown(int machine, TimePoint now)
{
    constexpr Milliseconds Phase(400);
    const auto offset = Milliseconds(machine * 37);
    std::mt19937_64 random(static_cast<std::uint64_t>((now - Start + offset) / Phase) * 1'000
                           + static_cast<std::uint64_t>(machine));
    random.discard(3);
    return random() % 5 == 0 ? 3.0 : 1.0;
}

std::vector<VirtualServer> slowMachines(int count)
{
    std::vector<VirtualServer> servers(static_cast<std::size_t>(count));
    for (int at = 0; at < count; ++at) {
        VirtualServer &server = servers[static_cast<std::size_t>(at)];
        server.entry.id = "s" + std::to_string(at);
        server.entry.slots = 4;
        server.slowness = 0.7 + 0.1 * (at % 7);
        server.slowdown = [at](TimePoint now) {
            return momentarySlowdown(at, now);
        };
    }
    return servers;
}

std::optional<ServerLoad> honest(ServerLoad real, TimePoint)
{
    return real;
}

/// Requests of 150 ms on the average, with times that vary by a factor of two.
std::function<VirtualRegion::Request(TimePoint)> shortRequests(std::mt19937_64 &random)
{
    return [&random](TimePoint now) {
        VirtualRegion::Request request;
        request.work = Seconds(std::uniform_real_distribution<double>(0.1, 0.2)(random));
        request.item.targetBy = now + Milliseconds(500);
        request.item.deadline = now + Milliseconds(1'500);
        return request;
    };
}

/// Plays 30 s of load on machines that turn slow.
/// @param tell what the servers report
/// @return the mean time at the servers in ms, and the share of requests answered within their target
std::pair<double, double> playSlowMachines(double rate,
                                           const std::function<std::optional<ServerLoad>(ServerLoad, TimePoint)> &tell)
{
    constexpr int Servers = 20;
    std::vector<VirtualServer> servers = slowMachines(Servers);
    for (VirtualServer &server : servers) {
        server.tell = tell;
    }
    std::mt19937_64 random(7);
    VirtualRegion region({}, std::move(servers));
    region.play(Milliseconds(30'000), rate, random, shortRequests(random));
    const TimePoint learned = Start + Milliseconds(5'000);
    return {region.meanAtServers(learned), region.shareOnTime(learned)};
}

} // namespace

TEST_CASE("a report counts for at most 0.4 s, and one that never changes counts for nothing")
{
    LoadReports reports;
    CHECK(reports.factor(Start) == 1.0);
    CHECK(reports.usualTime(Start, Start + Milliseconds(90)) == Milliseconds(90));
    TimePoint now = Start;
    for (int report = 0; report < 100; ++report, now += Milliseconds(100)) {
        reports.add({4, 0, 4, 3.0}, 4, now);
    }
    CHECK(reports.factor(now) == Approx(1.0));
    reports.add({4, 0, 4, 9.0}, 4, now);
    CHECK(reports.factor(now) == Approx(3.0).epsilon(0.05));
    CHECK(reports.factor(now + Milliseconds(200)) == Approx(2.0).epsilon(0.05));
    CHECK(reports.factor(now + Milliseconds(400)) == 1.0);
    CHECK(reports.timeOf(Seconds(0.2), now + Milliseconds(400)) == Seconds(0.2));
    CHECK(reports.unknownRequests(now) == 0);
    reports.add({4, 6, 4, 3.0}, 3, now);
    CHECK(reports.unknownRequests(now) == 7);
    CHECK(reports.unknownRequests(now + Milliseconds(400)) == 0);
}

TEST_CASE("a long request feels a momentary slowdown only at its beginning")
{
    LoadReports reports;
    for (int report = 0; report < 100; ++report) {
        reports.add({1, 0, 4, 1.0}, 1, Start);
    }
    reports.add({1, 0, 4, 3.0}, 1, Start);
    const double told = reports.factor(Start);
    CHECK(reports.timeOf(Seconds(0.05), Start).count() == Approx(0.05 * told));
    const double longTime = reports.timeOf(Seconds(0.88), Start).count();
    CHECK(longTime > 0.95);
    CHECK(longTime < 1.1);
}

TEST_CASE("the time that a request usually takes is counted from the reports during its run")
{
    LoadReports reports;
    TimePoint now = Start;
    for (int report = 0; report < 200; ++report, now += Milliseconds(100)) {
        reports.add({1, 0, 4, 1.0}, 1, now);
    }
    const TimePoint turned = now;
    for (int report = 0; report < 4; ++report, now += Milliseconds(100)) {
        reports.add({1, 0, 4, 3.0}, 1, now);
    }
    // From 50 ms before the first report of the slow phase on, work takes three times as long.
    const Duration usual = reports.usualTime(turned - Milliseconds(150), turned + Milliseconds(250));
    CHECK(Seconds(usual).count() == Approx(0.1 + 0.3 / 3).margin(0.02));
}

TEST_CASE("a server that claims to be faster than its answers show is rated by its answers")
{
    struct Case
    {
        std::string name;
        double ratio; ///< of the times of the answers with a report of being fast to the usual ones
        double least; ///< that the claim counts for
        double most;
    };
    for (const Case &each : {Case{"it is as fast as it says", 0.4, 0.35, 0.45}, Case{"it is not", 1.0, 1.0, 1.0},
                             Case{"it is slower than usual", 3.0, 1.0, 1.0}}) {
        INFO(each.name);
        LoadReports reports;
        TimePoint now = Start;
        for (int report = 0; report < 200; ++report, now += Milliseconds(100)) {
            const bool claimsFast = report % 4 == 3;
            reports.add({1, 0, 4, claimsFast ? 0.1 : 1.0}, 1, now);
            if (claimsFast) {
                reports.observe(each.ratio);
            }
        }
        reports.add({1, 0, 4, 0.1}, 1, now);
        CHECK(reports.factor(now) >= Approx(each.least));
        CHECK(reports.factor(now) <= Approx(each.most));
    }
}

TEST_CASE("with reports, requests avoid the machines that are slow at the moment")
{
    // Load pattern: one machine in five is three times as slow for 400 ms at a time.
    for (const double rate : {180.0, 260.0, 340.0}) {
        const auto [silentTime, silentShare] = playSlowMachines(rate, {});
        const auto [time, share] = playSlowMachines(rate, honest);
        WARN("rate " << rate << ": " << silentTime << " -> " << time << " ms at servers, on time " << silentShare
                     << " -> " << share);
        CHECK(time < silentTime);
        CHECK(share > silentShare - 0.005); // three times the sampling error of the difference
    }
}

TEST_CASE("reports that tell nothing change nothing, and false ones do little harm")
{
    struct Case
    {
        std::string name;
        std::function<std::optional<ServerLoad>(ServerLoad, TimePoint)> tell;
    };
    std::mt19937_64 random(3);
    const std::vector<Case> cases = {
        {"always free and usual",
         [](ServerLoad real, TimePoint) {
             return ServerLoad{0, 0, real.slots, 1.0};
         }},
        {"always free and fast",
         [](ServerLoad real, TimePoint) {
             return ServerLoad{0, 0, real.slots, 0.1};
         }},
        {"fast while slow",
         [](ServerLoad real, TimePoint) {
             return ServerLoad{0, 0, real.slots, real.slowdown > 1 ? 0.2 : 1.0};
         }},
        {"at random",
         [&random](ServerLoad real, TimePoint) {
             return ServerLoad{0, 0, real.slots, random() % 2 ? 3.0 : 0.3};
         }},
    };
    constexpr double Rate = 260;
    const auto [silentTime, silentShare] = playSlowMachines(Rate, {});
    for (const Case &each : cases) {
        INFO(each.name);
        const auto [time, share] = playSlowMachines(Rate, each.tell);
        WARN(each.name << ": " << silentTime << " -> " << time << " ms at servers, on time " << silentShare << " -> "
                       << share);
        CHECK(time < 1.1 * silentTime);
        CHECK(share > silentShare - 0.02);
    }
}

TEST_CASE("a server that says it is free and fast but is slow gets hardly more requests than without its reports")
{
    const auto shareOfLiar = [](bool isLying) {
        std::vector<VirtualServer> servers = slowMachines(10);
        for (VirtualServer &server : servers) {
            server.tell = honest;
        }
        servers[0].slowness = 3.0;
        servers[0].slowdown = {};
        servers[0].tell = {};
        if (isLying) {
            servers[0].tell = [](ServerLoad real, TimePoint now) {
                const bool claimsFast = (now - Start) / Milliseconds(300) % 2 == 0;
                return ServerLoad{0, 0, real.slots, claimsFast ? 0.1 : 1.0};
            };
        }
        std::mt19937_64 random(11);
        VirtualRegion region({}, std::move(servers));
        region.play(Milliseconds(30'000), 150, random, shortRequests(random));
        return region.mean(
            [](const VirtualRegion::Request &each) {
                return each.answeredAt && each.submittedAt >= Start + Milliseconds(5'000);
            },
            [](const VirtualRegion::Request &each) {
                return each.server == "s0";
            });
    };
    const double silent = shareOfLiar(false);
    const double lying = shareOfLiar(true);
    WARN("share of the slow server: " << silent << " silent, " << lying << " lying");
    CHECK(lying < 1.2 * silent + 0.005);
}

TEST_CASE("when reports stop, requests are placed as if there had been none")
{
    std::vector<VirtualServer> servers = slowMachines(20);
    const TimePoint end = Start + Milliseconds(10'000);
    for (VirtualServer &server : servers) {
        server.tell = [end](ServerLoad real, TimePoint now) {
            return now < end ? std::optional<ServerLoad>(real) : std::nullopt;
        };
    }
    std::mt19937_64 random(7);
    VirtualRegion region({}, std::move(servers));
    region.play(Milliseconds(30'000), 260, random, shortRequests(random));
    const auto [silentTime, silentShare] = playSlowMachines(260, {});
    CHECK(region.shareOnTime(end + Milliseconds(400)) > silentShare - 0.02);
    CHECK(region.meanAtServers(end + Milliseconds(400)) < 1.05 * silentTime);
}

TEST_CASE("a server that others keep full is avoided by a dispatcher that does not know of them")
{
    // A host without a leader fills only its share of the slots and does not see the requests of the other hosts.
    constexpr int Requests = 100;
    Dispatcher dispatcher({});
    std::vector<UpstreamServer> servers(2);
    servers[0].id = "a-full";
    servers[1].id = "free";
    servers[0].slots = servers[1].slots = 4;
    dispatcher.setServers(servers, Start);
    std::map<std::string, int> placed;
    TimePoint now = Start;
    for (Ticket ticket = 1; ticket <= Requests; ++ticket, now += Milliseconds(20)) {
        WorkItem item;
        item.ticket = ticket;
        item.targetBy = now + Milliseconds(500);
        item.deadline = now + Milliseconds(1'500);
        dispatcher.submit(item, now);
        for (const DispatchDecision &decision : dispatcher.take()) {
            const std::string id = std::get<Placement>(decision).server.id;
            ++placed[id];
            const bool isFull = id == "a-full";
            dispatcher.finish(ticket, WorkEnd::Done, Milliseconds(15), now + Milliseconds(15),
                              ServerLoad{isFull ? 4U : 1U, isFull ? 6U : 0U, 4, 1.0});
        }
    }
    CHECK(placed["a-full"] <= Requests / 10); // tried again each time its report has faded
    CHECK(placed["a-full"] >= 1);
}

} // namespace snipevalve
