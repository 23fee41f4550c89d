#ifndef SNIPEVALVE_SOAK_SCHEDULE_HPP
#define SNIPEVALVE_SOAK_SCHEDULE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve::soak {

/// @brief What is done to the system, each from outside its programs.
enum class FaultKind {
    KillNode, ///< SIGKILL, started again after the duration
    StopNode, ///< SIGTERM, started again when it has ended
    FreezeNode, ///< SIGSTOP for the duration
    ReloadNode, ///< SIGHUP
    DelayStore, ///< the way of one node to the store, from here on
    ResetStore,
    CutStoreThere,
    CutStoreBack,
    SilenceStore,
    StoreAway, ///< the store itself, for all nodes
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, ///< it drops its history
    DelayServer, ///< the way of all nodes to one server
    ResetServer,
    SilenceServer,
    CrashServer, ///< it starts again under its id after the duration, and knows nothing
    DrainServer, ///< it says that it leaves; a new one comes
    LateGrants, ///< servers carry orders out late and do not answer them
    ServerAnswersWrong, ///< another request's answer, no stamp, cut short, encoded
    ChangeConfig, ///< a route more
    LastKind = ChangeConfig,
};

std::string_view describe(FaultKind kind);

/// @brief Whether the fault is planned work, which may cut nothing.
bool isPlanned(FaultKind kind);

struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    Milliseconds at{0}; ///< from the start of traffic
    Milliseconds duration{0};
    unsigned target = 0; ///< number of a node or server; taken modulo their count
};

/// @brief The faults of one seed, by time. The same seed and length give the same faults on every machine.
std::vector<Fault> makeSchedule(std::uint64_t seed, Milliseconds length);

/// @brief One line a fault, for findings.
std::string describe(const std::vector<Fault> &schedule);

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SCHEDULE_HPP
