#ifndef SNIPEVALVE_SOAK_CHECKS_HPP
#define SNIPEVALVE_SOAK_CHECKS_HPP

#include <string>
#include <vector>

#include "soak/records.hpp"

namespace snipevalve::soak {

/// @brief The bounds of the users' pages.
struct SoakBounds
{
    Milliseconds contact{3'000}; ///< a node has to be left alone for so long before bounds hold for it
    Milliseconds drain{2'000};
    Milliseconds config{2'000};
    Milliseconds rollbackSlack{250};
    Milliseconds recovery{15'000};
    double retryRatio = 0.2;
    double retrySlack = 60;
    Milliseconds retryWindow{10'000};
};

/// @brief A broken promise.
struct Breach
{
    std::string promise;
    std::string id; ///< of the request, server or version
    std::string what;
};

/// @brief Checks all promises over what callers and servers have seen.
std::vector<Breach> findBreaches(const SoakRecords &records, const SoakBounds &bounds);

} // namespace snipevalve::soak

#endif // SNIPEVALVE_SOAK_CHECKS_HPP
