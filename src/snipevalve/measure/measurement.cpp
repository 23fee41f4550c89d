#include "snipevalve/measure/measurement.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <istream>
#include <ostream>
#include <sstream>
#include <stdexcept>

namespace snipevalve {

namespace {

constexpr const char *CsvHeader = "name,by,size,value,unit";
constexpr int Digits = 4;

std::string format(double value)
{
    std::ostringstream text;
    text << std::setprecision(Digits) << value;
    return text.str();
}

void fit(Slope &slope)
{
    const auto count = static_cast<double>(slope.samples.size());
    double sumX = 0;
    double sumY = 0;
    for (const Sample &sample : slope.samples) {
        sumX += sample.size;
        sumY += sample.value;
    }
    const double meanX = sumX / count;
    const double meanY = sumY / count;
    double squares = 0;
    double products = 0;
    for (const Sample &sample : slope.samples) {
        squares += (sample.size - meanX) * (sample.size - meanX);
        products += (sample.size - meanX) * (sample.value - meanY);
    }
    slope.perUnit = squares > 0 ? products / squares : 0;
    slope.base = meanY - slope.perUnit * meanX;
    double residuals = 0;
    for (const Sample &sample : slope.samples) {
        const double residual = sample.value - slope.base - slope.perUnit * sample.size;
        residuals += residual * residual;
    }
    const bool hasError = slope.samples.size() > 2 && squares > 0;
    slope.error = hasError ? std::sqrt(residuals / (count - 2) / squares) : 0;
}

} // namespace

void writeCsv(std::ostream &out, const std::vector<Sample> &samples)
{
    out << CsvHeader << "\n";
    for (const Sample &sample : samples) {
        out << sample.name << "," << sample.by << "," << format(sample.size) << "," << format(sample.value) << ","
            << sample.unit << "\n";
    }
}

std::vector<Sample> readCsv(std::istream &in)
{
    std::vector<Sample> samples;
    std::string line;
    std::getline(in, line);
    if (line != CsvHeader) {
        throw std::runtime_error("the first line must be " + std::string(CsvHeader));
    }
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        Sample sample;
        std::string size;
        std::string value;
        std::getline(fields, sample.name, ',');
        std::getline(fields, sample.by, ',');
        std::getline(fields, size, ',');
        std::getline(fields, value, ',');
        std::getline(fields, sample.unit, ',');
        sample.size = std::stod(size);
        sample.value = std::stod(value);
        samples.push_back(std::move(sample));
    }
    return samples;
}

std::vector<Slope> fitSlopes(const std::vector<Sample> &samples)
{
    std::vector<Slope> slopes;
    for (const Sample &sample : samples) {
        const auto isSame = [&](const Slope &slope) {
            return slope.name == sample.name;
        };
        auto position = std::find_if(slopes.begin(), slopes.end(), isSame);
        if (position == slopes.end()) {
            Slope slope;
            slope.name = sample.name;
            slope.by = sample.by;
            slope.unit = sample.unit;
            slopes.push_back(std::move(slope));
            position = slopes.end() - 1;
        }
        position->samples.push_back(sample);
    }
    for (Slope &slope : slopes) {
        fit(slope);
    }
    return slopes;
}

std::string toMarkdown(const std::vector<Slope> &slopes)
{
    std::string table =
        "| measured | unit | by | at sizes | base | each more | error |\n|---|---|---|---|---|---|---|\n";
    for (const Slope &slope : slopes) {
        std::string sizes;
        for (const Sample &sample : slope.samples) {
            sizes += (sizes.empty() ? "" : "; ") + format(sample.size) + ": " + format(sample.value);
        }
        table += "| " + slope.name + " | " + slope.unit + " | " + slope.by + " | " + sizes + " | " + format(slope.base)
            + " | " + format(slope.perUnit) + " | " + format(slope.error) + " |\n";
    }
    return table;
}

std::string toSvg(const Slope &slope)
{
    constexpr double Width = 480;
    constexpr double Height = 320;
    constexpr double Margin = 50;
    double largestX = 1e-9;
    double largestY = 1e-9;
    for (const Sample &sample : slope.samples) {
        largestX = std::max(largestX, sample.size);
        largestY = std::max(largestY, sample.value);
    }
    const auto x = [&](double size) {
        return Margin + size / largestX * (Width - 2 * Margin);
    };
    const auto y = [&](double value) {
        return Height - Margin - value / largestY * (Height - 2 * Margin);
    };
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << Margin << "\" y=\"20\">" << slope.name << " (" << slope.unit << ") by " << slope.by
        << "</text>\n<path d=\"M" << x(0) << " " << y(largestY) << " V" << y(0) << " H" << x(largestX)
        << "\" fill=\"none\" stroke=\"black\"/>\n<line x1=\"" << x(0) << "\" y1=\"" << y(slope.base) << "\" x2=\""
        << x(largestX) << "\" y2=\"" << y(slope.base + slope.perUnit * largestX) << "\" stroke=\"steelblue\"/>\n";
    for (const Sample &sample : slope.samples) {
        svg << "<circle cx=\"" << x(sample.size) << "\" cy=\"" << y(sample.value) << "\" r=\"4\"/>\n<text x=\""
            << x(sample.size) - 20 << "\" y=\"" << y(sample.value) - 8 << "\">" << format(sample.value)
            << "</text>\n<text x=\"" << x(sample.size) - 10 << "\" y=\"" << Height - Margin + 18 << "\">"
            << format(sample.size) << "</text>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace snipevalve
