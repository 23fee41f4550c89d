#ifndef SNIPEVALVE_APP_CRASH_REPORT_HPP
#define SNIPEVALVE_APP_CRASH_REPORT_HPP

namespace snipevalve {

/// @brief When the process crashes, writes the signal and the calls that led to it to standard output, then ends.
/// @param program the program's path, for the names of functions
void installCrashReport(const char *program);

} // namespace snipevalve

#endif // SNIPEVALVE_APP_CRASH_REPORT_HPP
