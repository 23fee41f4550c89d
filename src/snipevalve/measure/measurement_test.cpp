#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "snipevalve/measure/measurement.hpp"

namespace snipevalve {

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(SOURCE_FOLDER) + "/" + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("a line is fitted to the samples by least squares")
{
    struct Case
    {
        std::vector<Sample> samples;
        double intercept;
        double slope;
    };
    const std::vector<Case> cases = {
        {{{"a", "n", 1, 3, "B"}, {"a", "n", 2, 5, "B"}, {"a", "n", 3, 7, "B"}}, 1, 2},
        {{{"a", "n", 0, 4, "B"}, {"a", "n", 10, 4, "B"}}, 4, 0},
        {{{"a", "n", 5, 9, "B"}}, 9, 0},
    };
    for (const Case &entry : cases) {
        const std::vector<FittedLine> lines = fitLines(entry.samples);
        REQUIRE(lines.size() == 1);
        CHECK(lines.front().intercept == Approx(entry.intercept));
        CHECK(lines.front().slope == Approx(entry.slope));
        CHECK(lines.front().slopeError == Approx(0).margin(1e-9));
    }
}

TEST_CASE("samples are read back from CSV as written, and a plot is titled with the name of its line")
{
    const std::vector<Sample> samples = {{"table bytes", "slots", 1024, 2891, "B"}};
    std::stringstream text;
    writeCsv(text, samples);
    const std::vector<Sample> again = readCsv(text);
    REQUIRE(again.size() == 1);
    CHECK(again.front().name == "table bytes");
    CHECK(again.front().value == 2891);
    CHECK(toSvg(fitLines(samples).front()).find("table bytes") != std::string::npos);
    std::stringstream broken("size,value\n");
    CHECK_THROWS(readCsv(broken));
}

TEST_CASE("docs/CAPACITY.md contains the tables computed from the committed samples")
{
    const std::string page = readFile("docs/CAPACITY.md");
    for (const char *path : {"docs/capacity/parts.csv", "docs/capacity/processes.csv"}) {
        std::ifstream file(std::string(SOURCE_FOLDER) + "/" + path);
        const std::string table = toMarkdown(fitLines(readCsv(file)));
        INFO(path << "\n" << table);
        CHECK(page.find(table) != std::string::npos);
    }
}

} // namespace snipevalve
