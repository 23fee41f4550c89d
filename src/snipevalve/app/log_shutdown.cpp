#include "log_shutdown.hpp"

#include <future>
#include <memory>
#include <thread>

#include <spdlog/spdlog.h>

namespace snipevalve::detail {

void shutDownLog(Milliseconds timeout)
{
    const auto isDone = std::make_shared<std::promise<void>>();
    const std::future<void> done = isDone->get_future();
    std::thread([isDone]() {
        spdlog::shutdown();
        isDone->set_value();
    }).detach();
    done.wait_for(timeout);
}

} // namespace snipevalve::detail
