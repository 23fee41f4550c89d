#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 100;
constexpr int HostCount = 3;

/// An entry of a server of `debits` at an address where nothing listens.
/// @param more further fields, or fields again; the last of two counts
std::string entryOf(std::uint8_t network, const std::string &more)
{
    return R"({"service":"debits","address":"127.)" + std::to_string(network)
        + R"(.9.250:8080","zone":"z","version":"v1","slots":2,"state":"ready","warmup_left_ms":0,"seq":4,)"
        + R"("born":1768000000000)" + more + "}";
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Entries that name no server to use, in the order of their keys.
std::vector<std::string> oddEntries(std::uint8_t network)
{
    constexpr std::size_t Levels = 20'000;
    const std::string host = "127." + std::to_string(network) + ".9.250:";
    std::vector<std::string> entries = {
        "",
        std::string("\0\xff\xfe", 3),
        "null",
        nested(Levels),
        std::string(Levels, '['),
        entryOf(network, R"(,"zone":"x)") + std::string(100'000, 'x'),
        entryOf(network, R"(,"zone":"\ud800")"),
        entryOf(network, ",\"zone\":\"\xff\""),
    };
    for (const char *field : {"service", "address", "state", "slots", "seq", "born", "warmup_left_ms"}) {
        const std::string name = std::string(R"(,")") + field + R"(":)";
        for (const std::string &value : {std::string("1e999"), std::string("-1"), std::string("18446744073709551616"),
                                         std::string("1e300"), std::string("{}"), nested(Levels)}) {
            entries.push_back(entryOf(network, name + value));
        }
    }
    for (const char *port : {"0", "65536", "-1", "", "99999999999999999999"}) {
        entries.push_back(entryOf(network, R"(,"address":")" + host + port + "\""));
    }
    return entries;
}

/// Changes hundreds of entries a second: valid ones of a service without routes, and odd ones.
class EntryWriter
{
public:
    EntryWriter(PlatformStandin &platform, std::uint8_t network)
        : m_platform(platform)
        , m_odd(oddEntries(network))
        , m_network(network)
    {
        for (std::size_t index = 0; index < m_odd.size(); ++index) {
            m_platform.putEntry(oddKey(index), m_odd[index]);
        }
    }

    ~EntryWriter()
    {
        m_isStopped = true;
        m_thread.join();
    }

    std::size_t changes() const
    {
        return m_changes;
    }

private:
    static constexpr std::size_t OtherServers = 300;
    static constexpr std::size_t Removed = 3; ///< of so many entries one is removed each time
    static constexpr Milliseconds RoundTime{200};

    static std::string oddKey(std::size_t index)
    {
        return "servers/odd-" + std::to_string(index);
    }

    void write()
    {
        for (std::size_t round = 1; !m_isStopped; ++round) {
            for (std::size_t index = 0; index < OtherServers; ++index) {
                const std::string key = "servers/other-" + std::to_string(index);
                if ((index + round) % Removed == 0) {
                    m_platform.removeEntry(key);
                } else {
                    m_platform.putEntry(key,
                                        entryOf(m_network, R"(,"service":"others","seq":)" + std::to_string(round)));
                }
            }
            for (std::size_t index = 0; index < m_odd.size(); ++index) {
                if ((index + round) % Removed == 0) {
                    m_platform.removeEntry(oddKey(index));
                } else {
                    m_platform.putEntry(oddKey(index), m_odd[index]);
                }
            }
            m_changes += OtherServers + m_odd.size();
            std::this_thread::sleep_for(RoundTime);
        }
    }

    PlatformStandin &m_platform;
    std::vector<std::string> m_odd;
    std::uint8_t m_network;
    std::atomic<bool> m_isStopped = false;
    std::atomic<std::size_t> m_changes = 0;
    std::thread m_thread{[this]() {
        write();
    }};
};

std::size_t arrivalsAt(const PlatformStandin &platform, const std::string &server)
{
    const std::vector<RequestArrival> arrivals = platform.arrivals();
    return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&server](const auto &arrival) {
        return arrival.server == server;
    }));
}

/// Sends several requests at a time, so that one server has not enough slots for them. @return the answers
std::vector<Answer> sendTogether(NodeDeployment &deployment, int host, int count)
{
    std::vector<std::future<Answer>> pending;
    for (int request = 0; request < count; ++request) {
        pending.push_back(std::async(std::launch::async, [&deployment, host]() {
            return deployment.sendRequest(host, "GET", "/v1/x");
        }));
    }
    std::vector<Answer> answers;
    for (std::future<Answer> &each : pending) {
        answers.push_back(each.get());
    }
    return answers;
}

/// Whether requests that a host gets reach the server.
bool uses(NodeDeployment &deployment, int host, const std::string &server)
{
    constexpr int Concurrent = 6;
    const std::size_t before = arrivalsAt(deployment.platform, server);
    return deployment.waitUntil(
        [&]() {
            sendTogether(deployment, host, Concurrent);
            return arrivalsAt(deployment.platform, server) > before;
        },
        StartTimeout);
}

