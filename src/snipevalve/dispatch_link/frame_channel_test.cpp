#include <catch2/catch.hpp>

#include "snipevalve/dispatch_link/frame_channel.hpp"
#include "snipevalve/dispatch_link/generated/dispatch.pb.h"

namespace snipevalve {

namespace {

/// @return the frames that a channel delivers of these bytes, of which the second part arrives a little later
std::vector<std::string> receiveAll(const std::string &first, const std::string &second, bool endsWithReset)
{
    asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0));
    Tcp::socket peer(context);
    peer.connect(acceptor.local_endpoint());
    const auto channel = std::make_shared<FrameChannel>(acceptor.accept());
    std::vector<std::string> frames;
    const auto receiveFrames = [&]() -> Awaitable<void> {
        std::string frame;
        while (co_await channel->receive(frame)) {
            frames.push_back(frame);
        }
    };
    asio::co_spawn(context, receiveFrames(), asio::detached);
    asio::write(peer, asio::buffer(first));
    context.poll();
    asio::write(peer, asio::buffer(second));
    context.poll();
    if (endsWithReset) {
        peer.set_option(asio::socket_base::linger(true, 0));
    }
    peer.close();
    context.run();
    CHECK_FALSE(channel->isOpen());
    return frames;
}

/// @return the bytes of a frame as a channel sends them
std::string encodeFrame(const std::string &payload)
{
    return std::string(3, '\0') + static_cast<char>(payload.size()) + payload;
}

} // namespace

TEST_CASE("a frame that is cut anywhere is not delivered")
{
    const std::string payload = "a frame's payload";
    for (const int wholeFrames : {0, 2}) {
        std::string before;
        for (int frame = 0; frame < wholeFrames; ++frame) {
            before += encodeFrame(payload);
        }
        const std::string last = encodeFrame(payload);
        for (std::size_t cut = 0; cut <= last.size(); ++cut) {
            const std::string bytes = before + last.substr(0, cut);
            const std::size_t expected = static_cast<std::size_t>(wholeFrames) + (cut == last.size() ? 1 : 0);
            for (std::size_t split = 0; split <= bytes.size(); ++split) {
                for (const bool endsWithReset : {false, true}) {
                    INFO(wholeFrames << " whole frames, cut after " << cut << " bytes, read in two parts at " << split
                                     << (endsWithReset ? ", reset" : ", closed"));
                    const auto frames = receiveAll(bytes.substr(0, split), bytes.substr(split), endsWithReset);
                    CHECK(frames == std::vector<std::string>(expected, payload));
                }
            }
        }
    }
}

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
