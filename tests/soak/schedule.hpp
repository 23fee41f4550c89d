#ifndef SNIPEVALVE_SOAK_SCHEDULE_HPP
#define SNIPEVALVE_SOAK_SCHEDULE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"

namespace snipevalve::soak {

/// @brief Faults and planned changes, all applied from outside the programs.
enum class FaultKind {
    KillNode, ///< SIGKILL, restarted after the duration
    StopNode, ///< SIGTERM, restarted once it has exited
    FreezeNode, ///< SIGSTOP for the duration
    ReloadNode, ///< SIGHUP
    DelayStore, ///< this and the next four: the connections of one node to the store
    ResetStore,
    BlockToStore,
    BlockFromStore,
    BlackholeStore,
    StoreUnavailable, ///< this and the next three: the store itself, for all nodes
    StoreSlow,
    StoreDropsResponses,
    StoreLosesHistory, ///< it drops its history of changes
    DelayServer, ///< this and the next two: the connections of all nodes to one server
    ResetServer,
    BlackholeServer,
    CrashServer, ///< it restarts under the same id after the duration, with its state lost
    DrainServer, ///< it announces that it drains, and a new server is added
    LateGrants, ///< servers execute orders late and do not answer them
    WrongServerResponses, ///< a response of another request, without a stamp, truncated or encoded
    ChangeConfig, ///< adds a route
    RestoreStore, ///< the store is away for the duration and comes back from a copy
    SlowNode, ///< it runs for a fifth of the time
    BusyMachine, ///< other work takes all cores
    DelayLinks, ///< this and the next three: the connections of other nodes to one node
    ResetLinks,
    CutLinksToNode,
    CutLinksFromNode,
    CutToServer, ///< this and the next one: the connections of all nodes to one server, in one direction
    CutFromServer,
    CutServerFromStore, ///< requests still reach it
    FreezeServer, ///< SIGSTOP for the duration
    LastKind = FreezeServer,
};

std::string_view describe(FaultKind kind);

/// @brief Whether the fault is planned work, which must not lose requests.
bool isPlanned(FaultKind kind);

struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    Milliseconds at{0}; ///< from the start of traffic
    Milliseconds duration{0};
    unsigned target = 0; ///< number of a node or server; taken modulo their count
    Milliseconds copyAge{0}; ///< of a restored store, when it goes away
};

/// @brief Generates the faults of one seed. The same seed and length give the same faults on every machine.
std::vector<Fault> makeSchedule(std::uint64_t seed, Milliseconds length);

/// @brief Generates faults of some kinds only, to reproduce a finding.
/// @param longest upper limit of the durations
std::vector<Fault> makeSchedule(std::uint64_t seed, Milliseconds length, const std::vector<FaultKind> &kinds,
                                Milliseconds longest);

/// @return the kind with this description
std::optional<FaultKind> parseFaultKind(std::string_view description);

/// @brief Formats the schedule for reports, one line per fault.
std::string describe(const std::vector<Fault> &schedule);

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_SCHEDULE_HPP
