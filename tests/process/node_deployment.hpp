#ifndef SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP
#define SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP

#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>

#include "standins/node_settings_file.hpp"
#include "standins/platform_standin.hpp"
#include "standins/process.hpp"

namespace snipevalve::standins {

inline constexpr Milliseconds StartTimeout(15'000);

/// What a caller got.
struct Answer
{
    unsigned status = 0; ///< 0: the connection ended without an answer
    std::string body;
    std::string retryAfter;
    Milliseconds took{0};
};

/// Nodes and the platform's stand-in, for one test.
class NodeDeployment
{
public:
    NodeDeployment(const std::string &name, std::uint8_t network, int nodes)
        : m_folder(std::string(TEST_FOLDER) + "/" + name)
        , m_network(network)
        , platform(network)
    {
        std::filesystem::create_directories(m_folder);
        platform.putConfig(smallConfig(2));
        for (int at = 0; at < nodes; ++at) {
            startNode(at);
        }
    }

    void startNode(int at)
    {
        const std::string address = addressOf(at);
        const std::string path = m_folder + "/node-" + std::to_string(at) + ".toml";
        writeNodeSettings(path, "node-" + std::to_string(at), address, platform.storeEndpoint());
        const std::string program = std::string(BINARY_FOLDER) + "/snipevalve-node";
        std::filesystem::remove(m_folder + "/node-" + std::to_string(at) + ".log");
        Process process(program, {"--settings=" + path}, m_folder + "/node-" + std::to_string(at) + ".log");
        m_nodes.insert_or_assign(at, std::move(process));
    }

    Process &node(int at)
    {
        return m_nodes.at(at);
    }

    std::string addressOf(int at) const
    {
        return "127." + std::to_string(m_network) + ".1." + std::to_string(at + 1);
    }

    /// Sends one request on a connection of its own.
    Answer ask(int at, const std::string &method, const std::string &path, int key = -1,
               Milliseconds deadline = Milliseconds(3'000))
    {
        const TimePoint startedAt = Clock::now();
        Answer answer;
        asio::io_context context;
        beast::tcp_stream stream(context);
        ErrorCode error;
        stream.socket().connect(toTcp({addressOf(at), NodeCallersPort}), error);
        if (error) {
            return answer;
        }
        const std::string id = "id-" + std::to_string(++m_lastId);
        std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Snipevalve-Request-Id: " + id
            + "\r\nX-Snipevalve-Request-Deadline: " + std::to_string(deadline.count()) + "\r\n";
        bytes += key >= 0 ? "X-Snipevalve-Shard-Key: " + std::to_string(key) + "\r\n" : "";
        bytes += method == "POST" ? "Content-Length: 0\r\n\r\n" : "\r\n";
        asio::write(stream.socket(), asio::buffer(bytes), error);
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        http::read(stream.socket(), buffer, parser, error);
        if (!error) {
            answer.status = parser.get().result_int();
            answer.body = parser.get().body();
            answer.retryAfter = std::string(parser.get()[http::field::retry_after]);
        }
        answer.took = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
        answer.body = answer.body == "answer to " + id ? "own" : answer.body;
        return answer;
    }

    bool waitUntil(const std::function<bool()> &condition, Milliseconds timeout)
    {
        const TimePoint end = Clock::now() + timeout;
        while (!condition()) {
            if (Clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(Milliseconds(20));
        }
        return true;
    }

    /// Whether the log of the node's present process holds this text.
    bool logHolds(int at, const std::string &text) const
    {
        std::ifstream log(m_folder + "/node-" + std::to_string(at) + ".log");
        const std::string all((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        return all.find(text) != std::string::npos;
    }

    bool serves(int at, int key)
    {
        return ask(at, "GET", "/k/x", key).status == 200;
    }

private:
    std::string m_folder;
    std::uint8_t m_network;
    int m_lastId = 0;
    std::map<int, Process> m_nodes;

public:
    PlatformStandin platform;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP
