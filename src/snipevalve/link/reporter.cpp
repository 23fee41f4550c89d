#include "snipevalve/link/reporter.hpp"

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

constexpr Milliseconds ReportInterval(2000);

/// Start time in milliseconds since the epoch. It is the major version of the reports, so that those of a restarted
/// process supersede the ones sent before the restart.
std::uint64_t processStartTime()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
}

} // namespace

Reporter::Reporter(asio::any_io_executor executor, LinkHub &hub, std::string node)
    : m_executor(std::move(executor))
    , m_hub(hub)
    , m_node(std::move(node))
    , m_startTime(processStartTime())
{
}

void Reporter::update()
{
    if (m_hub.items().resourceRevision() != m_reportedRevision) {
        sendReport();
    }
}

Awaitable<void> Reporter::run()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        sendReport();
        timer.expires_after(ReportInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void Reporter::sendReport()
{
    m_reportedRevision = m_hub.items().resourceRevision();
    Item item;
    item.key = {ItemKind::Report, m_node};
    item.version = {m_startTime, ++m_reportCount};
    item.payload = nlohmann::json({{"node", m_node}, {"revision", m_reportedRevision}}).dump();
    m_hub.publish({item});
}

} // namespace snipevalve
