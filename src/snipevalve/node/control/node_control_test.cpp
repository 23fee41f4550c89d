#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "snipevalve/node/control/node_control.hpp"
#include "snipevalve/store/store_era.hpp"

namespace snipevalve {

namespace {

constexpr const char *Other = "127.0.0.1:9";
constexpr const char *ServersPrefix = "servers/";

/// The store's content and era, as the test sets them.
struct StoreContent
{
    std::uint64_t era = 1;
    std::uint64_t revision = 100;
    bool isAway = false;
    bool refusesPlans = false;
    bool losesRenewals = false; ///< renewals of leases get no answer
    std::map<std::string, StoredValue> values;
    int leaderWrites = 0;
    int calls = 0;
    int serverReads = 0; ///< answered watch calls
    std::vector<StoreEvent> events; ///< those that watch calls report

    void put(const std::string &key, const std::string &value)
    {
        values[key] = {key, value, ++revision};
    }

    /// Changes a value so that watch calls report it.
    void putWatched(const std::string &key, const std::string &value)
    {
        put(key, value);
        events.push_back({values[key], false});
    }

    bool hasEvents(const std::string &prefix, std::uint64_t after) const
    {
        return std::any_of(events.begin(), events.end(), [&prefix, after](const StoreEvent &event) {
            return event.value.key.starts_with(prefix) && event.value.revision > after;
        });
    }

    void removeWatched(const std::string &key)
    {
        values.erase(key);
        events.push_back({{key, {}, ++revision}, true});
    }
};

StoreContent *content = nullptr;

/// A client of the content; its rules for eras are those of the platform's store client.
class FakeStore
{
public:
    FakeStore(asio::any_io_executor, std::string, Endpoint)
    {
    }

    std::uint64_t era() const
    {
        return m_era.known();
    }

    void observeEra(std::uint64_t)
    {
    }

    void setOnRestored(std::function<void(std::uint64_t)> onRestored)
    {
        m_onRestored = std::move(onRestored);
    }

    Awaitable<absl::StatusOr<StoredValue>> read(std::string key)
    {
        const absl::Status status = co_await answer(Delay);
        if (!status.ok()) {
            co_return status;
        }
        const auto value = content->values.find(key);
        co_return value == content->values.end() ? StoredValue{key, {}, 0} : value->second;
    }

    Awaitable<absl::StatusOr<StoredList>> list(std::string prefix)
    {
        const absl::Status status = co_await answer(Delay);
        if (!status.ok()) {
            co_return status;
        }
        StoredList list;
        list.revision = content->revision;
        for (const auto &[key, value] : content->values) {
            if (key.starts_with(prefix)) {
                list.values.push_back(value);
            }
        }
        co_return list;
    }

    Awaitable<absl::StatusOr<StoreEvents>> watch(std::string prefix, std::uint64_t revision, Milliseconds wait)
    {
        const absl::Status status = co_await answer(wait, [&prefix, revision]() {
            return content->hasEvents(prefix, revision);
        });
        if (!status.ok()) {
            co_return status;
        }
        content->serverReads += prefix == ServersPrefix ? 1 : 0;
        StoreEvents result{revision, {}};
        for (const StoreEvent &event : content->events) {
            if (event.value.key.starts_with(prefix) && event.value.revision > revision) {
                result.events.push_back(event);
                result.revision = event.value.revision;
            }
        }
        co_return result;
    }

    Awaitable<absl::StatusOr<WriteResult>> write(StoreWrite write)
    {
        content->leaderWrites += write.key.starts_with("snipevalve/leader/") ? 1 : 0;
        const absl::Status status = co_await answer(Delay);
        if (!status.ok()) {
            co_return status;
        }
        if (content->refusesPlans && write.key.starts_with(PlansPrefix)) {
            co_return absl::FailedPreconditionError("refused");
        }
        const auto value = content->values.find(write.key);
        const std::uint64_t revision = value == content->values.end() ? 0 : value->second.revision;
        if (revision != write.expectedRevision) {
            co_return WriteResult{false, value == content->values.end() ? StoredValue() : value->second};
        }
        if (write.remove) {
            content->values.erase(write.key);
            co_return WriteResult{true, {}};
        }
        content->put(write.key, write.value);
        co_return WriteResult{true, content->values[write.key]};
    }

