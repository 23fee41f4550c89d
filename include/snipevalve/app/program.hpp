#ifndef SNIPEVALVE_APP_PROGRAM_HPP
#define SNIPEVALVE_APP_PROGRAM_HPP

#include <functional>
#include <string>

#include "snipevalve/net/asio.hpp"
#include "snipevalve/settings/settings.hpp"

namespace snipevalve {

/// @brief Exit codes of the programs.
enum class ExitCode : int {
    Ok = 0,
    Usage = 2, ///< wrong command line or settings
    Failure = 70, ///< a part failed too often
    CannotListen = 75, ///< an address could not be bound
    Interrupted = 130, ///< a second signal ended the program at once
};

/// @brief One of the installed programs: `--help`, `--version`, `--config FILE`, `--check`.
struct Program
{
    std::string name;
    std::string description;
    std::function<ExitCode(const Settings &)> run;
};

/// @brief Reads the command line and the settings, opens the log and runs the program.
/// @return the exit code
int runProgram(const Program &program, int argc, char **argv);

/// @brief Calls `onStop` at the first SIGTERM or SIGINT and ends the process at the second.
class StopSignals
{
public:
    StopSignals(asio::any_io_executor executor, std::function<void()> onStop);

private:
    void wait();

    asio::signal_set m_signals;
    std::function<void()> m_onStop;
    bool m_stopping = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_APP_PROGRAM_HPP
