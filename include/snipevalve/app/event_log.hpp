#ifndef SNIPEVALVE_APP_EVENT_LOG_HPP
#define SNIPEVALVE_APP_EVENT_LOG_HPP

namespace snipevalve {

/// @brief Starts logging structured lines to standard output from a background thread.
///
/// The queue is bounded and never blocks the caller: when it is full, the oldest lines are dropped. closeEventLog()
/// logs how many were lost.
void openEventLog();

/// @brief Writes all queued lines and shuts the log down. Gives up after a quarter of a second if the reader of
/// standard output takes nothing; the process must then exit without running destructors.
void closeEventLog();

} // namespace snipevalve

#endif // SNIPEVALVE_APP_EVENT_LOG_HPP