    Awaitable<absl::StatusOr<std::uint64_t>> createLease(Milliseconds)
    {
        const absl::Status status = co_await answer(Delay);
        if (!status.ok()) {
            co_return status;
        }
        co_return std::uint64_t(7);
    }

    Awaitable<absl::Status> renewLease(std::uint64_t)
    {
        const absl::Status status = co_await answer(Delay);
        co_return content->losesRenewals ? absl::UnavailableError("no answer") : status;
    }

private:
    static constexpr Milliseconds Delay{5};

    /// @param isDone ends the wait early
    Awaitable<absl::Status> answer(Milliseconds wait, std::function<bool()> isDone = {})
    {
        ++content->calls;
        const std::uint64_t begunIn = m_era.known();
        asio::steady_timer timer(co_await asio::this_coro::executor);
        const TimePoint end = Clock::now() + wait;
        // A waiting call is cut when the store goes away or is restored.
        const std::uint64_t actualEra = content->era;
        do {
            timer.expires_after(Delay);
            co_await timer.async_wait(asio::use_awaitable);
            if (content->isAway || content->era != actualEra) {
                co_return absl::UnavailableError("away");
            }
        } while (Clock::now() < end && !(isDone && isDone()));
        if (m_era.observe(content->era)) {
            m_onRestored(content->era);
        }
        co_return m_era.check(begunIn, content->era);
    }

    StoreEra m_era;
    std::function<void(std::uint64_t)> m_onRestored;
};

struct FakePlatform
{
    using Store = FakeStore;

    static inline std::uint16_t serverPort = 9; ///< of all servers

    static std::string configKey()
    {
        return "op/config";
    }

    static std::string operatorPrefix()
    {
        return "op/";
    }

    static std::optional<std::string> evacuatedZone(std::string_view key)
    {
        constexpr std::string_view Prefix = "op/evacuate/";
        return key.starts_with(Prefix) ? std::optional(std::string(key.substr(Prefix.size()))) : std::nullopt;
    }

    static std::string serversPrefix()
    {
        return ServersPrefix;
    }

    /// The text names the services, each followed by a comma; those that begin with k are keyed.
    static absl::StatusOr<ParsedConfig> parseConfig(std::string_view text)
    {
        auto config = std::make_shared<GatewayConfig>();
        config->version = 1;
        for (std::string_view rest = text; !rest.empty();) {
            const std::string name(rest.substr(0, rest.find(',')));
            rest.remove_prefix(name.size() + 1);
            config->services[name].name = name;
            config->services[name].keyed = name.starts_with("k");
        }
        ParsedConfig parsed;
        parsed.config = config;
        return parsed;
    }

    /// The text is the service and, after an @, the zone.
    static absl::StatusOr<ServerEntry> parseServer(std::string_view id, std::string_view text)
    {
        ServerEntry entry;
        entry.server.id = std::string(id);
        entry.server.service = std::string(text.substr(0, text.find('@')));
        entry.server.zone = text.find('@') == text.npos ? std::string() : std::string(text.substr(text.find('@') + 1));
        entry.server.incarnation = 1;
        entry.server.slots = 2;
        entry.heartbeat = 1;
        return entry;
    }

    template <typename KeyCall>
    static HttpCall toCall(const KeyCall &)
    {
        HttpCall call;
        call.endpoint = {"127.0.0.1", serverPort};
        call.timeout = Milliseconds(100);
        return call;
    }

    static KeyCallOutcome toCallOutcome(const absl::StatusOr<HttpReply> &)
    {
        return KeyCallOutcome::NoAnswer;
    }

    static std::string handoverOf(const HttpReply &)
    {
        return {};
    }

