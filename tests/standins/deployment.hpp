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

/// @brief An entry host and the processes of its three programs.
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

/// @brief A stand-in server and its process.
struct ServerProcess
{
    std::string name;
    std::string service;
    std::string zone;
    Endpoint endpoint;
    std::vector<std::string> arguments;
    std::optional<Process> process;
};

/// @brief Where and how the processes of a deployment run.
struct DeploymentOptions
{
    std::string binaries; ///< folder with the built programs
    std::string folder; ///< for settings and logs; deleted and created again
    std::uint8_t network =
        20; ///< second octet of all addresses, 127.NETWORK.x.y, so that deployments can run side by side
    bool adminEverywhere = false; ///< runs the admin program on every host; otherwise only on the first
    std::string extraSettings; ///< TOML text appended to the settings of each host
    std::string logLevel = "info";
};

/// @brief Status and body of an HTTP response.
struct PlainReply
{
    unsigned status = 0; ///< 0 when there was no response
    std::string body;
};

/// @brief Sends one request and blocks until its response arrives or `timeout` passes.
/// @param ifMatch value of the If-Match header; empty for none
PlainReply request(const Endpoint &endpoint, const std::string &method, const std::string &target,
                   const std::string &body = {}, const std::string &ifMatch = {},
                   Milliseconds timeout = Milliseconds(5000));

/// @brief Runs a whole deployment as processes on loopback addresses: store, host list, servers and entry hosts.
class Deployment
{
public:
    /// @brief Writes the settings of the hosts; starts no process.
    Deployment(DeploymentFile file, DeploymentOptions options);

    /// @brief Starts all processes, declares the resources and waits until every host is ready and every slot has an
    /// owner.
    /// @return false when that takes longer than `timeout`
    bool start(Milliseconds timeout);

    void startServer(ServerProcess &server);
    void startHost(HostProcesses &host);
    void startStore();

    /// @brief Replaces the platform's host list.
    /// @param leaving names of hosts that are listed as leaving
    /// @param gone names of hosts that are left out of the list
    void publishHosts(const std::vector<std::string> &leaving = {}, const std::vector<std::string> &gone = {});

    /// @brief Injects faults into the stand-in store.
    /// @param faults the body of its `/standin/faults` request, a JSON object
    void setStoreFaults(const std::string &faults);

    /// @return the number of calls that the stand-in store has received, by kind of call
    nlohmann::json storeCounts();

    /// @brief Declares all services, routes and servers through the administration API.
    /// @return whether all of them were created
    bool declareResources();

    /// @brief Polls `condition` until it holds.
    /// @return false when it does not hold within `timeout`
    template <typename Condition>
    static bool waitFor(Milliseconds timeout, Condition condition);

    /// @brief Whether every placement process knows a committed owner for each slot of each keyed service.
    bool isPlaced();

    /// @return the status page of a host's placement process; an empty object when it does not answer
    nlohmann::json placementStatus(const HostProcesses &host);

    /// @return the owner of a key, by the slot table of the first host whose placement process runs
    nlohmann::json where(const std::string &service, const std::string &key);

    /// @return the host that leads a group by its own status; null when there is none
    HostProcesses *leaderOf(const std::string &group);

    /// @return null when no server has this name
    ServerProcess *server(const std::string &name);

    /// @return where a host's entry process takes requests of callers
    Endpoint entryOf(const HostProcesses &host) const;

    /// @return where a host's entry process serves its operations pages, such as `/ready`
    Endpoint opsOf(const HostProcesses &host) const;

    /// @return the administration API of the first host
    Endpoint adminEndpoint() const;
    Endpoint storeEndpoint() const;

    /// @return the file to which all servers append the requests that they ran
    std::string serverLog() const;

    std::vector<HostProcesses> &hosts();
    std::vector<ServerProcess> &servers();
    const DeploymentFile &file() const;

private:
    /// @return an address of the deployment's network, from its third and fourth octet
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
