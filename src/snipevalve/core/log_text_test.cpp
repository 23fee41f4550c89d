#include <catch2/catch.hpp>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

TEST_CASE("texts from outside can't break a log line or its fields")
{
    struct Case
    {
        std::string text;
        std::string line;
        std::string quoted;
        std::string value;
    };
    const std::vector<Case> cases = {
        {"plain", "plain", "plain", "plain"},
        {"two\nlines\r", "two\\nlines\\x0d", "two\\nlines\\x0d", "two%0alines%0d"},
        {"\" status=200", "\" status=200", "\\\" status=200", "%22%20status=200"},
        {"back\\slash", "back\\slash", "back\\\\slash", "back%5cslash"},
        {std::string("a\0b", 3), "a\\x00b", "a\\x00b", "a%00b"},
        {"\x1b[31m", "\\x1b[31m", "\\x1b[31m", "%1b[31m"},
    };
    for (const Case &each : cases) {
        INFO(each.line);
        CHECK(escapeControls(each.text) == each.line);
        CHECK(escapeQuotedText(each.text) == each.quoted);
        CHECK(escapeLogValue(each.text) == each.value);
    }
    CHECK(escapeLogValue(std::string(100'000, 'x')).size() <= 1'000);
    CHECK(escapeQuotedText(std::string(100'000, 'x')).size() <= 10'000);
}

} // namespace snipevalve
