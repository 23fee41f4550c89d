#ifndef SNIPEVALVE_CORE_LOG_TEXT_HPP
#define SNIPEVALVE_CORE_LOG_TEXT_HPP

#include <string>
#include <string_view>

namespace snipevalve {

/// @brief Escapes control characters (`\n`, `\x1b`), so that a log event stays on one line.
std::string escapeControls(std::string_view text);

/// @brief Escapes untrusted text for use between double quotes in a log line: control characters, quotes and
/// backslashes. The quotes themselves are not added. Texts over 2000 bytes are truncated.
std::string escapeQuotedText(std::string_view text);

/// @brief Escapes an untrusted value for use without quotes after `name=`: percent-encodes everything except visible
/// ASCII, as well as quotes, backslashes and percent signs. Values over 200 bytes are truncated.
std::string escapeLogValue(std::string_view value);

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_LOG_TEXT_HPP