    static ParsedServerNotice parseServerNotice(const http::response_header<> &)
    {
        return {};
    }
};

/// A port that no other test run of this machine listens on.
std::uint16_t unusedPort()
{
    asio::io_context context;
    const Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/// One host's control state beside a store that the test controls.
class Fixture
{
public:
    Fixture()
    {
        content = &store;
        settings.host = "self";
        settings.run = "self#1";
        settings.control = *parseEndpoint("127.0.0.1:" + std::to_string(unusedPort()));
        settings.controlListen = settings.control;
        settings.isFirstStart = true;
    }

    void start()
    {
        typename NodeControl<FakePlatform>::Outputs outputs;
        outputs.config = [](auto) {};
        outputs.leaders = [this](std::map<std::string, Endpoint> announced) {
            leaders = std::move(announced);
        };
        outputs.evacuations = [this](const Evacuations &known) {
            evacuations = known;
        };
        outputs.view = [this](ServiceView view) {
            servers[view.service].clear();
            marked.clear();
            for (const UpstreamServer &server : view.servers) {
                servers[view.service].insert(server.id);
                if (server.evacuated) {
                    marked.insert(server.id);
                }
            }
        };
        outputs.requestConfig = [](auto) {};
        outputs.deputyConsent = [](auto) {};
        outputs.knownView = [](auto) {};
        outputs.readKnownViews = [](auto, auto) {};
        outputs.needsViews = [this]() {
            return needsViews;
        };
        control = std::make_unique<NodeControl<FakePlatform>>(context.get_executor(), settings, outputs, 1);
        control->addTo(supervisor);
        supervisor.start();
    }

    void runFor(Milliseconds time)
    {
        context.run_for(time);
    }

    /// Another leader's heartbeats, with no change of the leaders.
    void runWithHeartbeats(Milliseconds time)
    {
        const TimePoint end = Clock::now() + time;
        while (Clock::now() < end) {
            StoreUpdate update;
            update.storeReadTime = Clock::now();
            update.configVersion = 1;
            control->onLeaderUpdate(update);
            runFor(Milliseconds(100));
        }
    }

    void relay(LeaderTable table)
    {
        StoreUpdate update;
        update.storeReadTime = Clock::now();
        update.configVersion = 1;
        update.leaders = std::move(table);
        control->onLeaderUpdate(update);
    }

    StoreContent store;
    NodeSettings settings;
    asio::io_context context{1};
    Supervisor supervisor{context.get_executor(), "test", {}, []() {}};
    std::unique_ptr<NodeControl<FakePlatform>> control;
    std::map<std::string, Endpoint> leaders;
    Evacuations evacuations; ///< as passed to the traffic thread
    bool needsViews = false;
    std::map<std::string, std::set<std::string>> servers; ///< by service: of the last view
    std::set<std::string> marked; ///< the evacuated servers of the last view
};

/// Accepts the connections of calls to servers and answers none. It is read between the host's steps.
class SilentServer
{
public:
    SilentServer()
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        m_acceptor.non_blocking(true);
        FakePlatform::serverPort = m_acceptor.local_endpoint().port();
    }

    ~SilentServer()
    {
        FakePlatform::serverPort = 9;
    }

    /// @return whether a connection has been opened since the last call
    bool accept()
    {
        ErrorCode error;
        Tcp::socket socket = m_acceptor.accept(error);
        if (!error) {
            m_connections.push_back(std::move(socket));
        }
        return !error;
    }

    /// @return whether the newest connection has bytes to read
    bool hasRequest()
    {
        ErrorCode error;
        return !m_connections.empty() && m_connections.back().available(error) > 0;
    }

private:
    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    std::vector<Tcp::socket> m_connections;
};

std::string leaderText(const char *address)
{
    return std::string(R"({"host":"other","address":")") + address + "\"}";
}

} // namespace

TEST_CASE("A leader entry that can't be read names no leader, and the host takes the service over in its place")
{
    const std::vector<std::string> entries = {
        "",
        "7",
        std::string(100'000, '[') + std::string(100'000, ']'),
        R"({"host":"other"})",
        R"({"host":"other","address":7})",
        R"({"host":"other","address":null})",
        R"({"host":"other","address":{"a":[1e300]}})",
        R"({"host":"other","address":"127.0.0.1:0"})",
        R"({"host":"other","address":"127.0.0.1:65536"})",
        R"({"host":"other","address":"127.0.0.1:-1"})",
        R"({"host":"other","address":1e999})",
    };
    for (const std::string &entry : entries) {
        INFO(entry.substr(0, 60));
        Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
        host.store.put("op/config", "a,b,");
        host.store.put("snipevalve/leader/1/a", entry);
        host.store.put("snipevalve/leader/1/b", leaderText("127.0.0.1:8"));
        host.start();
        host.runFor(Milliseconds(1'000));
        CHECK(host.leaders["a"] == host.settings.control);
        CHECK(host.leaders["b"] == *parseEndpoint("127.0.0.1:8"));
        CHECK(host.store.leaderWrites <= 3);
        CHECK(host.supervisor.restarts() == 0);
    }
}

TEST_CASE("A leader entry whose host is no text still names the leader's address")
{
    for (const char *name : {"7", "null", "[]", R"("a\u0000b")"}) {
        INFO(name);
        Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
        host.store.put("op/config", "a,");
        host.store.put("snipevalve/leader/1/a", std::string(R"({"address":"127.0.0.1:8","host":)") + name + "}");
        host.start();
        host.runFor(Milliseconds(500));
        CHECK(host.leaders["a"] == *parseEndpoint("127.0.0.1:8"));
        CHECK(host.supervisor.restarts() == 0);
    }
}

TEST_CASE("A host that is told once of the new era's leaders knows them after it has confirmed the era")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    const Endpoint before = *parseEndpoint("127.0.0.1:8");
    const Endpoint after = *parseEndpoint(Other);
    host.store.put("op/config", "a,");
    host.store.put("snipevalve/leader/1/a", leaderText("127.0.0.1:8"));
    host.start();
    host.runFor(Milliseconds(300));
    REQUIRE(host.leaders["a"] == before);
    host.runWithHeartbeats(Milliseconds(3'000)); // the host's own watches end

    host.store.era = 2;
    host.store.revision = 50;
    host.store.values.erase("snipevalve/leader/1/a");
    host.store.put("snipevalve/leader/2/a", leaderText(Other));
    host.relay({2, 51, {{"a", {after, 51}}}});
    host.runWithHeartbeats(Milliseconds(5'000));
    CHECK(host.leaders["a"] == after);
}

TEST_CASE("A suspended leader whose service another host has taken over stops, though only heartbeats come")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    host.store.put("op/config", "a,b,");
    host.store.put("snipevalve/leader/1/a", leaderText("127.0.0.1:8"));
    host.start();
    host.runFor(Milliseconds(2'000));
    REQUIRE(host.leaders["b"] == host.settings.control);
    host.runWithHeartbeats(Milliseconds(2'500)); // the leader of the first service reads the store for all

    host.store.isAway = true;
    host.runWithHeartbeats(Milliseconds(500));
    host.store.era = 2;
    host.store.revision = 50;
    std::erase_if(host.store.values, [](const auto &entry) {
        return entry.first.starts_with("snipevalve/leader/1/");
    });
    host.store.put("snipevalve/leader/2/a", leaderText("127.0.0.1:8"));
    host.store.put("snipevalve/leader/2/b", leaderText(Other));
    host.relay({2, 52, {{"a", {*parseEndpoint("127.0.0.1:8"), 51}}, {"b", {*parseEndpoint(Other), 52}}}});
    host.runWithHeartbeats(Milliseconds(1'500)); // this host's path to the store is still cut
    host.store.isAway = false;
    host.runWithHeartbeats(Milliseconds(3'000));
    host.store.leaderWrites = 0;
    host.runWithHeartbeats(Milliseconds(2'000));
    CHECK(host.leaders["b"] == *parseEndpoint(Other));
    CHECK(host.store.leaderWrites <= 2);
}

TEST_CASE("A leader that knew of earlier leaders takes no restored store without plans for a first start")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    host.store.put("op/config", "k,");
    host.store.put("servers/s1", "k");
    KeyPlan earlier;
    earlier.term = 65'537;
    earlier.version = 1;
    earlier.ranges = {{{0, 65'535}, {"s2", 1}}};
    host.store.put("snipevalve/plan/1/k", toText(earlier));
    host.store.refusesPlans = true;
    host.start();
    host.runFor(Milliseconds(1'500));
    REQUIRE(host.leaders["k"] == host.settings.control);

    host.store.era = 2;
    host.store.revision = 50;
    host.store.refusesPlans = false;
    std::erase_if(host.store.values, [](const auto &entry) {
        return entry.first.starts_with("snipevalve/leader/") || entry.first.starts_with("snipevalve/plan/");
    });
    host.runFor(Milliseconds(4'000));
    const auto stored = host.store.values.find("snipevalve/plan/2/k");
    REQUIRE(stored != host.store.values.end());
    const KeyPlan plan = *parseKeyPlan(stored->second.value);
    CHECK(plan.ranges.empty()); // s2 may own the keys for 10 s more
    CHECK_FALSE(plan.unknownOwners.empty());
}

TEST_CASE("A host that knew of leaders only from others takes no restored store without plans for a first start")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    host.settings.seeds = {*parseEndpoint(Other)};
    host.settings.processorShare = 0.1;
    host.store.put("op/config", "k,");
    host.store.put("servers/s1", "k");
    host.start();
    StoreUpdate update;
    update.configVersion = 1;
    update.storeReadTime = Clock::now();
    update.leaders = LeaderTable{1, 105, {{"k", {*parseEndpoint(Other), 105}}}};
    update.evacuations = Evacuations{1, 104, {}};
    update.change = changeBetween(nullptr, *FakePlatform::parseConfig("k,")->config);
    host.control->onLeaderUpdate(update);
    host.runWithHeartbeats(Milliseconds(2'000));
    REQUIRE(host.store.calls == 0);

    // The leader and its plan are lost with the earlier era.
    host.store.era = 2;
    host.store.revision = 50;
    host.runFor(Milliseconds(7'000));
    const auto stored = host.store.values.find("snipevalve/plan/2/k");
    REQUIRE(stored != host.store.values.end());
    const KeyPlan plan = *parseKeyPlan(stored->second.value);
    CHECK(plan.ranges.empty()); // another server may own the keys for 12.6 s
    CHECK_FALSE(plan.unknownOwners.empty());
}

TEST_CASE("A restarted host gives up what it led before, though another host tells it of that before the store does")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    host.settings.seeds = {*parseEndpoint(Other)};
    host.settings.processorShare = 0.1;
    host.store.put("op/config", "a,");
    host.store.put("snipevalve/leader/1/a", leaderText(toString(host.settings.control).c_str()));
    const std::uint64_t revision = host.store.revision;
    host.start();
    host.relay({1, revision, {{"a", {host.settings.control, revision}}}});
    host.runFor(Milliseconds(200));
    CHECK_FALSE(host.store.values.contains("snipevalve/leader/1/a"));
}

TEST_CASE("A removed server that a copy of the store still names is not used while the store can't be read")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    const std::set<std::string> all = {"s1", "s2"};
    const std::set<std::string> left = {"s2"};
    host.settings.heartbeatInterval = Milliseconds(200);
    host.needsViews = true;
    host.store.put("op/config", "a,");
    host.store.put("servers/s1", "a");
    host.store.put("servers/s2", "a");
    host.start();
    host.runFor(Milliseconds(1'500));
    REQUIRE(host.servers["a"] == all);

    host.store.era = 2;
    host.store.values.erase("servers/s1");
    host.runFor(ServerDirectory::ReturnGrace + Milliseconds(1'000));
    REQUIRE(host.servers["a"] == left);

    host.store.era = 3;
    host.store.put("servers/s1", "a");
    host.runFor(Milliseconds(1'000));
    REQUIRE(host.servers["a"] == left);
    host.store.isAway = true;
    host.runFor(Milliseconds(4'000)); // a store that answers would have removed the entry
    CHECK(host.servers["a"] == left);
    host.store.serverReads = 0;
    host.store.isAway = false;
    const TimePoint end = Clock::now() + Milliseconds(15'000);
    while (host.servers["a"] != all && Clock::now() < end) {
        host.runFor(Milliseconds(50));
    }
    CHECK(host.servers["a"] == all);
    CHECK(host.store.serverReads >= 2); // after the first one, the store may still remove the entry
}

TEST_CASE("A host that is stopped while it connects to a server sends no grant after the end of its lease")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    SilentServer server;
    host.store.put("op/config", "k,");
    host.store.put("servers/s1", "k");
    host.start();
    const TimePoint end = Clock::now() + Milliseconds(8'000);
    bool isConnected = false;
    while (!isConnected && Clock::now() < end) {
        host.context.run_one_for(Milliseconds(10));
        isConnected = server.accept() && !server.hasRequest();
    }
    REQUIRE(isConnected);
    std::this_thread::sleep_for(Milliseconds(2'500)); // longer than the lease
    host.store.isAway = true;
    host.runFor(Milliseconds(50));
    CHECK_FALSE(server.hasRequest());
}

TEST_CASE("A leadership that was won with an earlier lease grants no keys under a new one")
{
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    SilentServer server;
    host.store.put("op/config", "b,k,");
    host.store.put("servers/s1", "k");
    host.store.put("snipevalve/leader/1/b", leaderText(Other));
    host.start();
    host.runFor(Milliseconds(4'000));
    REQUIRE(host.leaders["k"] == host.settings.control);
    REQUIRE(server.accept());
    while (server.accept()) {
    }

    host.store.losesRenewals = true;
    const std::uint64_t revision = host.store.values["snipevalve/leader/1/k"].revision;
    host.runFor(Milliseconds(2'500)); // the lease lapses
    while (server.accept()) {
    }
    host.store.put("snipevalve/leader/1/k", leaderText(Other)); // which the host does not learn
    host.store.values.erase("snipevalve/leader/1/b");
    host.relay({1, revision, {{"k", {host.settings.control, revision}}}});
    host.runFor(Milliseconds(1'500));
    REQUIRE(host.leaders["b"] == host.settings.control);
    CHECK_FALSE(server.accept());
}

TEST_CASE("A host marks the servers of evacuated zones until the store says that they are taken back")
{
    using Names = std::set<std::string>;
    Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
    const Names first = {"s1"};
    const Names second = {"s2"};
    host.needsViews = true;
    host.store.put("op/config", "a,");
    host.store.put("op/evacuate/", "{}"); // names no zone
    host.store.put("op/evacuate/zone-1", "not even JSON");
    host.store.put("op/evacuate/nowhere", "{}");
    host.store.put("servers/s1", "a@zone-1");
    host.store.put("servers/s2", "a@zone-2");
    host.start();
    host.runFor(Milliseconds(1'500));
    CHECK(host.evacuations.zones == Names{"zone-1", "nowhere"});
    CHECK(host.marked == first);

    host.store.putWatched("op/evacuate/zone-2", "{}"); // no server would be left
    host.runFor(Milliseconds(500));
    CHECK(host.evacuations.zones.size() == 3);
    CHECK(host.marked.empty());

    host.store.removeWatched("op/evacuate/zone-1");
    host.runFor(Milliseconds(500));
    CHECK(host.marked == second);

    host.store.isAway = true; // what is known stays in force
    host.runFor(Milliseconds(3'000));
    CHECK(host.marked == second);

    host.store.era = 2; // a copy from before the last two changes
    host.store.revision = 50;
    host.store.events.clear();
    host.store.values.erase("op/evacuate/zone-2");
    host.store.put("op/evacuate/zone-1", "{}");
    host.runFor(Milliseconds(200));
    CHECK(host.marked == second);
    host.store.isAway = false;
    host.runFor(Milliseconds(3'000));
    CHECK(host.marked == first);
    CHECK(host.evacuations.era == 2);

    host.store.values.erase("op/evacuate/zone-1"); // while the host reads nothing: the next list lacks the key
    host.runWithHeartbeats(Milliseconds(500));
    host.store.era = 3;
    host.runFor(Milliseconds(3'000));
    CHECK(host.marked.empty());
}

TEST_CASE("A host that leaders tell of evacuations reads no store for them; one that they do not tell reads it")
{
    for (const bool isTold : {true, false}) {
        INFO("told " << isTold);
        Fixture &host = *new Fixture; // never destroyed, as suspended coroutines refer to each other
        host.settings.seeds = {*parseEndpoint(Other)};
        host.settings.processorShare = 0.1;
        host.store.put("op/config", "a,");
        host.store.put("op/evacuate/zone-1", "{}");
        host.store.put("snipevalve/leader/1/a", leaderText(Other));
        host.start();
        StoreUpdate update;
        update.configVersion = 1;
        update.storeReadTime = Clock::now();
        update.leaders = LeaderTable{1, 105, {{"a", {*parseEndpoint(Other), 105}}}};
        update.change = changeBetween(nullptr, *FakePlatform::parseConfig("a,")->config);
        if (isTold) {
            update.evacuations = Evacuations{1, 104, {"zone-1"}};
        }
        host.control->onLeaderUpdate(update);
        host.runWithHeartbeats(Milliseconds(2'500));
        CHECK(host.evacuations.zones == std::set<std::string>{"zone-1"});
        CHECK((host.store.calls == 0) == isTold);
    }
}

} // namespace snipevalve
