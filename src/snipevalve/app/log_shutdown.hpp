#ifndef SNIPEVALVE_APP_LOG_SHUTDOWN_HPP
#define SNIPEVALVE_APP_LOG_SHUTDOWN_HPP

#include "snipevalve/core/time.hpp"

namespace snipevalve::detail {

/// @brief Writes all queued lines and shuts the log down. Gives up after the timeout, for example when the log goes to
/// a pipe that nobody reads; the process must then exit without running destructors.
void shutDownLog(Milliseconds timeout = Milliseconds(250));

} // namespace snipevalve::detail

#endif // SNIPEVALVE_APP_LOG_SHUTDOWN_HPP
