#ifndef SNIPEVALVE_STANDINS_HISTORY_HPP
#define SNIPEVALVE_STANDINS_HISTORY_HPP

#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/token.hpp"
#include "standins/load_generator.hpp"

namespace snipevalve::standins {

/// @brief A request that took effect at a server, as recorded in the server's log.
struct RunRecord
{
    std::string server;
    std::string id;
    std::string method;
    std::string group; ///< empty for a pool
    std::uint32_t slot = 0;
    std::uint64_t effectNs = 0;
    Token acquired; ///< the token of the order that gave the slot to the server
};

/// @brief Reads the log that the server stand-ins append to. Lines that don't parse are skipped, because a kill can
/// cut the last line short.
std::vector<RunRecord> readRuns(const std::string &path);

/// @brief The violations and measurements of one run of callers.
struct HistoryReport
{
    std::vector<std::string> violations; ///< one text for each violated guarantee
    std::map<CallEnd, std::size_t> ends;
    std::map<std::string, double> imbalance; ///< by service: maximum over mean of the runs per server
    double medianMs = 0;
    double p99Ms = 0;
    double movedSlots = 0; ///< share of the slots with runs at more than one server
    double unavailableKeySeconds = 0; ///< from a key's first failed or slow call to its next answer, summed over keys
    double longestUnavailableSeconds = 0;
};

/// @brief Checks the callers' results against the servers' logs.
HistoryReport checkHistory(const std::vector<CallRecord> &calls, const std::vector<RunRecord> &runs);

/// @brief Checks exclusive ownership only: in the order of their effects, a slot's runs must have non-decreasing
/// tokens, and runs at different servers must have different tokens.
/// @return the violations
std::vector<std::string> checkOwnership(std::vector<RunRecord> runs);

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_HISTORY_HPP
