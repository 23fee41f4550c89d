#ifndef SNIPEVALVE_MEASURE_MEASUREMENT_HPP
#define SNIPEVALVE_MEASURE_MEASUREMENT_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace snipevalve {

/// @brief One measured value at one size.
struct Sample
{
    std::string name; ///< what is measured
    std::string sizeUnit; ///< what the size counts
    double size = 0;
    double value = 0;
    std::string unit;
};

/// @brief A line through the samples of one measurement, by least squares.
struct FittedLine
{
    std::string name;
    std::string sizeUnit;
    std::string unit;
    std::vector<Sample> samples;
    double intercept = 0; ///< value at size 0
    double slope = 0; ///< growth of the value with each unit of size
    double slopeError = 0; ///< standard error of perUnit
};

/// @brief Writes samples as CSV with a header line.
void writeCsv(std::ostream &out, const std::vector<Sample> &samples);

/// @throws std::runtime_error when a line can't be read
std::vector<Sample> readCsv(std::istream &in);

/// @brief Fits a line to each measurement, in the order of the samples.
std::vector<FittedLine> fitLines(const std::vector<Sample> &samples);

/// @brief The table of the slopes for docs/CAPACITY.md.
std::string toMarkdown(const std::vector<FittedLine> &lines);

/// @brief A plot of one slope with its samples, as SVG.
std::string toSvg(const FittedLine &line);

} // namespace snipevalve

#endif // SNIPEVALVE_MEASURE_MEASUREMENT_HPP
