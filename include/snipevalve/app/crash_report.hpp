#ifndef SNIPEVALVE_APP_CRASH_REPORT_HPP
#define SNIPEVALVE_APP_CRASH_REPORT_HPP

namespace snipevalve {

/// @brief Installs a handler for fatal signals that writes the signal and a stack trace to standard output before the
/// process ends.
/// @param program the path of the executable (`argv[0]`), needed to resolve function names
void installCrashReport(const char *program);

} // namespace snipevalve

#endif // SNIPEVALVE_APP_CRASH_REPORT_HPP
