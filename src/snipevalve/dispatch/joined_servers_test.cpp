#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "snipevalve/dispatch/dispatcher.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

std::vector<UpstreamServer> serversOf(const std::string &name, int count, Milliseconds warmupLeft)
{
    std::vector<UpstreamServer> servers;
    for (int at = 0; at < count; ++at) {
        UpstreamServer server;
        server.id = name + std::to_string(at);
        server.slots = 4;
        server.zone = "z" + std::to_string(at % 3);
        server.warmupLeft = warmupLeft;
        servers.push_back(server);
    }
    return servers;
}

} // namespace

TEST_CASE("servers that join at low load get requests within three seconds, over few connections")
{
    // Guards against: hosts keep to the servers of their zone that they are connected to, so that a server that joins
    // gets its first request when a burst comes.
    struct Example
    {
        std::string name;
        int joining;
        double requestsPerSecond; ///< of 30 servers with 4 slots each and a service time of 100 ms
        Milliseconds warmupLeft;
    };
    const auto example = GENERATE(values<Example>({
        {"two cold servers", 2, 100, Milliseconds(8'000)},
        {"one warm server", 1, 100, Milliseconds(0)},
        {"a zone of cold servers", 20, 100, Milliseconds(8'000)},
        {"three quarters of the slots", 2, 900, Milliseconds(8'000)},
    }));
    INFO(example.name);
    Dispatcher dispatcher({});
    std::vector<UpstreamServer> servers = serversOf("s", 30, Milliseconds(0));
    dispatcher.setServers(servers, Start);
    std::mt19937 random(5);
    std::poisson_distribution<int> arrivals(example.requestsPerSecond * 0.01);
    std::uniform_int_distribution<std::uint32_t> anyHost(0, 70);
    std::multimap<TimePoint, Ticket> ends;
    std::map<std::string, TimePoint> usedAt;
    std::map<std::string, Duration> longestPause;
    std::map<std::string, int> counts;
    std::map<Ticket, std::uint32_t> hostOf;
    std::map<std::string, std::set<std::uint32_t>> hosts; ///< by server
    const TimePoint joinAt = Start + Milliseconds(5'000);
    Ticket last = 0;
    for (TimePoint now = Start; now < joinAt + Milliseconds(10'000); now += Milliseconds(10)) {
        if (now == joinAt) {
            for (const UpstreamServer &server : serversOf("new", example.joining, example.warmupLeft)) {
                servers.push_back(server);
                usedAt[server.id] = now;
            }
            dispatcher.setServers(servers, now);
        }
        for (int count = arrivals(random); count > 0; --count) {
            WorkItem work;
            work.ticket = ++last;
            work.host = anyHost(random);
            hostOf[last] = work.host;
            work.zone = "z" + std::to_string(work.host % 3);
            work.targetBy = now + Milliseconds(500);
            work.deadline = now + Milliseconds(3'000);
            dispatcher.submit(work, now);
        }
        dispatcher.advance(now);
        for (const DispatchDecision &decision : dispatcher.take()) {
            if (const auto *placement = std::get_if<Placement>(&decision)) {
                const std::string &id = placement->server.id;
                ends.emplace(now + Milliseconds(100), placement->ticket);
                hosts[id].insert(hostOf[placement->ticket]);
                ++counts[id];
                longestPause[id] = std::max<Duration>(longestPause[id], now - usedAt[id]);
                usedAt[id] = now;
            }
        }
        while (!ends.empty() && ends.begin()->first <= now) {
            dispatcher.finish(ends.begin()->second, WorkEnd::Done, Milliseconds(100), now);
            ends.erase(ends.begin());
        }
    }
    for (const UpstreamServer &server : serversOf("new", example.joining, example.warmupLeft)) {
        INFO(server.id << " got " << counts[server.id] << " requests");
        CHECK(longestPause[server.id] < Milliseconds(3'000));
        CHECK(counts[server.id] >= 10); // one a second
        if (example.requestsPerSecond < 500) {
            CHECK(hosts[server.id].size() <= 30); // of 71, in 10 s
        }
    }
}

} // namespace snipevalve
