#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <set>

#include "process/node_deployment.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::uint8_t Network = 180;
constexpr Milliseconds Grace(6'000); ///< from SIGTERM to SIGKILL

/// @brief A named pipe in place of a node's log file.
class LogPipe
{
public:
    explicit LogPipe(const std::string &path)
    {
        std::filesystem::remove(path);
        REQUIRE(::mkfifo(path.c_str(), S_IRUSR | S_IWUSR) == 0);
        m_reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(m_reader >= 0);
        constexpr int SmallestBytes = 4096;
        ::fcntl(m_reader, F_SETPIPE_SZ, SmallestBytes);
    }

    ~LogPipe()
    {
        closeReader();
    }

    void closeReader()
    {
        if (m_reader >= 0) {
            ::close(m_reader);
            m_reader = -1;
        }
    }

private:
    int m_reader = -1;
};

/// @brief A node with one server, whose output goes to a pipe that nobody reads.
class PipedNode
{
public:
    PipedNode(const std::string &name, std::uint8_t network)
        : m_folder(std::string(TEST_FOLDER) + "/" + name)
        , m_deployment(name, network, 0)
        , m_pipe(m_folder + "/node.pipe")
    {
        const std::string settings = m_folder + "/piped.toml";
        writeNodeSettings(settings, "node-0", m_deployment.addressOf(0), m_deployment.platform.storeEndpoint());
        m_process.emplace(std::string(BINARY_FOLDER) + "/snipevalve-node",
                          std::vector<std::string>{"--settings=" + settings}, m_folder + "/node.pipe");
        m_deployment.platform.addServer("sound", "debits", false, Milliseconds(5));
        REQUIRE(m_deployment.waitUntil(
            [this]() {
                return isServing();
            },
            StartTimeout));
    }

    bool isServing()
    {
        return m_deployment.sendRequest(0, "POST", "/p/x").status == 200;
    }

    Process &process()
    {
        return *m_process;
    }

    LogPipe &pipe()
    {
        return m_pipe;
    }

private:
    std::string m_folder;
    NodeDeployment m_deployment;
    LogPipe m_pipe;
    std::optional<Process> m_process;
};

std::set<rlim_t> openDescriptors(pid_t pid)
{
    std::set<rlim_t> descriptors;
    for (const auto &file : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd")) {
        descriptors.insert(std::stoul(file.path().filename()));
    }
    return descriptors;
}

/// @brief Lets the process open no descriptor until it closes one of those that are open now.
void takeFreeDescriptors(pid_t pid)
{
    const std::set<rlim_t> open = openDescriptors(pid);
    rlim_t lowestFree = 0;
    while (open.contains(lowestFree)) {
        ++lowestFree;
    }
    const rlimit limits{lowestFree, lowestFree};
    REQUIRE(::prlimit(pid, RLIMIT_NOFILE, &limits, nullptr) == 0);
}

} // namespace

// Guards against a process that can't end because nobody reads its log.
TEST_CASE("a node whose log is not read serves and ends in time", "[promise-8]")
{
    PipedNode node("unread-log", Network);
    constexpr int EnoughToFillThePipe = 60;
    for (int request = 0; request < EnoughToFillThePipe; ++request) {
        CHECK(node.isServing());
    }
    node.process().terminate();
    CHECK(node.process().wait(Grace) == 0);
}

// Guards against SIGPIPE, which ends a process that writes to a pipe without a reader.
TEST_CASE("a node goes on when the reader of its log has gone", "[promise-8]")
{
    PipedNode node("log-reader-gone", Network + 1);
    node.pipe().closeReader();
    for (int request = 0; request < 5; ++request) {
        CHECK(node.isServing());
        std::this_thread::sleep_for(Milliseconds(100));
    }
    CHECK(node.process().isRunning());
}

// Guards against a node that gives up since its settings file is being written when it starts.
TEST_CASE("a node that starts while its settings file is written waits for the rest", "[promise-8]")
{
    NodeDeployment deployment("settings-in-parts", Network + 2, 0);
    deployment.platform.addServer("sound", "debits", false, Milliseconds(5));
    const std::string folder = std::string(TEST_FOLDER) + "/settings-in-parts";
    const std::string path = folder + "/piecemeal.toml";
    writeNodeSettings(path, "node-0", deployment.addressOf(0), deployment.platform.storeEndpoint());
    std::ifstream file(path);
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (const std::size_t written : {std::size_t(0), text.size() / 3, text.size() * 3 / 4}) {
        INFO(written << " of " << text.size() << " bytes are there at first");
        std::ofstream(path) << text.substr(0, written);
        Process node(std::string(BINARY_FOLDER) + "/snipevalve-node", {"--settings=" + path}, folder + "/node.log");
        std::this_thread::sleep_for(Milliseconds(300));
        std::ofstream(path) << text;
        CHECK(deployment.waitUntil(
            [&deployment]() {
                return deployment.sendRequest(0, "POST", "/p/x").status == 200;
            },
            Milliseconds(5'000)));
        CHECK(node.isRunning());
    }
}

// Guards against an accept loop that takes the processor while no descriptor is free.
TEST_CASE("a node without free descriptors stays idle and serves again once there are some", "[promise-8]")
{
    NodeDeployment deployment("no-descriptors", Network + 3, 1);
    deployment.platform.addServer("sound", "debits", false, Milliseconds(5));
    const auto isServing = [&deployment]() {
        return deployment.sendRequest(0, "POST", "/p/x").status == 200;
    };
    REQUIRE(deployment.waitUntil(isServing, StartTimeout));
    const pid_t pid = deployment.node(0).pid();
    {
        asio::io_context context;
        std::vector<Tcp::socket> callers;
        const auto connectCallers = [&](std::size_t count) {
            for (std::size_t caller = 0; caller < count; ++caller) {
                callers.emplace_back(context).connect(toTcp({deployment.addressOf(0), NodeCallersPort}));
            }
        };
        constexpr std::size_t Accepted = 10;
        const std::size_t before = openDescriptors(pid).size();
        connectCallers(Accepted);
        REQUIRE(deployment.waitUntil(
            [&]() {
                return openDescriptors(pid).size() > before + Accepted / 2;
            },
            Milliseconds(5'000)));
        takeFreeDescriptors(pid);
        connectCallers(30);
        std::this_thread::sleep_for(Milliseconds(200));
        const Milliseconds usedBefore = processorTimeOf(pid);
        std::this_thread::sleep_for(Milliseconds(1'000));
        CHECK(processorTimeOf(pid) - usedBefore < Milliseconds(300));
    }
    CHECK(deployment.waitUntil(isServing, Milliseconds(5'000)));
    CHECK(deployment.node(0).isRunning());
}

} // namespace snipevalve::standins
