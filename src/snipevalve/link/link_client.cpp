#include <future>

#include <grpcpp/grpcpp.h>

#include "snipevalve/link/frame_codec.hpp"
#include "snipevalve/link/frame_writer.hpp"
#include "snipevalve/link/generated/link.grpc.pb.h"
#include "snipevalve/link/link.hpp"

namespace snipevalve {

struct LinkChannel
{
    std::unique_ptr<proto::Link::Stub> stub;
};

std::shared_ptr<LinkChannel> makeLinkChannel(const Endpoint &endpoint)
{
    constexpr int ReconnectBackoffMs = 200;
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, ReconnectBackoffMs);
    const auto channel = grpc::CreateCustomChannel(toString(endpoint), grpc::InsecureChannelCredentials(), arguments);
    return std::make_shared<LinkChannel>(LinkChannel{proto::Link::NewStub(channel)});
}

class LinkClient::Implementation : public grpc::ClientBidiReactor<proto::Frame, proto::Frame>
{
public:
    Implementation(std::shared_ptr<LinkChannel> channel, std::uint64_t stream, LinkEvents events)
        : m_channel(std::move(channel))
        , m_stream(stream)
        , m_events(std::move(events))
    {
    }

    /// Opens the stream.
    /// @param self keeps this object alive until OnDone
    void start(std::shared_ptr<Implementation> self)
    {
        m_self = std::move(self);
        m_channel->stub->async()->Exchange(&m_context, this);
        AddHold();
        StartRead(&m_incoming);
        m_events.onOpened(m_stream);
        StartCall();
    }

    void send(const LinkFrame &frame)
    {
        m_writer.push(detail::toProto(frame), [this](const proto::Frame *next) {
            StartWrite(next);
        });
    }

    void cancel()
    {
        m_context.TryCancel();
    }

    /// Waits for OnDone, which a gRPC thread calls soon after cancel().
    void waitUntilDone()
    {
        constexpr std::chrono::seconds MaxWait(1);
        m_done.get_future().wait_for(MaxWait);
    }

    void OnReadDone(bool ok) override // NOLINT(readability-identifier-naming)
    {
        if (!ok) {
            finish();
            return;
        }
        m_events.onFrame(m_stream, detail::fromProto(m_incoming));
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

    void OnDone(const grpc::Status &) override // NOLINT(readability-identifier-naming)
    {
        m_events.onClosed(m_stream);
        m_done.set_value();
        const std::shared_ptr<Implementation> self = std::move(m_self);
    }

private:
    void finish()
    {
        if (m_writer.close()) {
            m_context.TryCancel();
            RemoveHold();
        }
    }

    std::shared_ptr<LinkChannel> m_channel;
    std::uint64_t m_stream;
    LinkEvents m_events;
    grpc::ClientContext m_context;
    proto::Frame m_incoming;
    detail::FrameWriter m_writer;
    std::shared_ptr<Implementation> m_self;
    std::promise<void> m_done;
};

LinkClient::LinkClient(std::shared_ptr<LinkChannel> channel, std::uint64_t stream, LinkEvents events)
    : m_implementation(std::make_shared<Implementation>(std::move(channel), stream, std::move(events)))
{
    m_implementation->start(m_implementation);
}

LinkClient::~LinkClient()
{
    m_implementation->cancel();
    m_implementation->waitUntilDone();
}

void LinkClient::send(const LinkFrame &frame)
{
    m_implementation->send(frame);
}

} // namespace snipevalve
