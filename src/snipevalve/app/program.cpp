#include "snipevalve/app/program.hpp"

#include <cstdlib>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "log_format.hpp"
#include "log_shutdown.hpp"
#include "snipevalve/app/broken_pipes.hpp"

namespace snipevalve {

namespace {

constexpr const char *Version = "0.1.0";
constexpr std::size_t LogQueueLength = 8192;
constexpr std::chrono::seconds LogFlushInterval(1);

std::string usageText(const Program &program)
{
    return program.description + "\n\nUsage:\n  " + program.name + " --config=FILE [--check]\n  " + program.name
        + " --help\n  " + program.name
        + " --version\n\nOptions:\n  --config=FILE  Settings in TOML; see docs/CONFIGURATION.md.\n"
          "  --check        Check the settings and exit.\n  --help         Show this text.\n"
          "  --version      Show the version.\n";
}

void openLog(const Settings &settings, const std::string &name)
{
    spdlog::init_thread_pool(LogQueueLength, 1);
    spdlog::sink_ptr sink;
    if (settings.logFile.empty()) {
        sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    } else {
        sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(settings.logFile);
    }
    const auto policy = spdlog::async_overflow_policy::overrun_oldest;
    const auto logger = std::make_shared<spdlog::async_logger>(name, sink, spdlog::thread_pool(), policy);
    logger->set_formatter(detail::makeLogFormatter());
    logger->set_level(spdlog::level::from_str(settings.logLevel));
    spdlog::set_default_logger(logger);
    spdlog::flush_every(LogFlushInterval);
}

ExitCode runWithLog(const Program &program, const Settings &settings)
{
    openLog(settings, program.name);
    ExitCode code = ExitCode::CannotListen;
    try {
        code = program.run(settings);
    } catch (const std::exception &error) {
        spdlog::critical("{}: can't start: {}", program.name, error.what());
        std::cerr << program.name << ": can't start: " << error.what() << "\n";
    }
    detail::shutDownLog();
    return code;
}

} // namespace

int runProgram(const Program &program, int argc, char **argv)
{
    ignoreBrokenPipes();
    std::map<std::string, docopt::value> arguments;
    try {
        arguments = docopt::docopt_parse(usageText(program), {argv + 1, argv + argc}, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usageText(program);
        return static_cast<int>(ExitCode::Ok);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program.name << " " << Version << "\n";
        return static_cast<int>(ExitCode::Ok);
    } catch (const std::exception &error) {
        std::cerr << program.name << ": " << error.what() << "\n" << usageText(program);
        return static_cast<int>(ExitCode::Usage);
    }
    const auto settings = loadSettings(arguments.at("--config").asString());
    if (!settings.ok()) {
        std::cerr << std::string(settings.status().message()) << "\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (arguments.at("--check").asBool()) {
        std::cout << "the settings are valid\n";
        return static_cast<int>(ExitCode::Ok);
    }
    const ExitCode code = runWithLog(program, *settings);
    std::_Exit(static_cast<int>(code));
}

StopSignals::StopSignals(asio::any_io_executor executor, std::function<void()> onStop)
    : m_signals(std::move(executor), SIGTERM, SIGINT)
    , m_onStop(std::move(onStop))
{
    wait();
}

void StopSignals::wait()
{
    m_signals.async_wait([this](const ErrorCode &error, int signal) {
        if (error) {
            return;
        }
        // A SIGINT during the shutdown means that the user wants to quit immediately. SIGTERM may be sent several times
        // and must not cut the shutdown short.
        if (m_stopping && signal == SIGINT) {
            std::_Exit(static_cast<int>(ExitCode::Interrupted));
        }
        if (!m_stopping) {
            m_stopping = true;
            m_onStop();
        }
        wait();
    });
}

} // namespace snipevalve
