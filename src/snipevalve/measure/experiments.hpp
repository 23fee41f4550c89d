#ifndef SNIPEVALVE_MEASURE_EXPERIMENTS_HPP
#define SNIPEVALVE_MEASURE_EXPERIMENTS_HPP

#include <string>
#include <vector>

#include "snipevalve/measure/measurement.hpp"

namespace snipevalve {

/// @brief A measurement that runs inside this process, at any size.
struct Experiment
{
    std::string name;
    std::string by;
    std::string unit;
    std::vector<double> sizes; ///< when the runs file names none
    double (*measure)(double size) = nullptr;
};

const std::vector<Experiment> &experiments();

} // namespace snipevalve

#endif // SNIPEVALVE_MEASURE_EXPERIMENTS_HPP
