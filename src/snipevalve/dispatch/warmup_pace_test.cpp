#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

#include "snipevalve/dispatch/dispatcher.hpp"
#include "snipevalve/dispatch/warmup_pace.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};
constexpr Milliseconds Second(1'000);

WarmupLimits limits()
{
    WarmupLimits result;
    result.perSecond = 4;
    result.time = Milliseconds(9'000);
    return result;
}

std::vector<UpstreamServer> serversOf(const std::string &zone, int count, Milliseconds warmupLeft)
{
    std::vector<UpstreamServer> servers;
    for (int at = 0; at < count; ++at) {
        UpstreamServer server;
        server.id = zone + std::to_string(at);
        server.slots = 4;
        server.zone = zone;
        server.warmupLeft = warmupLeft;
        servers.push_back(server);
    }
    return servers;
}

/// The most times within one second.
std::size_t mostInSecond(const std::vector<TimePoint> &times)
{
    std::vector<TimePoint> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
        while (sorted[last] - sorted[first] >= Second) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Requests to a service, with the ways of permits to the servers.
class Load
{
public:
    explicit Load(Dispatcher &dispatcher)
        : m_dispatcher(dispatcher)
    {
    }

    void run(Milliseconds length, double requestsPerSecond)
    {
        std::poisson_distribution<int> arrivals(requestsPerSecond * 0.01);
        std::uniform_int_distribution<std::int64_t> delayMs(0, 900); // of a permit on its way over two hosts
        for (const TimePoint end = now + length; now < end; now += Milliseconds(10)) {
            for (int count = arrivals(m_random); count > 0; --count) {
                WorkItem work;
                work.ticket = ++m_last;
                work.host = static_cast<std::uint32_t>(m_last % 70);
                work.zone = m_last % 2 == 0 ? "a" : "b";
                work.targetBy = now + Milliseconds(500);
                work.deadline = now + Milliseconds(1'500);
                if (isKeyed) {
                    work.key = static_cast<std::uint16_t>(m_random());
                }
                m_dispatcher.submit(work, now);
            }
            m_dispatcher.advance(now);
            for (const DispatchDecision &decision : m_dispatcher.take()) {
                if (const auto *placement = std::get_if<Placement>(&decision)) {
                    arrived[placement->server.id].push_back(now + Milliseconds(delayMs(m_random)));
                    m_ends.emplace(now + Milliseconds(150), placement->ticket);
                } else {
                    ++rejected;
                }
            }
            while (!m_ends.empty() && m_ends.begin()->first <= now) {
                m_dispatcher.finish(m_ends.begin()->second, WorkEnd::Done, Milliseconds(150), now);
                m_ends.erase(m_ends.begin());
            }
        }
    }

    TimePoint now = Start;
    bool isKeyed = false;
    std::map<std::string, std::vector<TimePoint>> arrived; ///< by server
    std::size_t rejected = 0;

private:
    Dispatcher &m_dispatcher;
    std::mt19937 m_random{11};
    Ticket m_last = 0;
    std::multimap<TimePoint, Ticket> m_ends;
};

} // namespace

TEST_CASE("forty servers that return cold at once during a burst get no more than they tolerate, and none starves")
{
    // Guards against: a zone returns cold during a burst, takes its full share at once and crashes again.
    const bool isKeyed = GENERATE(false, true);
    Dispatcher dispatcher({});
    dispatcher.pace().setLimits(limits(), 1);
    std::vector<UpstreamServer> servers = serversOf("a", 40, Milliseconds(0));
    dispatcher.setServers(servers, Start);
    Load load(dispatcher);
    load.isKeyed = isKeyed;
    const auto share = [&](std::size_t count) {
        std::vector<OwnedRange> ranges;
        for (std::size_t at = 0; at < count; ++at) {
            const auto from = static_cast<std::uint16_t>(at * KeyCount / count);
            ranges.push_back({{from, static_cast<std::uint16_t>((at + 1) * KeyCount / count - 1)}, servers[at].id});
        }
        if (isKeyed) {
            dispatcher.setOwners(KeyOwners(ranges), load.now);
        }
    };
    share(40);
    load.run(2 * Second, 1'500);
    for (const UpstreamServer &server : serversOf("b", 40, Milliseconds(9'000))) {
        servers.push_back(server);
    }
    dispatcher.setServers(servers, load.now);
    share(80);
    load.arrived.clear();
    load.run(9 * Second, 1'500);
    for (const UpstreamServer &server : serversOf("b", 40, Milliseconds(0))) {
        INFO(server.id << " got " << load.arrived[server.id].size());
        CHECK(mostInSecond(load.arrived[server.id]) <= 14);
        CHECK(load.arrived[server.id].size() >= 9 * 3); // of the 4 a second that it tolerates
    }
    load.run(2 * Second, 1'500);
    load.arrived.clear();
    load.run(3 * Second, 1'500);
    for (const UpstreamServer &server : serversOf("b", 40, Milliseconds(0))) {
        CHECK(load.arrived[server.id].size() >= 3); // a server without a request for three seconds counts as starved
    }
}

TEST_CASE("a request to a cold owner beyond its pace waits as long as its deadline allows or is refused at once")
{
    Dispatcher dispatcher({});
    dispatcher.pace().setLimits(limits(), 1);
    dispatcher.setServers(serversOf("a", 1, Milliseconds(0)), Start);
    dispatcher.setOwners(KeyOwners({{{0, 65'535}, "a0"}}), Start);
    dispatcher.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
    std::size_t refused = 0;
    for (Ticket ticket = 1; ticket <= 10; ++ticket) {
        WorkItem work;
        work.ticket = ticket;
        work.key = static_cast<std::uint16_t>(7);
        work.targetBy = Start + Milliseconds(500);
        work.deadline = Start + Milliseconds(1'700);
        dispatcher.submit(work, Start);
        for (const DispatchDecision &decision : dispatcher.take()) {
            const auto *rejection = std::get_if<Rejection>(&decision);
            REQUIRE(rejection != nullptr);
            CHECK(rejection->retryAfter > Milliseconds(100));
            ++refused;
        }
    }
    // The first request may be sent after a second, the next ones at distances of 250 ms.
    CHECK(dispatcher.waiting() >= 1);
    CHECK(dispatcher.waiting() <= 4);
    CHECK(refused + dispatcher.waiting() == 10);
}

TEST_CASE("a host that may send nothing to cold servers refuses requests at once when all are cold")
{
    // Guards against: the requests wait for a server until their deadlines.
    const bool isKeyed = GENERATE(false, true);
    Dispatcher dispatcher({});
    dispatcher.pace().setLimits(limits(), 1.0 / 71);
    dispatcher.setServers(serversOf("a", 3, Milliseconds(9'000)), Start);
    if (isKeyed) {
        dispatcher.setOwners(KeyOwners({{{0, 65'535}, "a0"}}), Start);
    }
    WorkItem work;
    work.ticket = 1;
    work.targetBy = Start + Milliseconds(500);
    work.deadline = Start + Milliseconds(6'000);
    if (isKeyed) {
        work.key = static_cast<std::uint16_t>(7);
    }
    dispatcher.submit(work, Start);
    const auto decisions = dispatcher.take();
    REQUIRE(decisions.size() == 1);
    const auto *rejection = std::get_if<Rejection>(&decisions.front());
    REQUIRE(rejection != nullptr);
    CHECK(rejection->retryAfter >= Milliseconds(7'000)); // they are cold for ten seconds
}

TEST_CASE("the pace holds over a change of the leader, the store's absence and hosts without a leader")
{
    WarmupPace pace;
    pace.setLimits(limits(), 1);
    const auto sentWithin = [&pace](TimePoint from, Milliseconds length) {
        std::size_t sent = 0;
        for (TimePoint now = from; now < from + length; now += Milliseconds(5)) {
            while (pace.admits("a0", now)) {
                pace.onSent("a0", Seconds(0.1), now);
                ++sent;
            }
        }
        return sent;
    };
    SECTION("a new leader sends nothing for a second, and adopted requests count")
    {
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
        for (int adopted = 0; adopted < 3; ++adopted) {
            pace.onSent("a0", Seconds(0.1), Start);
        }
        CHECK(sentWithin(Start, Milliseconds(1'700)) == 0);
        CHECK(sentWithin(Start + Milliseconds(1'700), Milliseconds(3'000)) <= 13);
    }
    SECTION("a server that turns cold is paced until its entry says otherwise, also while the store is away")
    {
        pace.setServers(serversOf("a", 1, Milliseconds(0)), Start);
        CHECK(pace.admits("a0", Start));
        CHECK_FALSE(pace.isCold("a0", Start));
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
        pace.advance(Start, Start + Milliseconds(9'500)); // the store has been away since then
        CHECK(pace.isCold("a0", Start + Milliseconds(9'500)));
        CHECK(sentWithin(Start, Milliseconds(9'000)) <= 36);
        CHECK_FALSE(pace.isCold("a0", Start + Milliseconds(10'001)));
    }
    SECTION("an entry that is set again with an old value doesn't make the cold time longer")
    {
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start + Milliseconds(8'000));
        CHECK_FALSE(pace.isCold("a0", Start + Milliseconds(10'001)));
    }
    SECTION("a server of an evacuated zone is cold on return until an entry read later says otherwise")
    {
        std::vector<UpstreamServer> servers = serversOf("a", 1, Milliseconds(0));
        servers[0].evacuated = true;
        pace.setServers(servers, Start);
        servers[0].evacuated = false;
        pace.setServers(servers, Start + Second);
        pace.advance(Start + 2 * Second, Start + 2 * Second);
        CHECK(pace.isCold("a0", Start + 2 * Second));
        pace.advance(Start + 4 * Second, Start + 4 * Second);
        CHECK_FALSE(pace.isCold("a0", Start + 4 * Second));
    }
    SECTION("a server that returns to the list is cold until an entry read later says otherwise")
    {
        pace.setServers(serversOf("a", 2, Milliseconds(0)), Start);
        pace.setServers(serversOf("a", 1, Milliseconds(0)), Start + Second);
        pace.setServers(serversOf("a", 2, Milliseconds(0)), Start + 2 * Second);
        CHECK(pace.isCold("a1", Start + 3 * Second));
        CHECK_FALSE(pace.isCold("a0", Start + 3 * Second));
        pace.advance(Start + 5 * Second, Start + 5 * Second);
        CHECK_FALSE(pace.isCold("a1", Start + 5 * Second));
    }
    SECTION("a server that fails several requests is cold until an entry read later says otherwise")
    {
        pace.setServers(serversOf("a", 1, Milliseconds(0)), Start);
        for (unsigned failure = 0; failure < WarmupPace::SuspectFailures; ++failure) {
            CHECK_FALSE(pace.isCold("a0", Start));
            pace.onFailure("a0", true, Start, Start);
        }
        CHECK(pace.isCold("a0", Start + Second));
        pace.advance(Start + 3 * Second, Start + 3 * Second);
        CHECK_FALSE(pace.isCold("a0", Start + 3 * Second));
    }
    SECTION("without limits nothing is cold")
    {
        pace.setLimits({}, 1);
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
        CHECK(pace.admits("a0", Start));
        CHECK(pace.takeEvents().empty());
    }
    SECTION("a host without a leader may use its share only, and nothing below one request")
    {
        const std::size_t hosts = GENERATE(0U, 1U, 2U, 4U, 7U, 14U, 15U, 71U);
        INFO(hosts << " hosts");
        pace.setLimits(limits(), hosts == 0 ? 0.0 : 1.0 / static_cast<double>(hosts));
        pace.setServers(serversOf("b", 1, Milliseconds(0)), Start - Second);
        pace.setServers(serversOf("a", 1, Milliseconds(9'000)), Start);
        std::size_t most = 0;
        for (int second = 0; second < 9; ++second) {
            most = std::max(most, sentWithin(Start + second * Second, Second));
        }
        CHECK(most * hosts <= 14);
        CHECK((most > 0) == (hosts > 0 && hosts <= 14));
    }
}

} // namespace snipevalve
