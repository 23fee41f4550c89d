#ifndef SNIPEVALVE_NET_HTTP_CLIENT_HPP
#define SNIPEVALVE_NET_HTTP_CLIENT_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve {

/// @brief One control call; request and answer are held whole.
struct HttpCall
{
    Endpoint endpoint;
    http::verb method = http::verb::get;
    std::string target = "/";
    std::string body;
    std::string authorization;
    std::string ifMatch;
    std::string contentType;
    std::map<std::string, std::string> headers; ///< further headers, by name
    std::string replyHeader; ///< the header of the answer that HttpReply::header is to hold
    Milliseconds timeout{1000};
};

struct HttpReply
{
    unsigned status = 0;
    std::string body;
    std::string header; ///< the value of HttpCall::replyHeader; empty when the answer has none
};

/// @brief A client for control calls (store, grants, host list), with kept connections. For use on one thread.
///
/// A connection on which a call failed or timed out is closed and never used again.
class HttpClient
{
public:
    /// @param sourceAddress local address of outgoing connections; empty for the system's choice
    explicit HttpClient(asio::any_io_executor executor, std::string sourceAddress = {});
    ~HttpClient();

    /// @return the answer, or Unavailable when none arrived in time (the call may have taken effect), or
    ///         FailedPrecondition when the connection could not be opened (the call did not take effect)
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