/// Adds a server, which has to get requests, and removes it again: a bound later it must get none.
void checkFollows(NodeDeployment &deployment, const std::vector<int> &hosts, const std::string &server)
{
    INFO("with " << server);
    deployment.platform.addServer(server, "debits", false, Milliseconds(5));
    for (const int host : hosts) {
        INFO("host " << host);
        CHECK(uses(deployment, host, server));
    }
    deployment.platform.leave(server);
    constexpr Milliseconds DrainBound(2'000);
    std::this_thread::sleep_for(DrainBound);
    const std::size_t before = arrivalsAt(deployment.platform, server);
    constexpr Milliseconds Observed(1'500);
    const TimePoint end = Clock::now() + Observed;
    std::size_t asked = 0;
    std::size_t answered = 0;
    while (Clock::now() < end) {
        for (const int host : hosts) {
            for (const Answer &answer : sendTogether(deployment, host, 4)) {
                ++asked;
                answered += answer.status == 200 ? 1 : 0;
            }
        }
    }
    CHECK(arrivalsAt(deployment.platform, server) == before);
    CHECK(asked > 30);
    CHECK(answered == asked);
}

void checkRunning(NodeDeployment &deployment, const std::vector<int> &hosts)
{
    for (const int host : hosts) {
        INFO("host " << host);
        CHECK(deployment.node(host).isRunning());
        for (const char *text : {"supervisor:", "event=failed", "event=lost prefix", "link: event=closed"}) {
            INFO(text);
            CHECK_FALSE(deployment.logContains(host, text));
        }
    }
}

int leaderHostOf(const NodeDeployment &deployment, const std::string &service)
{
    return deployment.platform.leaderOf(service).back() - '0';
}

} // namespace

TEST_CASE("hosts that read odd entries among hundreds of changing ones neither end nor stop following the servers",
          "[promise-3][promise-6]")
{
    NodeDeployment deployment("odd-entries", Network, 0);
    deployment.platform.putConfig(smallConfig(3, 1));
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(5));
    deployment.platform.addServer("debit-1", "debits", false, Milliseconds(5));
    deployment.platform.addServer("ledger-0", "ledger", true, Milliseconds(5));
    const EntryWriter writer(deployment.platform, Network); // the first lists have odd entries, too
    const std::string deepest = "servers/deepest";
    constexpr std::size_t MostLevels = 1'000'000;
    deployment.platform.putEntry(deepest, nested(MostLevels));
    std::vector<int> hosts;
    for (int host = 0; host < HostCount; ++host) {
        deployment.startNode(host);
        hosts.push_back(host);
    }
    for (const int host : hosts) {
        REQUIRE(uses(deployment, host, "debit-0"));
        REQUIRE(deployment.waitUntil(
            [&]() {
                return deployment.serves(host, 64 * host);
            },
            StartTimeout));
    }
    deployment.platform.removeEntry(deepest);
    checkFollows(deployment, hosts, "debit-2");
    deployment.platform.putEntry(deepest, nested(MostLevels)); // now as an event
    checkFollows(deployment, hosts, "debit-3");
    deployment.platform.removeEntry(deepest);
    checkRunning(deployment, hosts);

    const int leader = leaderHostOf(deployment, "debits");
    deployment.node(leader).kill(); // the next leader reads the whole list
    std::erase(hosts, leader);
    for (const int host : hosts) {
        CHECK(uses(deployment, host, "debit-1"));
    }
    checkFollows(deployment, hosts, "debit-4");
    for (const int host : hosts) {
        CHECK(deployment.node(host).isRunning());
        CHECK_FALSE(deployment.logContains(host, "supervisor:"));
        CHECK_FALSE(deployment.logContains(host, "event=failed"));
        CHECK(deployment.serves(host, 64 * host));
    }
    CHECK(deployment.platform.ownershipBreaches() == 0);
    CHECK(writer.changes() > 10'000);
    CHECK(deployment.logContains(leader, "event=unreadable server=odd-"));
}

TEST_CASE("an odd value over a server's own entry stops the use of that server only until its next entry",
          "[promise-6]")
{
    NodeDeployment deployment("odd-overwritten", Network + 1, 1);
    deployment.platform.putConfig(smallConfig(3, 1));
    deployment.platform.addServer("debit-0", "debits", false, Milliseconds(5));
    deployment.platform.addServer("debit-1", "debits", false, Milliseconds(5));
    REQUIRE(uses(deployment, 0, "debit-0"));
    REQUIRE(uses(deployment, 0, "debit-1"));
    for (const std::string &entry : oddEntries(Network + 1)) {
        deployment.platform.putEntry("servers/debit-1", entry);
        std::this_thread::sleep_for(Milliseconds(50));
    }
    CHECK(uses(deployment, 0, "debit-0"));
    CHECK(uses(deployment, 0, "debit-1"));
    checkRunning(deployment, {0});
}

TEST_CASE("a long text in an entry does not part hosts from their leader", "[promise-3]")
{
    constexpr std::uint8_t LongTextNetwork = Network + 2;
    NodeDeployment deployment("odd-long-text", LongTextNetwork, 2);
    deployment.platform.putConfig(smallConfig(3, 1));
    for (const char *id : {"debit-0", "debit-1", "debit-2", "debit-3"}) {
        deployment.platform.addServer(id, "debits", false, Milliseconds(20));
    }
    REQUIRE(uses(deployment, 0, "debit-0"));
    REQUIRE(uses(deployment, 1, "debit-0"));
    constexpr std::size_t LongestInOnePage = 700'000;
    deployment.platform.putEntry(
        "servers/long",
        entryOf(LongTextNetwork, R"(,"zone":")" + std::string(LongestInOnePage, 'z') + R"(","slots":1000)"));
    constexpr Milliseconds ReadTime(2'000);
    std::this_thread::sleep_for(ReadTime);
    constexpr int Concurrent = 24;
    constexpr int Rounds = 10;
    std::size_t answered = 0;
    for (int round = 0; round < Rounds; ++round) {
        for (int host = 0; host < 2; ++host) {
            for (const Answer &answer : sendTogether(deployment, host, Concurrent)) {
                answered += answer.status == 200 ? 1 : 0;
            }
        }
    }
    CHECK(answered == Concurrent * Rounds * 2);
    checkRunning(deployment, {0, 1});
}

} // namespace snipevalve::standins
