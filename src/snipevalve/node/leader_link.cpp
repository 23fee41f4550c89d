#include "snipevalve/node/leader_link.hpp"

#include <spdlog/spdlog.h>

#include "snipevalve/core/log_text.hpp"
#include "snipevalve/net/spawn.hpp"

namespace snipevalve {

namespace {

constexpr Milliseconds ConnectTimeout(500); ///< hosts of one region have round trips of a few milliseconds
constexpr Milliseconds ReconnectDelay(200);
constexpr double PermillePerUnit = 1'000;

} // namespace

LeaderLink::LeaderLink(asio::any_io_executor executor, const NodeSettings &settings, Endpoint leader, Handlers handlers)
    : m_executor(std::move(executor))
    , m_settings(settings)
    , m_leader(std::move(leader))
    , m_handlers(std::move(handlers))
{
}

void LeaderLink::start()
{
    spawnMember(m_executor, shared_from_this(), &LeaderLink::run);
}

void LeaderLink::stop()
{
    m_stopped = true;
    if (m_channel) {
        m_channel->close();
    }
}

bool LeaderLink::isOpen() const
{
    return !m_stopped && m_hasReceivedFrame && m_channel && m_channel->isOpen();
}

void LeaderLink::send(const proto::HostFrame &frame)
{
    if (m_channel) {
        m_channel->send(frame);
    }
}

void LeaderLink::closeIfSilent(TimePoint now)
{
    const bool isSilent = m_channel && m_channel->isOpen() && m_silence.isOver(m_channel->receivedAt(), now);
    if (isSilent) {
        spdlog::warn("link: event=silent leader={} silent_ms={}", toString(m_leader),
                     std::chrono::duration_cast<Milliseconds>(now - m_channel->receivedAt()).count());
        m_channel->close();
    }
}

const Endpoint &LeaderLink::leader() const
{
    return m_leader;
}

Awaitable<void> LeaderLink::run()
{
    asio::steady_timer timer(m_executor);
    while (!m_stopped) {
        m_channel = co_await connectChannel(m_settings.address, toTcp(m_leader), ConnectTimeout);
        if (m_channel && !m_stopped) {
            proto::HostFrame hello;
            hello.set_host(m_settings.host);
            hello.set_zone(m_settings.zone);
            hello.set_run(m_settings.run);
            hello.set_processor_permille(static_cast<std::uint32_t>(m_settings.processorShare * PermillePerUnit));
            m_channel->send(hello);
            co_await readFrames();
        }
        if (m_stopped) {
            break;
        }
        ErrorCode ignored;
        timer.expires_after(ReconnectDelay);
        co_await timer.async_wait(awaitInto(ignored));
    }
    if (m_channel) {
        m_channel->close();
    }
}

Awaitable<void> LeaderLink::readFrames()
{
    std::string bytes;
    while (co_await m_channel->receive(bytes)) {
        proto::LeaderFrame frame;
        if (m_stopped || !frame.ParseFromString(bytes)) {
            break;
        }
        if (!m_hasReceivedFrame) {
            m_hasReceivedFrame = true;
            spdlog::info("link: event=regained leader={}", toString(m_leader));
            m_handlers.onOpen(*this);
        }
        try {
            m_handlers.onFrame(*this, frame);
        } catch (const std::exception &error) {
            spdlog::error("link: event=closed leader={} reason=\"{}\"", toString(m_leader),
                          escapeQuotedText(error.what()));
            break;
        }
    }
    m_channel->close();
    if (m_hasReceivedFrame) {
        m_hasReceivedFrame = false;
        spdlog::warn("link: event=lost leader={}", toString(m_leader));
        m_handlers.onLost(*this);
    }
}

} // namespace snipevalve
