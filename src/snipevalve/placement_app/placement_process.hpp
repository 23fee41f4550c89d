#ifndef SNIPEVALVE_PLACEMENT_APP_PLACEMENT_PROCESS_HPP
#define SNIPEVALVE_PLACEMENT_APP_PLACEMENT_PROCESS_HPP

#include "snipevalve/app/program.hpp"
#include "snipevalve/hosts/host_list_poller.hpp"
#include "snipevalve/link/reporter.hpp"
#include "snipevalve/net/http_server.hpp"
#include "snipevalve/placement_app/leadership.hpp"
#include "snipevalve/placement_app/load_aggregator.hpp"
#include "snipevalve/placement_app/store_watcher.hpp"
#include "snipevalve/supervisor/supervisor.hpp"

namespace snipevalve {

/// @brief The placement process: leads placement groups, relays configuration and routing tables, and serves its status
/// over HTTP.
class PlacementProcess
{
public:
    PlacementProcess(asio::io_context &context, const Settings &settings);

    /// @brief Runs until a planned stop or until the supervisor gives up.
    /// @return the exit code; Failure if the supervisor gave up
    ExitCode run();

private:
    void onItem(const Item &item);
    /// @brief Chooses the relays among the hosts and the links that this process opens to them.
    void onHosts(const HostList &hosts);
    Awaitable<void> collectLoads();
    Awaitable<std::vector<double>> fetchLoads(Host relay, std::string group);
    Awaitable<void> stop();
    Awaitable<HttpResponse> handle(const HttpRequest &request);
    std::string encodedLoads(const std::string &group) const;
    std::string status() const;
    std::string where(const std::string &service, const std::string &key) const;

    asio::io_context &m_context;
    const Settings &m_settings;
    HttpStore m_store;
    HttpClient m_client;
    LinkHub m_hub;
    Catalog m_catalog;
    PlacementContext m_placementContext;
    Leadership m_leadership;
    StoreWatcher m_storeWatcher;
    HostListPoller m_hostListPoller;
    Reporter m_reporter;
    LoadAggregator m_loadAggregator;
    HostList m_relays;
    Tcp::acceptor m_acceptor;
    Supervisor m_supervisor;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_PLACEMENT_PROCESS_HPP
