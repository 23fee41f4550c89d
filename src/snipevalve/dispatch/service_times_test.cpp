#include <catch2/catch.hpp>

#include <random>

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve {

namespace {

constexpr std::uint64_t Lookup = 7;

/// Loads of requests whose service times vary widely, as the users measured them.
struct Spread
{
    const char *name;
    double sigma; ///< of a lognormal distribution
    double tailShare;
    double tailFactor;
};

} // namespace

TEST_CASE("the estimates of service times don't drift apart from the speed of the servers")
{
    // Half a minute of steady load made the mean three times as long and all servers three times as fast.
    const Spread spread =
        GENERATE(Spread{"even", 0.3, 0.01, 5}, Spread{"wide", 0.5, 0.03, 7}, Spread{"very wide", 0.8, 0.03, 7});
    CAPTURE(spread.name);
    constexpr int Servers = 128;
    constexpr double Work = 0.22;
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> factor(-spread.sigma * spread.sigma / 2, spread.sigma);
    std::uniform_real_distribution<double> share(0, 1);
    const std::vector<double> speeds{0.6, 1.0, 1.4};
    WorkEstimates times;
    std::vector<Slowness> servers(Servers);
    for (int request = 0; request < 30 * 400; ++request) {
        const std::size_t server = random() % Servers;
        const double tail = share(random) < spread.tailShare ? spread.tailFactor : 1.0;
        const Seconds took(Work * factor(random) * tail * speeds[server % speeds.size()]);
        servers[server].observe(
            times.observe({Lookup, {}, 0}, std::chrono::duration_cast<Duration>(took), servers[server]));
    }
    const double trueMean = Work * (1 + spread.tailShare * (spread.tailFactor - 1));
    CHECK(times.mean(Lookup).count() > trueMean / 2);
    CHECK(times.mean(Lookup).count() < trueMean * 2);
    double sum = 0;
    for (const Slowness &server : servers) {
        sum += server.factor();
    }
    CHECK(sum / Servers > 0.5);
    CHECK(sum / Servers < 2.0);
}

TEST_CASE("requests are served again soon after all servers were too slow for any deadline")
{
    // The estimate exceeded every deadline; as nothing was admitted, nothing was learned until the leader changed.
    Dispatcher dispatcher({});
    std::vector<UpstreamServer> servers(8);
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].id = "s" + std::to_string(index);
        servers[index].slots = 4;
    }
    TimePoint now{std::chrono::hours(1)};
    const TimePoint start = now;
    dispatcher.setServers(servers, now);
    std::multimap<TimePoint, std::pair<Ticket, Duration>> ends;
    Ticket ticket = 0;
    std::size_t placedAtTheEnd = 0;
    while (now < start + std::chrono::seconds(12)) {
        const Duration elapsed = now - start;
        const bool isSlow = elapsed > std::chrono::seconds(2) && elapsed < std::chrono::seconds(6);
        WorkItem item;
        item.ticket = ++ticket;
        item.workClass = Lookup;
        item.targetBy = now + Milliseconds(800);
        item.deadline = now + Milliseconds(1'200);
        dispatcher.submit(item, now);
        dispatcher.advance(now);
        for (const DispatchDecision &decision : dispatcher.take()) {
            if (const auto *placement = std::get_if<Placement>(&decision)) {
                const Duration took = isSlow ? Milliseconds(2'640) : Milliseconds(220);
                ends.emplace(now + took, std::pair(placement->ticket, took));
                placedAtTheEnd += elapsed > std::chrono::seconds(11) ? 1 : 0;
            }
        }
        now += Milliseconds(20);
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [ended, took] = ends.begin()->second;
            ends.erase(ends.begin());
            dispatcher.finish(ended, WorkEnd::Done, took, now);
        }
    }
    CHECK(placedAtTheEnd >= 45); // of 50 in the last second
}

} // namespace snipevalve
