#include <map>
#include <mutex>
#include <stdexcept>

#include <grpcpp/grpcpp.h>

#include "snipevalve/link/frame_codec.hpp"
#include "snipevalve/link/frame_writer.hpp"
#include "snipevalve/link/generated/link.grpc.pb.h"
#include "snipevalve/link/link.hpp"

namespace snipevalve {

namespace {

/// Streams that are still open after this time are cancelled.
constexpr std::chrono::milliseconds ShutdownGracePeriod(200);

class Session;

/// The open sessions by stream number. Keeps each session alive until its OnDone; thread-safe.
class SessionRegistry
{
public:
    explicit SessionRegistry(LinkEvents events)
        : m_events(std::move(events))
    {
    }

    std::uint64_t add(std::shared_ptr<Session> session)
    {
        const std::lock_guard lock(m_mutex);
        m_sessions[++m_lastStream] = std::move(session);
        return m_lastStream;
    }

    std::shared_ptr<Session> find(std::uint64_t stream)
    {
        const std::lock_guard lock(m_mutex);
        const auto position = m_sessions.find(stream);
        return position == m_sessions.end() ? nullptr : position->second;
    }

    std::shared_ptr<Session> remove(std::uint64_t stream)
    {
        const std::lock_guard lock(m_mutex);
        auto node = m_sessions.extract(stream);
        return node.empty() ? nullptr : std::move(node.mapped());
    }

    const LinkEvents &events() const
    {
        return m_events;
    }

private:
    LinkEvents m_events;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<Session>> m_sessions;
    std::uint64_t m_lastStream = 0;
};

/// The server's side of one link.
class Session : public grpc::ServerBidiReactor<proto::Frame, proto::Frame>
{
public:
    Session(SessionRegistry &sessions, grpc::CallbackServerContext *context)
        : m_sessions(sessions)
        , m_context(context)
    {
    }

    void start(std::uint64_t stream)
    {
        m_stream = stream;
        m_sessions.events().onOpened(stream);
        StartRead(&m_incoming);
    }

    void send(const LinkFrame &frame)
    {
        m_writer.push(detail::toProto(frame), [this](const proto::Frame *next) {
            StartWrite(next);
        });
    }

    void cancel()
    {
        m_context->TryCancel();
    }

    void OnReadDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        if (!ok) {
            finish();
            return;
        }
        m_sessions.events().onFrame(m_stream, detail::fromProto(m_incoming));
        StartRead(&m_incoming);
    }

    void OnWriteDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        if (!ok) {
            finish();
            return;
        }
        m_writer.pop([this](const proto::Frame *next) {
            StartWrite(next);
        });
    }

    void OnCancel() override // NOLINT(readability-identifier-naming)
    {
        finish();
    }

    void OnDone() override // NOLINT(readability-identifier-naming)
    {
        m_sessions.events().onClosed(m_stream);
        const std::shared_ptr<Session> self = m_sessions.remove(m_stream);
    }

private:
    void finish()
    {
        if (m_writer.close()) {
            Finish(grpc::Status::OK);
        }
    }

    SessionRegistry &m_sessions;
    grpc::CallbackServerContext *m_context;
    std::uint64_t m_stream = 0;
    proto::Frame m_incoming;
    detail::FrameWriter m_writer;
};

/// Creates a session for each stream that a peer opens.
class Service : public proto::Link::CallbackService
{
public:
    explicit Service(SessionRegistry &sessions)
        : m_sessions(sessions)
    {
    }

    grpc::ServerBidiReactor<proto::Frame, proto::Frame> *
    Exchange(grpc::CallbackServerContext *context) override // NOLINT(readability-identifier-naming)
    {
        auto session = std::make_shared<Session>(m_sessions, context);
        const std::uint64_t stream = m_sessions.add(session);
        session->start(stream);
        return session.get();
    }

private:
    SessionRegistry &m_sessions;
};

} // namespace

class LinkServer::Implementation
{
public:
    Implementation(const Endpoint &endpoint, LinkEvents events)
        : m_sessions(std::move(events))
        , m_service(m_sessions)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(toString(endpoint), grpc::InsecureServerCredentials());
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.RegisterService(&m_service);
        m_server = builder.BuildAndStart();
        if (!m_server) {
            throw std::runtime_error("can't listen for links on " + toString(endpoint));
        }
    }

    ~Implementation()
    {
        m_server->Shutdown(std::chrono::system_clock::now() + ShutdownGracePeriod);
    }

    SessionRegistry &sessions()
    {
        return m_sessions;
    }

private:
    SessionRegistry m_sessions;
    Service m_service;
    std::unique_ptr<grpc::Server> m_server;
};

LinkServer::LinkServer(const Endpoint &endpoint, LinkEvents events)
    : m_implementation(std::make_unique<Implementation>(endpoint, std::move(events)))
{
}

LinkServer::~LinkServer() = default;

void LinkServer::send(std::uint64_t stream, const LinkFrame &frame)
{
    if (const auto session = m_implementation->sessions().find(stream)) {
        session->send(frame);
    }
}

void LinkServer::close(std::uint64_t stream)
{
    if (const auto session = m_implementation->sessions().find(stream)) {
        session->cancel();
    }
}

} // namespace snipevalve
