#include "snipevalve/app/crash_report.hpp"

#include <cstring>

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/symbolize.h>
#include <unistd.h>

namespace snipevalve {

namespace {

/// Called in the signal's handler, so only a system call may be used. Null means that the report is complete.
void writeToStandardOutput(const char *text)
{
    if (text != nullptr) {
        // The process is about to end: there is nobody to tell that the write failed.
        [[maybe_unused]] const ssize_t written = ::write(STDOUT_FILENO, text, std::strlen(text));
    }
}

} // namespace

void installCrashReport(const char *program)
{
    absl::InitializeSymbolizer(program);
    absl::FailureSignalHandlerOptions options;
    options.alarm_on_failure_secs = 0; // the platform ends a process that hangs
    options.writerfn = writeToStandardOutput;
    absl::InstallFailureSignalHandler(options);
}

} // namespace snipevalve
