#ifndef SNIPEVALVE_DISPATCH_REMAINING_WORK_HPP
#define SNIPEVALVE_DISPATCH_REMAINING_WORK_HPP

#include <optional>
#include <vector>

#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/dispatch/work.hpp"

namespace snipevalve {

/// @brief What one server still has to do of the requests that were placed on it. No I/O, threads or clock.
class RemainingWork
{
public:
    /// @param expected time that the request will take on this server
    /// @param hasSlot whether it runs; else it waits at the server for a slot
    void add(Ticket ticket, Seconds expected, bool hasSlot, TimePoint now);

    /// @brief Notes that a waiting request has got a slot.
    void start(Ticket ticket, TimePoint now);

    /// @brief Removes a request that has ended. Unknown tickets are ignored.
    void remove(Ticket ticket);

    /// @brief When one more request would get a slot.
    /// @param slots of the server
    /// @return empty when fewer requests are known here than the server has slots
    std::optional<Seconds> untilSlot(unsigned slots, TimePoint now) const;

private:
    struct Entry
    {
        Ticket ticket = 0;
        Seconds expected{0};
        bool hasSlot = false;
        TimePoint since; ///< it has its slot
    };

    static Seconds restOf(const Entry &entry, TimePoint now);

    std::vector<Entry> m_entries; ///< in the order in which they were placed; a server has a few slots
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_REMAINING_WORK_HPP
