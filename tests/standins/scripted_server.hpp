#ifndef SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP
#define SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::standins {

/// @brief What a scripted server sends for one request.
struct ScriptedReply
{
    std::string start; ///< sent first
    std::string repeated; ///< then sent again and again, as fast as the peer reads
    std::size_t times = 0; ///< how often; `Endless` until the peer closes
    std::string end; ///< sent last
    enum class Finish {
        Keep, ///< waits for the next request
        Close,
        Reset,
    } finish = Finish::Keep;
    Milliseconds lateAfter{0}; ///< when `late` is sent, if it is not empty
    std::string late; ///< sent without any request

    static constexpr std::size_t Endless = static_cast<std::size_t>(-1);
};

/// @brief A server that sends just the bytes that a test names, for requests without a body.
class ScriptedServer
{
public:
    /// @param id of the request. @return what to send for it
    using Script = std::function<ScriptedReply(const std::string &id)>;

    explicit ScriptedServer(const Endpoint &listen);
    ~ScriptedServer();

    /// @brief Used for the requests that come from now on.
    void setScript(Script script);

    /// @brief Requests that have come.
    int requests() const;

private:
    Awaitable<void> accept();
    Awaitable<void> serve(std::shared_ptr<Tcp::socket> socket);

    asio::io_context m_context{1};
    Tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    Script m_script;
    int m_requests = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP
