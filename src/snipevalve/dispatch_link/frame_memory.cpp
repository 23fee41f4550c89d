#include "snipevalve/dispatch_link/frame_memory.hpp"

#include <algorithm>
#include <utility>

namespace snipevalve {

FrameMemory::FrameMemory(std::size_t limit)
    : m_limit(limit)
{
}

bool FrameMemory::ask(Channel channel, std::size_t bytes, std::function<void()> close)
{
    release(channel);
    while (m_held + bytes > m_limit) {
        const auto largest =
            std::max_element(m_channels.begin(), m_channels.end(), [](const auto &left, const auto &right) {
                return left.second.bytes < right.second.bytes;
            });
        if (largest == m_channels.end() || largest->second.bytes <= bytes) {
            return false;
        }
        const std::function<void()> closeLargest = std::move(largest->second.close);
        release(largest->first);
        closeLargest();
    }
    m_held += bytes;
    m_channels[channel] = {bytes, std::move(close)};
    return true;
}

void FrameMemory::release(Channel channel)
{
    const auto position = m_channels.find(channel);
    if (position != m_channels.end()) {
        m_held -= position->second.bytes;
        m_channels.erase(position);
    }
}

std::size_t FrameMemory::held() const
{
    return m_held;
}

} // namespace snipevalve
