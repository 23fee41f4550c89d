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
    Usage = 2, ///< invalid command line or settings
    Failure = 70, ///< a component failed too often
    CannotListen = 75, ///< an address could not be bound
    Interrupted = 130, ///< a SIGINT during the shutdown ended the program immediately
};

/// @brief An installed program. All of them accept `--help`, `--version`, `--config=FILE` and `--check`.
struct Program
{
    std::string name;
    std::string description;
    std::function<ExitCode(const Settings &)> run;
};

/// @brief Parses the command line, loads the settings, opens the log and runs the program.
///
/// After a run the process exits directly, without running static destructors or `atexit` handlers.
/// @return the exit code, if the program was not run: for `--help`, `--version`, `--check` and invalid input
int runProgram(const Program &program, int argc, char **argv);

/// @brief Calls `onStop` at the first SIGTERM or SIGINT. A SIGINT after that ends the process immediately.
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
