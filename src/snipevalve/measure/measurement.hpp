#ifndef SNIPEVALVE_MEASURE_MEASUREMENT_HPP
#define SNIPEVALVE_MEASURE_MEASUREMENT_HPP

#include <iosfwd>
#include <string>
#include <vector>

namespace snipevalve {

/// @brief A value measured at one problem size.
struct Sample
{
    std::string name; ///< what is measured
    std::string sizeUnit; ///< what the size counts
    double size = 0;
    double value = 0;
    std::string unit;
};

/// @brief The least-squares line through the samples of one benchmark.
struct FittedLine
{
    std::string name;
    std::string sizeUnit;
    std::string unit;
    std::vector<Sample> samples;
    double intercept = 0; ///< estimated value at size 0
    double slope = 0; ///< increase of the value per unit of size
    double slopeError = 0; ///< standard error of the slope; 0 with fewer than three samples
};

/// @brief Writes samples as CSV with a header row.
void writeCsv(std::ostream &out, const std::vector<Sample> &samples);

/// @brief Reads samples that writeCsv() wrote.
/// @throws std::runtime_error if the header row differs
/// @throws std::logic_error (from std::stod) if a size or value is not a number or is out of range
std::vector<Sample> readCsv(std::istream &in);

/// @brief Fits a line to the samples of each name, in the order in which the names first appear.
std::vector<FittedLine> fitLines(const std::vector<Sample> &samples);

/// @return the lines as the Markdown table of docs/CAPACITY.md
std::string toMarkdown(const std::vector<FittedLine> &lines);

/// @return an SVG plot of the line and its samples
std::string toSvg(const FittedLine &line);

} // namespace snipevalve

#endif // SNIPEVALVE_MEASURE_MEASUREMENT_HPP
