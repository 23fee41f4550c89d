#ifndef SNIPEVALVE_STANDINS_DEPLOYMENT_HPP
#define SNIPEVALVE_STANDINS_DEPLOYMENT_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "snipevalve/net/endpoint.hpp"
#include "standins/deployment_file.hpp"
#include "standins/process.hpp"

namespace snipevalve::standins {

/// @brief One entry host: its three programs.
struct HostProcesses
{
    std::string name;
    std::string address;
    std::string zone;
    std::string settingsFile;
    std::optional<Process> placement;
    std::optional<Process> entry;
    std::optional<Process> admin;
};

struct ServerProcess
{
    std::string name;
    std::string service;
    std::string zone;
    Endpoint endpoint;
    std::vector<std::string> arguments;
    std::optional<Process> process;
};

struct DeploymentOptions
{
    std::string binaries; ///< folder of the programs
    std::string folder; ///< for settings and logs; made anew
    std::uint8_t network = 20; ///< second part of all addresses, 127.NETWORK.x.y
    bool adminEverywhere = false; ///< otherwise only on the first host
    std::string extraSettings; ///< appended to the settings of each host
    std::string logLevel = "info";
};

/// @brief An answer to a call of a test.
struct PlainReply
{
    unsigned status = 0; ///< 0 when there was no answer
    std::string body;
};

/// @brief Sends one request and waits for its answer.
PlainReply request(const Endpoint &endpoint, const std::string &method, const std::string &target,
                   const std::string &body = {}, const std::string &ifMatch = {},
                   Milliseconds timeout = Milliseconds(5000));

/// @brief Starts a whole deployment as processes on loopback: store, host list, servers and entry hosts.
class Deployment
{
public:
    Deployment(DeploymentFile file, DeploymentOptions options);

    /// @brief Starts everything and declares the resources.
    /// @return false when it is not ready within `timeout`
    bool start(Milliseconds timeout);

    void startServer(ServerProcess &server);
    void startHost(HostProcesses &host);
    void startStore();

    /// @brief Replaces the platform's host list.
    void publishHosts(const std::vector<std::string> &leaving = {}, const std::vector<std::string> &gone = {});

    /// @brief Sets faults of the store stand-in, a JSON object.
    void storeFaults(const std::string &faults);
    nlohmann::json storeCounts();

    /// @brief Declares a service, its servers and its route through the administration API.
    bool declareResources();

    /// @brief Waits until `condition` holds.
    template <typename Condition>
    static bool waitFor(Milliseconds timeout, Condition condition);

    /// @brief All slots of all keyed services have an owner in the table of every host's placement process.
    bool isPlaced();

    /// @brief Status of a host's placement process.
    nlohmann::json placementStatus(const HostProcesses &host);

    /// @brief Where a key is, by the table of a host.
    nlohmann::json where(const std::string &service, const std::string &key);
    HostProcesses *leaderOf(const std::string &group);
    ServerProcess *server(const std::string &name);

    Endpoint entryOf(const HostProcesses &host) const;
    Endpoint opsOf(const HostProcesses &host) const;
    Endpoint adminEndpoint() const;
    Endpoint storeEndpoint() const;
    std::string serverLog() const;

    std::vector<HostProcesses> &hosts();
    std::vector<ServerProcess> &servers();
    const DeploymentFile &file() const;

private:
    std::string address(unsigned third, unsigned fourth) const;
    void prepareServers();
    void prepareHosts();
    std::string makeSettings(const HostProcesses &host) const;
    std::string logPath(const std::string &name) const;
    bool declare(const nlohmann::json &resource);

    DeploymentFile m_file;
    DeploymentOptions m_options;
    std::optional<Process> m_store;
    std::vector<ServerProcess> m_servers;
    std::vector<HostProcesses> m_hosts;
};

void sleepFor(Milliseconds duration);

template <typename Condition>
bool Deployment::waitFor(Milliseconds timeout, Condition condition)
{
    constexpr Milliseconds PollInterval(20);
    const TimePoint deadline = Clock::now() + timeout;
    while (Clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        sleepFor(PollInterval);
    }
    return false;
}

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_DEPLOYMENT_HPP
