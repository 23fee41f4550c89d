#ifndef SNIPEVALVE_SOAK_CHECKS_HPP
#define SNIPEVALVE_SOAK_CHECKS_HPP

#include <string>
#include <vector>

#include "soak/records.hpp"

namespace snipevalve::soak {

/// @brief The documented bounds that a run has to meet.
struct SoakBounds
{
    Milliseconds settleTime{3'000}; ///< the bounds apply to a node only after this time without a disturbance
    Milliseconds drain{2'000};
    Milliseconds pauseGrace{500}; ///< requests that reach a server within this time of its answer were under way
    std::size_t requestsInPause = 2;
    Milliseconds config{2'000};
    Milliseconds rollbackSlack{250};
    Milliseconds recovery{15'000};
    double retryRatio = 0.2;
    double retrySlack = 60;
    Milliseconds retryWindow{10'000};
};

/// @brief A violated guarantee.
struct Violation
{
    std::string guarantee;
    std::string id; ///< of the request, server or version
    std::string what;
};

/// @brief Checks all guarantees against the records of callers and servers.
/// @return the violations, in the order of the checks
std::vector<Violation> findViolations(const SoakRecords &records, const SoakBounds &bounds);

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_CHECKS_HPP
