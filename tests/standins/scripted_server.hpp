#ifndef SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP
#define SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"
#include "snipevalve/net/endpoint.hpp"

namespace snipevalve::standins {

/// @brief The bytes that a scripted server sends for one request, and what it does with the connection afterwards.
struct ScriptedReply
{
    std::string start; ///< sent first
    std::string repeated; ///< then sent `times` times, as fast as the peer reads
    std::size_t times = 0; ///< `Endless` repeats until the peer closes the connection
    std::string end; ///< sent last
    enum class Finish {
        Keep, ///< waits for the next request
        Close,
        Reset,
    } finish = Finish::Keep;
    Milliseconds lateAfter{0}; ///< delay after `end` before `late` is sent
    std::string late; ///< unsolicited bytes, sent if not empty

    static constexpr std::size_t Endless = static_cast<std::size_t>(-1);
};

/// @brief A server that answers requests with exactly the bytes that a test gives it. It accepts calls that bear no id,
/// such as grants of keys.
class ScriptedServer
{
public:
    /// @param id the id of the request
    /// @return what to send for it
    using Script = std::function<ScriptedReply(const std::string &id)>;

    explicit ScriptedServer(const Endpoint &listen);
    ~ScriptedServer();

    /// @brief Replaces the script; it applies to the requests that arrive from now on.
    void setScript(Script script);

    /// @brief Answers requests as soon as their head has arrived, and reads none of their bodies.
    void setAnswersHeads(bool answersHeads);

    /// @return the address at which it listens, with the port that it got if the given one was 0
    Endpoint endpoint() const;

    /// @return the number of requests received so far, without the calls that bear no id
    int requests() const;

    /// @return the number of connections accepted so far
    int connections() const;

private:
    Awaitable<void> accept();
    Awaitable<void> serve(std::shared_ptr<Tcp::socket> socket);
    ScriptedReply replyTo(const std::string &id);

    asio::io_context m_context{1};
    Tcp::acceptor m_acceptor;
    mutable std::mutex m_mutex;
    Script m_script;
    std::atomic<bool> m_answersHeads = false;
    int m_requests = 0;
    int m_connections = 0;
    std::thread m_thread;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_SCRIPTED_SERVER_HPP
