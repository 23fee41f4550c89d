#ifndef SNIPEVALVE_ENTRY_SESSION_HPP
#define SNIPEVALVE_ENTRY_SESSION_HPP

#include <memory>

#include "snipevalve/entry/forwarder.hpp"

namespace snipevalve {

/// @brief Serves the requests on a caller's connection one after another.
class Session
{
public:
    Session(TrafficThreadState &threadState, Tcp::socket socket);
    ~Session();

    /// @brief Serves until the caller disconnects, an error makes the connection unusable, or a graceful shutdown
    /// closes it.
    Awaitable<void> run();

    /// @brief Closes the connection if it has been waiting for a request for at least `idle`.
    void closeIfIdle(TimePoint now, Duration idle);

private:
    class CallerBody;

    /// @return false when the connection must be closed
    Awaitable<bool> serveRequest();
    Awaitable<bool> readHead(ErrorCode &error);
    Awaitable<bool> readBodyStart(CallerRequest &request, ErrorCode &error);
    Awaitable<Attempt> runRequest(CallerRequest &request, RequestLife &life, Outcome &outcome);
    Awaitable<bool> sendResponse(const CallerRequest &request, Attempt &attempt);
    Awaitable<bool> sendFailure(const CallerRequest &request, Outcome outcome, AttemptEnd last);
    Awaitable<bool> reject(http::status status, const std::string &reason);
    Awaitable<bool> streamResponse(const CallerRequest &request, Attempt &attempt,
                                   http::response<http::buffer_body> &message);
    Awaitable<bool> send(http::response<http::string_body> response);
    void logRequest(const CallerRequest &request, const Attempt &attempt, Outcome outcome, const RequestLife &life);
    bool mayKeepConnection() const;
    void setPhase(HolderPhase phase);
    bool turnAway();
    Awaitable<bool> refuseForMemory(const std::string &id);

    TrafficThreadState &m_threadState;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    MemoryHolder m_holder;
    HolderPhase m_phase = HolderPhase::Idle;
    std::unique_ptr<RequestParser> m_parser;
    std::optional<std::string> m_headFault; ///< why the last message head is malformed
    std::optional<TimePoint> m_idleSince; ///< set while waiting for a request
    bool m_hasAnswered = false; ///< the current request
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_SESSION_HPP
