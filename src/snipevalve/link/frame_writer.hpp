#ifndef SNIPEVALVE_LINK_FRAME_WRITER_HPP
#define SNIPEVALVE_LINK_FRAME_WRITER_HPP

#include <deque>
#include <mutex>

#include "snipevalve/link/generated/link.pb.h"

namespace snipevalve::detail {

/// @brief Queues frames for a gRPC stream, which allows only one write at a time. Thread-safe.
class FrameWriter
{
public:
    /// @brief Queues a frame and writes it at once if no write is in progress. Does nothing after close().
    /// @param startWrite starts the write of one frame; called with the lock held
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

    /// @brief Removes the frame whose write has finished, and starts the next write unless the stream is closed.
    template <typename StartWrite>
    void pop(StartWrite startWrite)
    {
        const std::lock_guard lock(m_mutex);
        m_queue.pop_front();
        if (!m_closed && !m_queue.empty()) {
            startWrite(&m_queue.front());
        }
    }

    /// @brief Stops further writes.
    /// @return true on the first call, whose caller has to end the stream
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
