#include <sstream>

#include <catch2/catch.hpp>
#include <spdlog/logger.h>
#include <spdlog/sinks/ostream_sink.h>

#include "log_format.hpp"

namespace snipevalve {

TEST_CASE("a log event stays on one line even if its text contains line breaks")
{
    std::ostringstream out;
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(out);
    spdlog::logger logger("test", sink);
    logger.set_formatter(detail::makeLogFormatter());
    logger.info("config: event=unreadable reason=\"{}\"", "resources[0].kind: unknown\nresources[1].host: missing\n");
    const std::string line = out.str();
    CHECK(std::count(line.begin(), line.end(), '\n') == 1);
    CHECK(line.find("unknown\\nresources[1]") != std::string::npos);
}

} // namespace snipevalve
