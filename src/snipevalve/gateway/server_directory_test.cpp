#include <functional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "snipevalve/gateway/gateway_config.hpp"
#include "snipevalve/gateway/server_directory.hpp"

namespace snipevalve {

namespace {

const TimePoint Start{std::chrono::hours(1)};

ServerEntry entryOf(const std::string &id, std::int64_t heartbeat = 1, std::int64_t incarnation = 1,
                    bool draining = false)
{
    ServerEntry entry;
    entry.server.id = id;
    entry.server.service = "ledger";
    entry.server.incarnation = incarnation;
    entry.server.draining = draining;
    entry.heartbeat = heartbeat;
    return entry;
}

} // namespace

TEST_CASE("entries that expired in an outage are dropped only if they do not reappear within the grace time")
{
    struct Case
    {
        std::string name;
        bool afterOutage;
        Milliseconds later;
        bool comesBack;
        std::size_t left;
    };
    const std::vector<Case> cases = {
        {"removed on a day without an outage", false, Milliseconds(0), false, 0},
        {"expired in an outage, within the grace time", true, Milliseconds(2'000), false, 1},
        {"expired in an outage, after the grace time", true, Milliseconds(2'300), false, 0},
        {"reappeared within the grace time", true, Milliseconds(2'300), true, 1},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        ServerDirectory directory;
        directory.onEntry("a", entryOf("a", 1), Start);
        if (each.afterOutage) {
            directory.onStoreRecovered(Start);
        }
        directory.onListed({}, Start + Milliseconds(1));
        if (each.comesBack) {
            directory.onEntry("a", entryOf("a", 2), Start + Milliseconds(2));
        }
        directory.advance(Start + each.later, Start + each.later);
        CHECK(directory.serversOf("ledger").size() == each.left);
    }
}

TEST_CASE("an entry that can't be read removes its server, and an older incarnation is ignored")
{
    ServerDirectory directory;
    directory.onEntry("a", entryOf("a", 1, 5), Start);
    directory.onEntry("a", entryOf("a", 2, 4), Start);
    CHECK(directory.serversOf("ledger").front().incarnation == 5);
    directory.onEntry("a", std::nullopt, Start);
    CHECK(directory.size() == 0);
}

TEST_CASE("an entry that is older than what is known of its server is no news")
{
    enum class State {
        Absent,
        Ready,
        Draining,
    };
    using Step = std::function<void(ServerDirectory &)>;
    constexpr Milliseconds Heartbeat(500);
    constexpr Milliseconds Silence = 3 * Heartbeat + Milliseconds(2'000);
    const auto at = [](Milliseconds after, std::int64_t heartbeat, bool draining = false, std::int64_t run = 1) {
        return [=](ServerDirectory &directory) {
            directory.onEntry("a", entryOf("a", heartbeat, run, draining), Start + after);
        };
    };
    const auto ready = [at](std::int64_t heartbeat) {
        return at(Milliseconds(0), heartbeat);
    };
    const auto draining = [at](std::int64_t heartbeat) {
        return at(Milliseconds(0), heartbeat, true);
    };
    const auto secondRun = [at](std::int64_t heartbeat) {
        return at(Milliseconds(0), heartbeat, false, 2);
    };
    const Step removed = [](ServerDirectory &directory) {
        directory.onRemoved("a", Start);
    };
    const Step restored = [](ServerDirectory &directory) {
        directory.onStoreRecovered(Start);
    };
    const Step notListed = [](ServerDirectory &directory) {
        directory.onListed({}, Start);
    };
    const Step listed = [](ServerDirectory &directory) {
        directory.onListed({"a"}, Start);
    };
    const Step cleared = [](ServerDirectory &directory) {
        directory.clear(Start);
    };
    const auto view = [](std::vector<ServerEntry> entries) {
        return [entries](ServerDirectory &directory) {
            std::vector<UpstreamServer> servers;
            for (const ServerEntry &entry : entries) {
                servers.push_back(entry.server);
            }
            directory.noteView("ledger", servers, Start);
        };
    };
    const Step otherView = [](ServerDirectory &directory) {
        directory.noteView("debits", {}, Start);
    };
    const Step unreadable = [](ServerDirectory &directory) {
        directory.onEntry("a", std::nullopt, Start);
    };
    const auto after = [](Milliseconds time) {
        return [time](ServerDirectory &directory) {
            directory.advance(Start + time, Start + time);
        };
    };
    const auto unreadFor = [](Milliseconds time) {
        return [time](ServerDirectory &directory) {
            directory.advance(Start + time, Start);
        };
    };
    const auto readAgainAfter = [](Milliseconds time) {
        return [time](ServerDirectory &directory) {
            directory.onReadAgain(Start + time);
        };
    };
    struct Case
    {
        std::string name;
        std::vector<Step> steps;
        State state;
    };
    const std::vector<Case> cases = {
        {"a copy from before the drain", {ready(3), draining(5), ready(3)}, State::Draining},
        {"the same entry again", {draining(5), draining(5)}, State::Draining},
        {"an old draining entry after a newer one", {ready(5), draining(4)}, State::Ready},
        {"a drain does not end in its run", {draining(5), ready(6)}, State::Draining},
        {"a new run does not drain", {draining(5), secondRun(1)}, State::Ready},
        {"a copy from before the new run", {ready(9), secondRun(1), ready(9)}, State::Ready},
        {"a copy from before the new run, which drains", {secondRun(1), draining(9)}, State::Ready},
        {"a copy from before the removal", {ready(5), removed, ready(3)}, State::Absent},
        {"the last entry again after the removal", {ready(5), removed, ready(5)}, State::Absent},
        {"a copy from before the removal of a later run", {secondRun(1), removed, ready(9)}, State::Absent},
        {"a server that was silent and is back", {ready(5), removed, ready(6)}, State::Ready},
        {"one that was draining and silent and is back", {draining(5), removed, ready(6)}, State::Draining},
        {"a new run after the removal", {draining(5), removed, secondRun(1)}, State::Ready},
        {"not in the copy", {ready(5), restored, notListed, after(Milliseconds(2'100))}, State::Ready},
        {"not in the copy and not back", {ready(5), restored, notListed, after(Milliseconds(2'200))}, State::Absent},
        {"not in the copy, back late",
         {ready(5), restored, notListed, after(Milliseconds(2'200)), ready(6)},
         State::Ready},
        {"draining, not in the copy", {draining(5), restored, notListed, after(Milliseconds(2'100))}, State::Draining},
        {"draining, from the copy after a pause of the watch",
         {draining(5), cleared, ready(3), listed},
         State::Draining},
        {"the same entry after a pause of the watch", {ready(5), cleared, ready(5), listed}, State::Ready},
        {"gone after a pause of the watch, then in a copy", {ready(5), cleared, notListed, ready(3)}, State::Absent},
        {"draining, unreadable, then in a copy", {draining(5), unreadable, ready(3)}, State::Draining},
        {"draining in the last leader's view", {view({entryOf("a", 0, 1, true)}), ready(3), listed}, State::Draining},
        {"an older run than in the last leader's view", {view({entryOf("a", 0, 2)}), ready(3), listed}, State::Absent},
        {"ready in the last leader's view", {view({entryOf("a", 0)}), ready(3), listed}, State::Ready},
        {"not in the last leader's view", {view({}), ready(3), listed}, State::Absent},
        {"not in that view, then with a newer heartbeat", {view({}), ready(3), listed, ready(4)}, State::Ready},
        {"not in that view, but the store keeps the entry", {view({}), ready(3), listed, after(Silence)}, State::Ready},
        {"not in that view, and the store removes the entry",
         {view({}), ready(3), listed, removed, after(Silence)},
         State::Absent},
        {"registered after that view's list", {view({}), notListed, ready(1)}, State::Ready},
        {"no view of its service", {otherView, ready(3), listed}, State::Ready},
        {"known here, no longer in the last leader's view",
         {ready(5), cleared, view({}), ready(3), listed},
         State::Absent},
        {"removed here, but in the last leader's view",
         {ready(5), removed, view({entryOf("a", 0)}), ready(5), listed},
         State::Ready},
        {"an old entry that the store keeps is of a living server",
         {ready(5), removed, ready(3), after(Silence)},
         State::Ready},
        {"the same, but it was draining", {draining(5), removed, ready(3), after(Silence)}, State::Draining},
        {"the same, but the store may still remove it",
         {ready(5), removed, ready(3), after(Silence - Milliseconds(1))},
         State::Absent},
        {"the same, but the store can't be read", {ready(5), removed, ready(3), unreadFor(Silence)}, State::Absent},
        {"the same, after an outage in which the store may have removed nothing",
         {ready(5), removed, ready(3), readAgainAfter(Silence), after(2 * Silence - Milliseconds(1))},
         State::Absent},
        {"the same, and the store keeps it after the outage",
         {ready(5), removed, ready(3), readAgainAfter(Silence), after(2 * Silence)},
         State::Ready},
        {"an old entry that the store has removed",
         {ready(5), removed, ready(3), removed, after(Silence)},
         State::Absent},
        {"known while it is retained",
         {ready(5), removed, after(ServerDirectory::PastServerRetention - Milliseconds(1)), ready(3)},
         State::Absent},
        {"forgotten after that",
         {ready(5), removed, after(ServerDirectory::PastServerRetention), ready(3)},
         State::Ready},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        ServerDirectory directory(Heartbeat);
        for (const Step &step : each.steps) {
            step(directory);
        }
        const std::vector<UpstreamServer> servers = directory.serversOf("ledger");
        State state = servers.empty() ? State::Absent : State::Ready;
        state = !servers.empty() && servers.front().draining ? State::Draining : state;
        CHECK(state == each.state);
    }
}

TEST_CASE("the number of past servers that are remembered is bounded, and the latest are kept")
{
    constexpr int Excess = 10;
    const int count = static_cast<int>(ServerDirectory::MaxPastServers) + Excess;
    ServerDirectory directory;
    for (int server = 0; server < count; ++server) {
        const std::string id = std::to_string(server);
        directory.onEntry(id, entryOf(id, 5), Start);
        directory.onRemoved(id, Start + Milliseconds(server));
    }
    directory.advance(Start + Milliseconds(count), Start);
    for (int server = 0; server < count; ++server) {
        const std::string id = std::to_string(server);
        directory.onEntry(id, entryOf(id, 3), Start);
    }
    CHECK(directory.size() == Excess);
}

TEST_CASE("a shorter warm-up time alone does not count as a change, a longer one does")
{
    // Guards against: nobody learns that a running server has become cold.
    ServerDirectory directory;
    std::int64_t heartbeat = 0;
    const auto isChangedBy = [&directory, &heartbeat](Milliseconds warmupLeft, bool isDraining) {
        ServerEntry entry = entryOf("a", ++heartbeat, 1, isDraining);
        entry.server.warmupLeft = warmupLeft;
        directory.onEntry("a", entry, Start);
        return directory.advance(Start, Start);
    };
    CHECK(isChangedBy(Milliseconds(1'500), false)); // new
    CHECK_FALSE(isChangedBy(Milliseconds(500), false));
    CHECK_FALSE(isChangedBy(Milliseconds(0), false));
    CHECK_FALSE(isChangedBy(Milliseconds(0), false));
    CHECK(isChangedBy(Milliseconds(8'000), false));
    CHECK(directory.serversOf("ledger").front().warmupLeft == Milliseconds(8'000));
    CHECK_FALSE(isChangedBy(Milliseconds(7'000), false));
    CHECK(isChangedBy(Milliseconds(6'000), true));
}

TEST_CASE("the longest matching prefix among the host's routes is selected")
{
    GatewayConfig config;
    for (const std::string prefix : {"/a/", "/a/b/", "/"}) {
        GatewayRoute route;
        route.name = prefix;
        route.host = "x.example";
        route.pathPrefix = prefix;
        config.addRoute(route);
    }
    struct Case
    {
        std::string host;
        std::string path;
        std::string route; ///< empty: none
    };
    const std::vector<Case> cases = {
        {"x.example", "/a/b/c", "/a/b/"},
        {"x.example", "/a/bc", "/a/"},
        {"x.example", "/z", "/"},
        {"y.example", "/a/", ""},
    };
    for (const Case &each : cases) {
        INFO(each.host << each.path);
        const GatewayRoute *route = config.routeFor(each.host, each.path);
        CHECK((route == nullptr ? "" : route->name) == each.route);
    }
}

} // namespace snipevalve
