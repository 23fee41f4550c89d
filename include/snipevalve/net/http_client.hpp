#ifndef SNIPEVALVE_NET_HTTP_CLIENT_HPP
#define SNIPEVALVE_NET_HTTP_CLIENT_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief A request of the control plane. Request and response are buffered in memory as a whole.
struct HttpCall
{
    Endpoint endpoint;
    http::verb method = http::verb::get;
    std::string target = "/";
    std::string body;
    std::string authorization;
    std::string ifMatch;
    std::string contentType;
    std::map<std::string, std::string> headers; ///< additional headers, by name
    std::vector<std::string> replyHeaders; ///< names of the response headers to return in HttpReply::headers
    Milliseconds timeout{1000};
    std::uint64_t maxReplyBytes = 16 << 20; ///< a longer body counts as no response
    /// Sent on a connection that has carried no other call and carries none afterwards, so that a late copy of another
    /// call's response can't pass for the response.
    bool usesOwnConnection = false;
    /// Asked right before the request is written, since opening the connection takes time; any call may be sent if
    /// empty.
    std::function<bool()> maySend;
};

/// @brief The response to an HttpCall.
struct HttpReply
{
    unsigned status = 0;
    std::string body;
    /// Those of HttpCall::replyHeaders that are present, by the name given there; repeated values are joined by ", ".
    std::map<std::string, std::string> headers;
};

/// @brief HTTP client for control calls (store, grants, host list) with a pool of persistent connections. Not
/// thread-safe.
///
/// A connection on which a call failed or timed out is reset, so that the kernel delivers nothing of it any more; the
/// same happens when the process ends. While the process is stopped, the kernel gives up after the call's timeout.
class HttpClient
{
public:
    /// @param sourceAddress local address of outgoing connections; when empty, the system chooses one
    explicit HttpClient(asio::any_io_executor executor, std::string sourceAddress = {});
    ~HttpClient();

    /// @brief Sends a request and waits for the response.
    /// @return the response; Unavailable when sending failed or no response arrived before the timeout (the call may
    ///         have taken effect); FailedPrecondition when no connection could be opened or the call may not be sent
    ///         any more (it had no effect)
    Awaitable<absl::StatusOr<HttpReply>> call(HttpCall call);

private:
    using Stream = std::unique_ptr<beast::tcp_stream>;

    Awaitable<absl::StatusOr<Stream>> connect(const HttpCall &call);
    Stream takeIdle(const Endpoint &endpoint);

    asio::any_io_executor m_executor;
    std::string m_sourceAddress;
    std::map<Endpoint, std::vector<Stream>> m_idle;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NET_HTTP_CLIENT_HPP
