#ifndef SNIPEVALVE_SOAK_HOLD_CHECKS_HPP
#define SNIPEVALVE_SOAK_HOLD_CHECKS_HPP

#include <string>
#include <vector>

#include "soak/checks.hpp"
#include "standins/hold_record.hpp"

namespace snipevalve::soak {

/// @brief One run of a keyed server.
struct ServerRun
{
    standins::ServerRecord record;
    TimePoint endedAt; ///< when the process was killed, or the end of the record
};

/// @brief A moment from which grants may arrive that were held up until then.
struct GrantExcuse
{
    TimePoint at;
    std::string giver; ///< address of the host that was resumed; empty for any
    std::string server; ///< whose connections have healed; empty for any
    bool takenLate = false; ///< the server itself was resumed: such grants count only when they let requests run
};

/// @brief The rules for holds.
struct HoldBounds
{
    Milliseconds thaw{300}; ///< grants that arrive within this time of their excuse do not count
    Milliseconds overlap{0}; ///< for which two servers may hold the same keys
};

/// @brief Compares the holds of all servers over the whole run, pair by pair and key by key: two servers that hold the
/// same keys for too long, or that both begin requests on them in that time; keys that are granted while another server
/// works on them within its granted time; and fencing tokens that do not rise from owner to owner.
std::vector<Violation> findHoldViolations(const std::vector<ServerRun> &runs, const std::vector<GrantExcuse> &excuses,
                                          const HoldBounds &bounds);

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_HOLD_CHECKS_HPP
