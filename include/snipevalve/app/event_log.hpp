#ifndef SNIPEVALVE_APP_EVENT_LOG_HPP
#define SNIPEVALVE_APP_EVENT_LOG_HPP

namespace snipevalve {

/// @brief Sends the log to standard output: structured lines, written by a thread of its own.
///
/// The queue is bounded and never blocks the caller: when it is full the oldest lines go, and a line tells how many.
void openEventLog();

/// @brief Writes what is queued and ends the log.
void closeEventLog();

} // namespace snipevalve

#endif // SNIPEVALVE_APP_EVENT_LOG_HPP
