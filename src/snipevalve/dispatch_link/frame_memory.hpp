#ifndef SNIPEVALVE_DISPATCH_LINK_FRAME_MEMORY_HPP
#define SNIPEVALVE_DISPATCH_LINK_FRAME_MEMORY_HPP

#include <cstddef>
#include <functional>
#include <map>

namespace snipevalve {

/// @brief Bounds what several channels hold of frames that have not arrived whole. If there is no room, the channel
/// that holds most is closed. Not thread-safe.
class FrameMemory
{
public:
    using Channel = const void *; ///< identifies a channel

    /// @param limit bytes that all channels may hold
    explicit FrameMemory(std::size_t limit);

    /// @brief Asks to hold this many bytes from now on, instead of what the channel holds.
    /// @param close closes the channel; called when another one needs its room
    /// @return false if the channel would itself hold most; it holds nothing then
    bool ask(Channel channel, std::size_t bytes, std::function<void()> close);

    /// @brief Gives back all that the channel holds.
    void release(Channel channel);

    std::size_t held() const;

private:
    struct Holding
    {
        std::size_t bytes = 0;
        std::function<void()> close;
    };

    std::size_t m_limit;
    std::size_t m_held = 0;
    std::map<Channel, Holding> m_channels;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_LINK_FRAME_MEMORY_HPP
