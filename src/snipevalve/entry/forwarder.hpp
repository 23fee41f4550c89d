#ifndef SNIPEVALVE_ENTRY_FORWARDER_HPP
#define SNIPEVALVE_ENTRY_FORWARDER_HPP

#include <functional>
#include <memory>
#include <string>

#include "snipevalve/entry/caller_request.hpp"
#include "snipevalve/entry/traffic.hpp"
#include "snipevalve/request/request_life.hpp"

namespace snipevalve {

/// @brief Where an attempt goes.
struct Destination
{
    std::shared_ptr<const Server> server;
    const GroupRouting *group = nullptr; ///< null for a pool
    std::uint32_t slot = 0;
};

/// @brief The rest of a caller's body, read in parts.
class BodySource
{
public:
    virtual ~BodySource() = default;

    /// @brief Reads the next part; empty at the end. @return false when the caller went away
    virtual Awaitable<bool> next(std::string &part) = 0;
};

using ResponseParser = http::response_parser<http::buffer_body>;

/// @brief The result of one attempt. With Answered the header is read, and the body whole or its first part.
struct Attempt
{
    AttemptEnd end = AttemptEnd::NoServer;
    Destination destination;
    std::unique_ptr<UpstreamConnection> connection;
    std::unique_ptr<ResponseParser> parser;
    std::string body;
    bool bodyComplete = false;
    bool bodySendStarted = false; ///< parts of a streamed request body are gone
};

/// @brief Sends a request to the server that owns its key, or to one of a pool, once for each attempt.
class Forwarder
{
public:
    Forwarder(TrafficThreadState &threadState, CallerRequest &request, BodySource &bodySource);

    /// @param until the end of the time for this attempt
    Awaitable<Attempt> runAttempt(TimePoint until);

    /// @brief Reads the next part of an answer. @return false when the answer broke off
    static Awaitable<bool> readBodyPart(Attempt &attempt, std::string &part, TimePoint until);

private:
    Destination findDestination() const;
    Awaitable<void> exchange(Attempt &attempt, TimePoint until);
    Awaitable<bool> sendBuffered(Attempt &attempt, ErrorCode &error);
    Awaitable<bool> sendStreamed(Attempt &attempt, ErrorCode &error);
    Awaitable<void> readResponse(Attempt &attempt, ErrorCode &error);
    template <typename Message>
    void fillHeader(Message &message, const Destination &destination) const;

    TrafficThreadState &m_threadState;
    CallerRequest &m_request;
    BodySource &m_bodySource;
};

} // namespace snipevalve

#endif // SNIPEVALVE_ENTRY_FORWARDER_HPP
