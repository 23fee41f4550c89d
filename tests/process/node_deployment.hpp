#ifndef SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP
#define SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP

#include <atomic>
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

/// @brief The response that a caller received.
struct Answer
{
    unsigned status = 0; ///< 0 if the connection ended without a complete response
    std::string body;
    std::string retryAfter;
    Milliseconds duration{0};
};

/// @brief A test deployment of node processes and a stand-in for the platform.
class NodeDeployment
{
public:
    NodeDeployment(const std::string &name, std::uint8_t network, int nodes, NodeLimits limits = {})
        : m_folder(std::string(TEST_FOLDER) + "/" + name)
        , m_network(network)
        , m_limits(limits)
        , platform(network)
    {
        std::filesystem::create_directories(m_folder);
        platform.putConfig(smallConfig(2));
        for (int index = 0; index < nodes; ++index) {
            startNode(index);
        }
    }

    void startNode(int index)
    {
        const std::string address = addressOf(index);
        const std::string path = m_folder + "/node-" + std::to_string(index) + ".toml";
        writeNodeSettings(path, "node-" + std::to_string(index), address, platform.storeEndpoint(), std::nullopt,
                          m_limits);
        const std::string program = std::string(BINARY_FOLDER) + "/snipevalve-node";
        std::filesystem::remove(m_folder + "/node-" + std::to_string(index) + ".log");
        Process process(program, {"--settings=" + path}, m_folder + "/node-" + std::to_string(index) + ".log");
        m_nodes.insert_or_assign(index, std::move(process));
    }

    Process &node(int index)
    {
        return m_nodes.at(index);
    }

    std::string addressOf(int index) const
    {
        return "127." + std::to_string(m_network) + ".1." + std::to_string(index + 1);
    }

    /// @brief Sends one request on a new connection and waits for the response.
    /// @param key shard key of the request; negative sends no shard key
    /// @return the response; its body is "own" if the server answered this very request
    Answer sendRequest(int index, const std::string &method, const std::string &path, int key = -1,
                       Milliseconds deadline = Milliseconds(3'000))
    {
        const TimePoint startedAt = Clock::now();
        Answer answer;
        asio::io_context context;
        beast::tcp_stream stream(context);
        ErrorCode error;
        stream.socket().connect(toTcp({addressOf(index), NodeCallersPort}), error);
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
        answer.duration = std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt);
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

    /// @brief Whether the log of the running process of a node contains a text.
    bool logContains(int index, const std::string &text) const
    {
        std::ifstream log(m_folder + "/node-" + std::to_string(index) + ".log");
        const std::string all((std::istreambuf_iterator<char>(log)), std::istreambuf_iterator<char>());
        return all.find(text) != std::string::npos;
    }

    bool serves(int index, int key)
    {
        return sendRequest(index, "GET", "/k/x", key).status == 200;
    }

private:
    std::string m_folder;
    std::uint8_t m_network;
    NodeLimits m_limits;
    std::atomic<int> m_lastId = 0;
    std::map<int, Process> m_nodes;

public:
    PlatformStandin platform;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_NODE_DEPLOYMENT_HPP
