#include "snipevalve/app/crash_report.hpp"

#include <cstring>

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/symbolize.h>
#include <unistd.h>

namespace snipevalve {

namespace {

/// Runs in the signal handler, where only async-signal-safe functions are allowed. Null marks the end of the report.
void writeToStandardOutput(const char *text)
{
    if (text != nullptr) {
        // A failed write is ignored: the process is about to end and has no other place to report it.
        [[maybe_unused]] const ssize_t written = ::write(STDOUT_FILENO, text, std::strlen(text));
    }
}

} // namespace

void installCrashReport(const char *program)
{
    absl::InitializeSymbolizer(program);
    absl::FailureSignalHandlerOptions options;
    options.alarm_on_failure_secs = 0; // no timeout here: the platform ends a process that hangs
    options.writerfn = writeToStandardOutput;
    absl::InstallFailureSignalHandler(options);
}

} // namespace snipevalve
