#ifndef SNIPEVALVE_NODE_SLOT_RESERVE_LOG_HPP
#define SNIPEVALVE_NODE_SLOT_RESERVE_LOG_HPP

#include <spdlog/spdlog.h>

#include <string>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/dispatch/slot_shares.hpp"

namespace snipevalve {

/// @brief Logs changes of the slots that a service reserves for urgent requests.
class SlotReserveLog
{
public:
    /// @brief To be called regularly with the present reserve.
    void update(const std::string &service, const SlotShares::Summary &reserve, TimePoint now)
    {
        const bool isOnOrOff = (reserve.slots > 0) != (m_logged.slots > 0);
        const bool isChanged = reserve.slots != m_logged.slots;
        if (!isChanged || now - m_loggedAt < (isOnOrOff ? MinInterval : ChangeInterval)) {
            return;
        }
        m_logged = reserve;
        m_loggedAt = now;
        spdlog::info("lead: event=slot_reserve service={} servers={} slots={} urgent_demand={:.1f}",
                     escapeLogValue(service), reserve.pools, reserve.slots, reserve.demand);
    }

private:
    static constexpr Milliseconds MinInterval{1'000};
    static constexpr Milliseconds ChangeInterval{5'000}; ///< with a hundred servers the sum changes all the time

    SlotShares::Summary m_logged;
    TimePoint m_loggedAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_SLOT_RESERVE_LOG_HPP
