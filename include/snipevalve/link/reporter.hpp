#ifndef SNIPEVALVE_LINK_REPORTER_HPP
#define SNIPEVALVE_LINK_REPORTER_HPP

#include <string>

#include "snipevalve/core/time.hpp"
#include "snipevalve/link/link_hub.hpp"

namespace snipevalve {

/// @brief Reports to the relays which revision of the configuration this process has applied.
///
/// Sends a report as soon as the revision changes, and also every few seconds, so that the loss of a process is
/// noticed.
class Reporter
{
public:
    Reporter(asio::any_io_executor executor, LinkHub &hub, std::string node);

    /// @brief Sends a report if the applied revision has changed since the last report.
    void update();

    /// @brief Sends reports at a fixed interval. Never returns.
    Awaitable<void> run();

private:
    void sendReport();

    asio::any_io_executor m_executor;
    LinkHub &m_hub;
    std::string m_node;
    std::uint64_t m_startTime;
    std::uint64_t m_reportCount = 0;
    std::uint64_t m_reportedRevision = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_REPORTER_HPP
