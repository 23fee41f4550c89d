#ifndef SNIPEVALVE_STANDINS_HISTORY_HPP
#define SNIPEVALVE_STANDINS_HISTORY_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/token.hpp"
#include "standins/caller.hpp"

namespace snipevalve::standins {

/// @brief One request that took effect at a server, as the server's log has it.
struct RunRecord
{
    std::string server;
    std::string id;
    std::string method;
    std::string group; ///< empty for a pool
    std::uint32_t slot = 0;
    std::uint64_t effectNs = 0;
    Token acquired; ///< the grant that it ran under
};

/// @brief Reads the log that the server stand-ins have appended to. A last line cut short by a kill is left out.
std::vector<RunRecord> readRuns(const std::string &path);

/// @brief What a run of callers shows.
struct HistoryReport
{
    std::vector<std::string> violations; ///< each a breach of what must always hold
    std::map<CallEnd, std::size_t> ends;
    std::map<std::string, double> imbalance; ///< most over mean runs of a service's servers
    double medianMs = 0;
    double p99Ms = 0;
    double movedSlots = 0; ///< share of the slots that ran at more than one server
    double unavailableKeySeconds = 0; ///< from a key's first failure to its next answer, over all keys
    double longestUnavailableSeconds = 0;
};

/// @brief Compares what the callers saw with what the servers ran.
HistoryReport checkHistory(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs);

/// @brief The breaches of exclusive ownership alone: a slot's effects have to follow the order of their grants.
std::vector<std::string> checkOwnership(std::vector<RunRecord> runs);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_HISTORY_HPP
