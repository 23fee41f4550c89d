#ifndef SNIPEVALVE_MEASURE_EXPERIMENTS_HPP
#define SNIPEVALVE_MEASURE_EXPERIMENTS_HPP

#include <string>
#include <vector>

#include "snipevalve/measure/measurement.hpp"

namespace snipevalve {

/// @brief A measurement that runs inside this process, at any size.
struct Benchmark
{
    std::string name;
    std::string sizeUnit;
    std::string unit;
    std::vector<double> defaultSizes; ///< when the runs file names none
    double (*run)(double size) = nullptr;
};

const std::vector<Benchmark> &benchmarks();

} // namespace snipevalve

#endif // SNIPEVALVE_MEASURE_EXPERIMENTS_HPP
