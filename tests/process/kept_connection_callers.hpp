#ifndef SNIPEVALVE_PROCESS_KEPT_CONNECTION_CALLERS_HPP
#define SNIPEVALVE_PROCESS_KEPT_CONNECTION_CALLERS_HPP

#include <random>
#include <string>
#include <thread>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::standins {

/// @brief One request on a kept connection.
struct KeptConnectionRequest
{
    std::string id;
    TimePoint sentAt;
    unsigned status = 0; ///< 0 if the connection ended without a complete answer
};

/// @brief Callers that each hold an open connection, use it after a pause and open another one when an answer has said
/// that the connection closes. They don't look whether it has been closed otherwise.
class KeptConnectionCallers
{
public:
    struct Options
    {
        Endpoint node;
        int callers = 120;
        Milliseconds shortestPause{100};
        Milliseconds longestPause{700};
        std::string head; ///< request line and header fields, without the id and the end of the head
    };

    explicit KeptConnectionCallers(Options options)
        : m_options(std::move(options))
    {
        for (int caller = 0; caller < m_options.callers; ++caller) {
            asio::co_spawn(m_context, call(), asio::detached);
        }
        m_thread = std::thread([this]() {
            m_context.run();
        });
    }

    ~KeptConnectionCallers()
    {
        m_context.stop();
        join();
    }

    /// @brief Waits until no caller can open a connection any more.
    /// @return all requests
    const std::vector<KeptConnectionRequest> &join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
        return m_requests;
    }

private:
    Awaitable<void> call()
    {
        asio::steady_timer timer(m_context);
        while (true) {
            beast::tcp_stream stream(m_context);
            ErrorCode error;
            co_await stream.async_connect(toTcp(m_options.node), awaitInto(error));
            while (!error) {
                const auto spread =
                    static_cast<std::uint64_t>((m_options.longestPause - m_options.shortestPause).count());
                timer.expires_after(m_options.shortestPause + Milliseconds(m_random() % (spread + 1)));
                co_await timer.async_wait(awaitInto(error));
                if (!co_await send(stream)) {
                    break;
                }
            }
            if (error) {
                co_return;
            }
        }
    }

    /// @return whether the connection may be used again
    Awaitable<bool> send(beast::tcp_stream &stream)
    {
        KeptConnectionRequest request{"kept-" + std::to_string(++m_lastId), Clock::now()};
        const std::string bytes = m_options.head + "X-Snipevalve-Request-Id: " + request.id + "\r\n\r\n";
        ErrorCode error;
        stream.expires_after(std::chrono::seconds(10));
        co_await asio::async_write(stream, asio::buffer(bytes), awaitInto(error));
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!error) {
            co_await http::async_read(stream, buffer, parser, awaitInto(error));
        }
        request.status = error ? 0 : parser.get().result_int();
        m_requests.push_back(request);
        co_return !error && parser.get().keep_alive();
    }

    Options m_options;
    asio::io_context m_context{1};
    std::mt19937_64 m_random{7};
    int m_lastId = 0;
    std::vector<KeptConnectionRequest> m_requests;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_PROCESS_KEPT_CONNECTION_CALLERS_HPP
