#ifndef SNIPEVALVE_APP_LOG_FORMAT_HPP
#define SNIPEVALVE_APP_LOG_FORMAT_HPP

#include <memory>

#include <spdlog/formatter.h>

namespace snipevalve::detail {

/// @brief Creates a formatter that writes time, level and message on one line. Control characters in the message are
/// escaped, so that a message can't span lines.
std::unique_ptr<spdlog::formatter> makeLogFormatter();

} // namespace snipevalve::detail

#endif // SNIPEVALVE_APP_LOG_FORMAT_HPP
