#include <catch2/catch.hpp>

#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/generated/dispatch.pb.h"

namespace snipevalve {

TEST_CASE("a channel whose last owner releases it right after a send stays alive until the write has ended")
{
    // Hosts join and leave by the dozen, so a leader may drop the channel to a host just after queueing a message for
    // it, before the write coroutine has started. The channel must not be destroyed until the write has ended.
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    Tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    auto channel = std::make_shared<FrameChannel>(acceptor.accept());
    proto::LeaderFrame frame;
    frame.set_config_version(7);
    channel->send(frame);
    const std::weak_ptr<FrameChannel> alive = channel;
    channel.reset();
    CHECK_FALSE(alive.expired());
    context.run();
    CHECK(alive.expired());
    std::string bytes(64, '\0');
    ErrorCode error;
    bytes.resize(peer.read_some(asio::buffer(bytes), error));
    CHECK(bytes.size() > 4);
}

} // namespace snipevalve
