#ifndef SNIPEVALVE_ADMIN_ADMIN_PROCESS_HPP
#define SNIPEVALVE_ADMIN_ADMIN_PROCESS_HPP

#include "snipevalve/admin/access.hpp"
#include "snipevalve/admin/resource_service.hpp"
#include "snipevalve/app/program.hpp"
#include "snipevalve/hosts/host_list_poller.hpp"
#include "snipevalve/net/http_server.hpp"
#include "snipevalve/supervisor/supervisor.hpp"

namespace snipevalve {

/// @brief Serves the administration API over HTTP and JSON; docs/API.md describes it.
class AdminProcess
{
public:
    /// @throws std::runtime_error if a token entry of the settings is malformed
    AdminProcess(asio::io_context &context, const Settings &settings);

    /// @brief Serves until a stop signal or a fatal failure. After a stop signal it waits for the resource calls in
    /// flight, for at most the write timeout.
    /// @return the exit code
    ExitCode run();

private:
    /// A request with its parsed target and the identity of its token.
    struct Call
    {
        const HttpRequest &request;
        RequestTarget target;
        Identity identity;
        std::string kind; ///< `service`, `server` or `route`
        std::string name; ///< the rest of the path after the collection; empty for the collection itself
    };

    Awaitable<HttpResponse> handle(const HttpRequest &request);
    Awaitable<HttpResponse> handleResource(const Call &call);
    Awaitable<HttpResponse> handleRead(const Call &call);
    Awaitable<HttpResponse> handleList(const Call &call);
    Awaitable<HttpResponse> handleWrite(const Call &call);
    Awaitable<HttpResponse> handleDelete(const Call &call);
    Awaitable<HttpResponse> handleWatch(const Call &call);
    Awaitable<HttpResponse> handleStatus(std::string path);
    Awaitable<HttpResponse> handleHosts();
    Awaitable<HttpResponse> handleWhere(const Call &call);
    Awaitable<std::map<std::string, std::uint64_t>> fetchReports();
    Awaitable<absl::StatusOr<HttpReply>> queryPlacement(Endpoint endpoint, std::string target);
    Awaitable<HttpResponse> apply(const Call &call, Change change);
    Endpoint localPlacementEndpoint() const;

    asio::io_context &m_context;
    const Settings &m_settings;
    HttpStore m_store;
    HttpClient m_client;
    ResourceService m_resources;
    HostListPoller m_hostListPoller;
    AccessList m_access;
    Tcp::acceptor m_acceptor;
    Supervisor m_supervisor;
    std::size_t m_callsInFlight = 0;
    ExitCode m_exitCode = ExitCode::Ok;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ADMIN_ADMIN_PROCESS_HPP
