#include <list>

#include "process/small_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 32;

/// @brief Faults that are set on all servers repeatedly while callers send requests.
struct FaultCase
{
    std::string name;
    std::string faults;
    Milliseconds deadline{2000};
};

void setFaults(Deployment &deployment, const std::string &faults)
{
    for (const ServerProcess &server : deployment.servers()) {
        request(server.endpoint, "POST", "/standin/faults", faults);
    }
}

} // namespace

TEST_CASE("every request ends once, complete and with the correct outcome under server faults",
          "[promise-3][promise-4][promise-5]")
{
    const std::vector<FaultCase> cases = {
        {"answers cut short", R"({"truncate":5})"},
        {"answers dropped after the run", R"({"dropAnswers":5})"},
        {"requests refused as not run", R"({"refuse":10})"},
        {"answers later than the deadline", R"({"delayMs":400})", Milliseconds(300)},
    };
    Deployment deployment(smallDeployment(), optionsFor("requests", Network));
    REQUIRE(deployment.start(StartTimeout));
    std::uint64_t seed = 100;
    for (const FaultCase &fault : cases) {
        LoadGeneratorOptions options =
            callerOptionsFor(deployment, {lookups(), debits(), {"photo", "POST", 1, 50, 150'000, 0}});
        options.seed = ++seed;
        options.deadline = fault.deadline;
        LoadGenerator caller(options);
        caller.start();
        for (int round = 0; round < 8; ++round) {
            sleepFor(Milliseconds(200));
            setFaults(deployment, fault.faults);
        }
        setFaults(deployment, R"({"truncate":0,"dropAnswers":0,"refuse":0,"delayMs":0})");
        sleepFor(Milliseconds(800));
        caller.stop();
        INFO(fault.name);
        const HistoryReport report = checkRun(deployment, caller);
        CHECK(countEnds(report, CallEnd::Wrong) == 0);
        CHECK(countEnds(report, CallEnd::Lost) == 0);
        CHECK(countEnds(report, CallEnd::Answered) > 100);
        WARN(fault.name << ": answered " << countEnds(report, CallEnd::Answered) << ", not run "
                        << countEnds(report, CallEnd::NotRun) << ", unknown " << countEnds(report, CallEnd::Unknown));
    }
}

TEST_CASE("no debit runs twice when an entry process is killed with debits in flight", "[promise-5]")
{
    Deployment deployment(smallDeployment(), optionsFor("entry-kill", Network));
    REQUIRE(deployment.start(StartTimeout));
    LoadGeneratorOptions options = callerOptionsFor(deployment, {debits()}, 0);
    LoadGenerator caller(options);
    caller.start();
    for (std::size_t host = 1; host < deployment.hosts().size(); ++host) {
        sleepFor(Milliseconds(400));
        deployment.hosts()[host].entry->kill();
    }
    sleepFor(Milliseconds(600));
    caller.stop();
    const HistoryReport report = checkRun(deployment, caller);
    CHECK(countEnds(report, CallEnd::Answered) > 500);
    CHECK(countEnds(report, CallEnd::Lost) > 0);
}

TEST_CASE("a rolling graceful stop of all entry hosts cuts off no request", "[promise-7]")
{
    DeploymentOptions deploymentOptions = optionsFor("rolling-stop", Network);
    deploymentOptions.extraSettings = "[entry]\ndrain_delay_ms = 500\n";
    Deployment deployment(smallDeployment(), deploymentOptions);
    REQUIRE(deployment.start(StartTimeout));
    LoadGenerator caller(callerOptionsFor(deployment, {lookups(), debits(), uploads()}, 300));
    caller.start();
    sleepFor(Milliseconds(500));
    for (HostProcesses &host : deployment.hosts()) {
        INFO(host.name);
        host.entry->terminate();
        host.placement->terminate();
        CHECK(host.entry->wait(Milliseconds(15'000)) == 0);
        CHECK(host.placement->wait(Milliseconds(15'000)) == 0);
        deployment.startHost(host);
        const auto isReady = [&]() {
            return request(deployment.opsOf(host), "GET", "/ready").status == 200;
        };
        REQUIRE(Deployment::waitFor(Milliseconds(10'000), isReady));
        sleepFor(Milliseconds(300));
    }
    caller.stop();
    const HistoryReport report = checkRun(deployment, caller);
    CHECK(countEnds(report, CallEnd::Lost) == 0);
    CHECK(countEnds(report, CallEnd::Unknown) == 0);
    CHECK(countEnds(report, CallEnd::NotRun) == 0);
    WARN("rolling stop: answered " << countEnds(report, CallEnd::Answered) << ", p99 " << report.p99Ms << " ms");
}

namespace {

/// @brief A connection over which a request is sent first and the response read later.
class SlowReader
{
public:
    SlowReader(asio::io_context &context, const Endpoint &endpoint, const std::string &bytes)
        : m_socket(context)
    {
        m_socket.connect(toTcp(endpoint), m_error);
        asio::write(m_socket, asio::buffer(bytes), m_error);
    }

    bool isConnected() const
    {
        return m_socket.is_open() && !m_error;
    }

    /// @return the status of the response; 0 if there was none
    unsigned readStatus()
    {
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!m_error) {
            http::read(m_socket, buffer, parser, m_error);
        }
        return m_error ? 0 : parser.get().result_int();
    }

private:
    Tcp::socket m_socket;
    ErrorCode m_error;
};

} // namespace

// Guards against connections that wait to be accepted and are reset when the listener closes.
TEST_CASE("a connection in the backlog of an entry process is served although its listener closes", "[promise-7]")
{
    DeploymentOptions options = optionsFor("entry-backlog", Network);
    options.extraSettings = "[entry]\ndrain_delay_ms = 2000\n";
    Deployment deployment(smallDeployment(1), options);
    REQUIRE(deployment.start(StartTimeout));
    HostProcesses &host = deployment.hosts()[0];
    host.entry->terminate();
    sleepFor(Milliseconds(1'000));
    host.entry->freeze();
    asio::io_context context;
    std::list<SlowReader> callers;
    for (int caller = 0; caller < 20; ++caller) {
        callers.emplace_back(context, deployment.entryOf(host), "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    sleepFor(Milliseconds(1'200));
    host.entry->resume();
    for (SlowReader &caller : callers) {
        CHECK(caller.isConnected());
        CHECK(caller.readStatus() == 404);
    }
}

// Guards against a reset that discards an answer before the caller has read it.
TEST_CASE("a caller of an entry process that sends its whole body before it reads gets an early refusal", "[promise-4]")
{
    Deployment deployment(smallDeployment(1), optionsFor("entry-refusal", Network));
    REQUIRE(deployment.start(StartTimeout));
    asio::io_context context;
    const std::string body(8 << 20, 'b');
    for (int time = 0; time < 5; ++time) {
        SlowReader caller(context, deployment.entryOf(deployment.hosts()[0]),
                          "POST /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size())
                              + "\r\n\r\n" + body);
        CHECK(caller.readStatus() == 404);
    }
}

TEST_CASE("a stopping entry process stays unready when the configuration changes", "[promise-7]")
{
    DeploymentOptions options = optionsFor("stop-ready", Network);
    options.extraSettings = "[entry]\ndrain_delay_ms = 3000\n";
    Deployment deployment(smallDeployment(2), options);
    REQUIRE(deployment.start(StartTimeout));
    HostProcesses &host = deployment.hosts()[1];
    host.entry->terminate();
    const auto isUnready = [&]() {
        return request(deployment.opsOf(host), "GET", "/ready").status == 503;
    };
    REQUIRE(Deployment::waitFor(Milliseconds(2000), isUnready));
    const Endpoint admin = deployment.adminEndpoint();
    const auto route = nlohmann::json::parse(request(admin, "GET", "/v1/routes/ledger").body);
    const auto revision = std::to_string(route.value("revision", std::uint64_t(0)));
    REQUIRE(request(admin, "PATCH", "/v1/routes/ledger", R"({"spec":{"deadlineMs":4000}})", revision).status == 200);
    const auto hasChange = [&]() {
        const auto metrics = request(deployment.opsOf(host), "GET", "/metrics").body;
        const auto json = nlohmann::json::parse(metrics, nullptr, false);
        return json.is_object() && json.value("revision", std::uint64_t(0)) > route["revision"].get<std::uint64_t>();
    };
    REQUIRE(Deployment::waitFor(Milliseconds(2000), hasChange));
    CHECK(isUnready());
}

TEST_CASE("the rolling-stop check notices a stop that is not graceful", "[promise-7]")
{
    Deployment deployment(smallDeployment(), optionsFor("rough-stop", Network));
    REQUIRE(deployment.start(StartTimeout));
    LoadGenerator caller(callerOptionsFor(deployment, {lookups(), uploads()}, 0));
    caller.start();
    sleepFor(Milliseconds(500));
    deployment.hosts()[1].entry->kill();
    sleepFor(Milliseconds(500));
    caller.stop();
    const HistoryReport report = checkHistory(caller.records(), readRuns(deployment.serverLog()));
    CHECK(countEnds(report, CallEnd::Lost) > 0);
}

} // namespace snipevalve::standins
