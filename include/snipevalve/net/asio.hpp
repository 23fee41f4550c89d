#ifndef SNIPEVALVE_NET_ASIO_HPP
#define SNIPEVALVE_NET_ASIO_HPP

/// @file Includes the parts of Boost.Asio and Boost.Beast that the project uses, and defines short names for them.
/// Boost 1.74 requires <utility> to be included first.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace snipevalve {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
template <typename Result>
using Awaitable = asio::awaitable<Result>;

/// @brief Completion token for `co_await` that stores the error in `error` instead of throwing.
inline auto awaitInto(ErrorCode &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace snipevalve

#endif // SNIPEVALVE_NET_ASIO_HPP
