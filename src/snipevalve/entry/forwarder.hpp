#ifndef SNIPEVALVE_ENTRY_FORWARDER_HPP
#define SNIPEVALVE_ENTRY_FORWARDER_HPP

#include <functional>
#include <memory>
#include <string>

#include "snipevalve/entry/caller_request.hpp"
#include "snipevalve/entry/traffic_thread_state.hpp"
#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

/// @brief The server that an attempt is sent to, and the slot of the key.
struct Destination
{
    std::shared_ptr<const Server> server;
    const GroupRouting *group = nullptr; ///< null for a service in pool mode
    std::uint32_t slot = 0;
};

/// @brief The part of a request body that is not buffered, read piece by piece.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// @brief Reads the next part; empty at the end of the body.
    /// @return false when the body could not be read, for example because the caller disconnected
    virtual Awaitable<bool> next(std::string &part) = 0;
};

using ResponseParser = MessageParser<false, http::buffer_body>;

/// @brief The result of one attempt. After Answered it holds the response header and the complete body or its
/// beginning.
struct Attempt
{
    AttemptEnd end = AttemptEnd::NoServer;
    Destination destination;
    std::unique_ptr<UpstreamConnection> connection;
    std::unique_ptr<ResponseParser> parser;
    std::string body;
    bool bodyComplete = false;
    bool bodySendStarted = false; ///< the buffered request body is no longer enough for a retry
};

/// @brief Sends a request to the server that owns its key, or to a server of a pool, once per attempt.
class Forwarder
{
public:
    Forwarder(TrafficThreadState &threadState, CallerRequest &request, BodySource &bodySource,
              MemoryHolder *holder = nullptr);

    /// @param until the deadline of this attempt
    Awaitable<Attempt> runAttempt(TimePoint until);

    /// @brief Reads the next part of the response body.
    /// @return false when the response was cut off or `until` has passed
    static Awaitable<bool> readBodyPart(Attempt &attempt, std::string &part, TimePoint until);

private:
    Destination findDestination() const;
    Awaitable<void> exchange(Attempt &attempt, TimePoint until);
    Awaitable<bool> sendBuffered(Attempt &attempt, ErrorCode &error);
    Awaitable<void> sendParts(Attempt &attempt, http::request<http::buffer_body> &message,
                              http::request_serializer<http::buffer_body> &serializer, ErrorCode &error);
    Awaitable<bool> sendStreamed(Attempt &attempt, ErrorCode &error);
    Awaitable<void> readResponse(Attempt &attempt, ErrorCode &error);
    template <typename Message>
    void fillHeader(Message &message, const Destination &destination) const;

    TrafficThreadState &m_threadState;
    CallerRequest &m_request;
    BodySource &m_bodySource;
    MemoryHolder *m_holder; ///< of the caller; null: its upload is never turned away
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_FORWARDER_HPP
