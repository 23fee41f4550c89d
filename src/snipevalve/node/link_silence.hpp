#ifndef SNIPEVALVE_NODE_LINK_SILENCE_HPP
#define SNIPEVALVE_NODE_LINK_SILENCE_HPP

#include <algorithm>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief Decides when a leader that sends nothing is given up. No I/O, threads or clock.
///
/// Requests wait for the leader's decision meanwhile, so the time has to be shorter than the targets of most routes. A
/// host that could not run for a while has frames to read first; that time does not count as silence of the leader.
class LinkSilence
{
public:
    /// Leaders send heartbeats this often.
    static constexpr Milliseconds HeartbeatInterval{200};
    /// A leader that sends nothing for this long is given up. Requests of most routes have a target of 0.5 to 0.8 s.
    static constexpr Milliseconds Timeout{500};
    /// A host that was not asked for longer than this has been stalled itself.
    static constexpr Milliseconds MaxCheckGap{150};

    /// @brief Whether the leader is to be given up. To be asked about every 50 ms.
    /// @param receivedAt when the last bytes of the leader arrived
    bool isOver(TimePoint receivedAt, TimePoint now)
    {
        if (now - m_checkedAt > MaxCheckGap) {
            m_resumedAt = now;
        }
        m_checkedAt = now;
        return now - std::max(receivedAt, m_resumedAt) > Timeout;
    }

private:
    TimePoint m_checkedAt;
    TimePoint m_resumedAt; ///< when this host last ran again after a stall
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_LINK_SILENCE_HPP
