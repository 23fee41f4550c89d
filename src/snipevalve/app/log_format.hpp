#ifndef SNIPEVALVE_APP_LOG_FORMAT_HPP
#define SNIPEVALVE_APP_LOG_FORMAT_HPP

#include <memory>

#include <spdlog/formatter.h>

namespace snipevalve::detail {

/// @brief Time, level and message on one line; control characters of the message are escaped.
std::unique_ptr<spdlog::formatter> makeLogFormatter();

} // namespace snipevalve::detail

#endif // SNIPEVALVE_APP_LOG_FORMAT_HPP
