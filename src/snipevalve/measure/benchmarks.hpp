#ifndef SNIPEVALVE_MEASURE_BENCHMARKS_HPP
#define SNIPEVALVE_MEASURE_BENCHMARKS_HPP

#include <string>
#include <vector>

#include "snipevalve/measure/measurement.hpp"

namespace snipevalve {

/// @brief A benchmark that runs inside this process for a given problem size.
struct Benchmark
{
    std::string name;
    std::string sizeUnit; ///< what the size counts, such as slots or servers
    std::string unit; ///< of the measured value
    std::vector<double> defaultSizes; ///< used unless the runs file lists sizes
    double (*run)(double size) = nullptr;
};

/// @return all benchmarks, in the order in which they run
const std::vector<Benchmark> &benchmarks();

} // namespace snipevalve

#endif // SNIPEVALVE_MEASURE_BENCHMARKS_HPP
