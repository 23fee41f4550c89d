#include "snipevalve/app/event_log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "log_format.hpp"
#include "log_shutdown.hpp"

namespace snipevalve {

namespace {

/// Maximum number of queued lines: about 0.5 MB, or four seconds of log output of a busy host.
constexpr std::size_t QueueLength = 2'048;
constexpr std::chrono::seconds FlushInterval(1);

} // namespace

void openEventLog()
{
    spdlog::init_thread_pool(QueueLength, 1);
    const auto sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
    const auto policy = spdlog::async_overflow_policy::overrun_oldest;
    const auto logger = std::make_shared<spdlog::async_logger>("node", sink, spdlog::thread_pool(), policy);
    logger->set_formatter(detail::makeLogFormatter());
    logger->flush_on(spdlog::level::warn);
    spdlog::set_default_logger(logger);
    spdlog::flush_every(FlushInterval);
}

void closeEventLog()
{
    const std::size_t dropped = spdlog::thread_pool()->overrun_counter();
    if (dropped > 0) {
        spdlog::warn("log: event=dropped lines={}", dropped);
    }
    detail::shutDownLog();
}

} // namespace snipevalve
