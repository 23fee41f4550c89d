#ifndef SNIPEVALVE_CORE_LOG_TEXT_HPP
#define SNIPEVALVE_CORE_LOG_TEXT_HPP

#include <string>
#include <string_view>

namespace snipevalve {

/// @brief The text with control characters written as escapes (`\n`, `\x1b`), so that a log event stays one line.
std::string escapeControls(std::string_view text);

/// @brief A text from outside, for use between double quotes in a log line: quotes and backslashes are escaped too.
/// Longer texts are cut.
std::string escapeQuotedText(std::string_view text);

/// @brief A value from outside, for use without quotes after `name=`: anything but visible ASCII is percent-encoded,
/// and so are quotes, backslashes and percent signs. Longer values are cut.
std::string escapeLogValue(std::string_view value);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_LOG_TEXT_HPP
