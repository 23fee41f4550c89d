#ifndef SNIPEVALVE_LINK_FRAME_WRITER_HPP
#define SNIPEVALVE_LINK_FRAME_WRITER_HPP

#include <deque>
#include <mutex>

#include "snipevalve/link/generated/link.pb.h"

namespace snipevalve::detail {

/// @brief Queues frames for a gRPC stream, which takes one write at a time.
class FrameWriter
{
public:
    /// @param startWrite begins the write of one frame; called with the lock held, never after close()
    template <typename StartWrite>
    void push(proto::Frame frame, StartWrite startWrite)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_queue.push_back(std::move(frame));
        if (m_queue.size() == 1) {
            startWrite(&m_queue.front());
        }
    }

    /// @brief The write of the first frame is over; begins the next one.
    template <typename StartWrite>
    void pop(StartWrite startWrite)
    {
        const std::lock_guard lock(m_mutex);
        m_queue.pop_front();
        if (!m_closed && !m_queue.empty()) {
            startWrite(&m_queue.front());
        }
    }

    /// @return true for the first call, which has to end the stream
    bool close()
    {
        const std::lock_guard lock(m_mutex);
        const bool isFirst = !m_closed;
        m_closed = true;
        return isFirst;
    }

private:
    std::mutex m_mutex;
    std::deque<proto::Frame> m_queue;
    bool m_closed = false;
};

} // namespace snipevalve::detail

#endif // SNIPEVALVE_LINK_FRAME_WRITER_HPP
