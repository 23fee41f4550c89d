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
constexpr int SignificantDigits = 4;

std::string format(double value)
{
    std::ostringstream text;
    text << std::setprecision(SignificantDigits) << value;
    return text.str();
}

void fitLine(FittedLine &line)
{
    const auto count = static_cast<double>(line.samples.size());
    double sumX = 0;
    double sumY = 0;
    for (const Sample &sample : line.samples) {
        sumX += sample.size;
        sumY += sample.value;
    }
    const double meanX = sumX / count;
    const double meanY = sumY / count;
    double squaresX = 0;
    double productsXY = 0;
    for (const Sample &sample : line.samples) {
        squaresX += (sample.size - meanX) * (sample.size - meanX);
        productsXY += (sample.size - meanX) * (sample.value - meanY);
    }
    line.slope = squaresX > 0 ? productsXY / squaresX : 0;
    line.intercept = meanY - line.slope * meanX;
    double residuals = 0;
    for (const Sample &sample : line.samples) {
        const double residual = sample.value - line.intercept - line.slope * sample.size;
        residuals += residual * residual;
    }
    const bool hasSlopeError = line.samples.size() > 2 && squaresX > 0;
    line.slopeError = hasSlopeError ? std::sqrt(residuals / (count - 2) / squaresX) : 0;
}

} // namespace

void writeCsv(std::ostream &out, const std::vector<Sample> &samples)
{
    out << CsvHeader << "\n";
    for (const Sample &sample : samples) {
        out << sample.name << "," << sample.sizeUnit << "," << format(sample.size) << "," << format(sample.value) << ","
            << sample.unit << "\n";
    }
}

std::vector<Sample> readCsv(std::istream &in)
{
    std::vector<Sample> samples;
    std::string line;
    std::getline(in, line);
    if (line != CsvHeader) {
        throw std::runtime_error("the header row must be " + std::string(CsvHeader));
    }
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        Sample sample;
        std::string size;
        std::string value;
        std::getline(fields, sample.name, ',');
        std::getline(fields, sample.sizeUnit, ',');
        std::getline(fields, size, ',');
        std::getline(fields, value, ',');
        std::getline(fields, sample.unit, ',');
        sample.size = std::stod(size);
        sample.value = std::stod(value);
        samples.push_back(std::move(sample));
    }
    return samples;
}

std::vector<FittedLine> fitLines(const std::vector<Sample> &samples)
{
    std::vector<FittedLine> lines;
    for (const Sample &sample : samples) {
        const auto isSame = [&](const FittedLine &line) {
            return line.name == sample.name;
        };
        auto position = std::find_if(lines.begin(), lines.end(), isSame);
        if (position == lines.end()) {
            FittedLine line;
            line.name = sample.name;
            line.sizeUnit = sample.sizeUnit;
            line.unit = sample.unit;
            lines.push_back(std::move(line));
            position = lines.end() - 1;
        }
        position->samples.push_back(sample);
    }
    for (FittedLine &line : lines) {
        fitLine(line);
    }
    return lines;
}

std::string toMarkdown(const std::vector<FittedLine> &lines)
{
    std::string table =
        "| measured | unit | by | at sizes | base | each more | error |\n|---|---|---|---|---|---|---|\n";
    for (const FittedLine &line : lines) {
        std::string sizes;
        for (const Sample &sample : line.samples) {
            sizes += (sizes.empty() ? "" : "; ") + format(sample.size) + ": " + format(sample.value);
        }
        table += "| " + line.name + " | " + line.unit + " | " + line.sizeUnit + " | " + sizes + " | "
            + format(line.intercept) + " | " + format(line.slope) + " | " + format(line.slopeError) + " |\n";
    }
    return table;
}

std::string toSvg(const FittedLine &line)
{
    constexpr double Width = 480;
    constexpr double Height = 320;
    constexpr double Margin = 50;
    double largestX = 1e-9;
    double largestY = 1e-9;
    for (const Sample &sample : line.samples) {
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
        << "<text x=\"" << Margin << "\" y=\"20\">" << line.name << " (" << line.unit << ") by " << line.sizeUnit
        << "</text>\n<path d=\"M" << x(0) << " " << y(largestY) << " V" << y(0) << " H" << x(largestX)
        << "\" fill=\"none\" stroke=\"black\"/>\n<line x1=\"" << x(0) << "\" y1=\"" << y(line.intercept) << "\" x2=\""
        << x(largestX) << "\" y2=\"" << y(line.intercept + line.slope * largestX) << "\" stroke=\"steelblue\"/>\n";
    for (const Sample &sample : line.samples) {
        svg << "<circle cx=\"" << x(sample.size) << "\" cy=\"" << y(sample.value) << "\" r=\"4\"/>\n<text x=\""
            << x(sample.size) - 20 << "\" y=\"" << y(sample.value) - 8 << "\">" << format(sample.value)
            << "</text>\n<text x=\"" << x(sample.size) - 10 << "\" y=\"" << Height - Margin + 18 << "\">"
            << format(sample.size) << "</text>\n";
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace snipevalve
