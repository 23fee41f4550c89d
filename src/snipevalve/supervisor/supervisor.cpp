#include "snipevalve/supervisor/supervisor.hpp"

#include <spdlog/spdlog.h>

namespace snipevalve {

Supervisor::Supervisor(asio::any_io_executor executor, std::string name, RestartLimits limits,
                       std::function<void()> onFailure)
    : m_executor(std::move(executor))
    , m_name(std::move(name))
    , m_limits(limits)
    , m_onFailure(std::move(onFailure))
{
}

void Supervisor::add(std::string name, ChildFunction function)
{
    m_children.push_back({std::move(name), std::move(function)});
}

Supervisor &Supervisor::addSupervisor(std::string name, RestartLimits limits)
{
    return m_supervisors.emplace_back(m_executor, m_name + "/" + name, limits, [this]() {
        countFailure();
    });
}

void Supervisor::start()
{
    m_failed = false;
    for (const Child &child : m_children) {
        asio::co_spawn(m_executor, runChild(child), asio::detached);
    }
    for (Supervisor &supervisor : m_supervisors) {
        supervisor.start();
    }
}

std::size_t Supervisor::restarts() const
{
    return m_restarts;
}

Awaitable<void> Supervisor::runChild(const Child &child)
{
    asio::steady_timer timer(m_executor);
    while (!m_failed) {
        std::string reason = "the coroutine returned";
        try {
            co_await child.function();
        } catch (const std::exception &failure) {
            reason = failure.what();
        }
        spdlog::error("supervisor: {}/{} failed and is restarted: {}", m_name, child.name, reason);
        countFailure();
        ++m_restarts;
        timer.expires_after(m_limits.delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void Supervisor::countFailure()
{
    const TimePoint now = Clock::now();
    m_failures.push_back(now);
    while (now - m_failures.front() > m_limits.window) {
        m_failures.pop_front();
    }
    if (m_failures.size() > m_limits.maxRestarts && !m_failed) {
        m_failed = true;
        spdlog::critical("supervisor: {} gives up after {} failures", m_name, m_failures.size());
        m_onFailure();
    }
}

} // namespace snipevalve
