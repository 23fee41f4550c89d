#include "snipevalve/link/link_hub.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

namespace snipevalve {

namespace {

/// Outgoing streams have numbers above this one and incoming streams below it, so a number tells the direction.
constexpr std::uint64_t OutgoingStreamBase = 1ULL << 62;

} // namespace

LinkHub::LinkHub(asio::any_io_executor executor, LinkHubOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_lastOutgoingStream(OutgoingStreamBase)
{
}

LinkHub::~LinkHub()
{
    m_outgoing.clear();
    m_server.reset();
}

void LinkHub::listen(const Endpoint &endpoint)
{
    m_server = std::make_unique<LinkServer>(endpoint, eventsFor(LinkDirection::Incoming));
}

void LinkHub::setCandidates(std::vector<Endpoint> candidates, std::size_t count)
{
    if (candidates != m_candidates) {
        m_nextCandidate = 0;
    }
    m_candidates = std::move(candidates);
    m_targetLinkCount = std::min(count, m_candidates.size());
}

void LinkHub::setRole(const std::string &role)
{
    m_options.role = role;
    m_exchange.setRelay(role == "relay");
}

void LinkHub::publish(const std::vector<Item> &items)
{
    sendAll(m_exchange.add(items));
}

void LinkHub::setListener(std::function<void(const Item &)> listener)
{
    m_exchange.setListener(std::move(listener));
}

const ItemSet &LinkHub::items() const
{
    return m_exchange.items();
}

std::size_t LinkHub::openLinks() const
{
    return m_exchange.streams().size();
}

Awaitable<void> LinkHub::run()
{
    asio::steady_timer timer(m_executor);
    while (true) {
        maintainOutgoingLinks();
        for (const std::uint64_t stream : m_exchange.streamsSilentFor(Clock::now(), m_options.silenceTimeout)) {
            spdlog::warn("link: stream {} has received no frame within the timeout and is closed", stream);
            closeStream(stream);
        }
        for (const std::uint64_t stream : m_exchange.streams()) {
            send(stream, {});
        }
        timer.expires_after(m_options.heartbeat);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

LinkEvents LinkHub::eventsFor(LinkDirection direction)
{
    const auto postToExecutor = [executor = m_executor, alive = std::weak_ptr<bool>(m_alive)](auto task) {
        asio::post(executor, [alive, task = std::move(task)]() mutable {
            if (alive.lock()) {
                task();
            }
        });
    };
    LinkEvents events;
    events.onOpened = [this, postToExecutor, direction](std::uint64_t stream) {
        if (direction == LinkDirection::Outgoing) {
            postToExecutor([this, stream]() {
                onOpened(stream);
            });
        }
    };
    events.onFrame = [this, postToExecutor, direction](std::uint64_t stream, LinkFrame frame) {
        postToExecutor([this, stream, direction, frame = std::move(frame)]() {
            onFrame(stream, direction, frame);
        });
    };
    events.onClosed = [this, postToExecutor](std::uint64_t stream) {
        postToExecutor([this, stream]() {
            onClosed(stream);
        });
    };
    return events;
}

void LinkHub::onOpened(std::uint64_t stream)
{
    if (m_outgoing.contains(stream)) {
        ItemDelivery initial = m_exchange.onOpened(stream, LinkDirection::Outgoing, {}, Clock::now());
        send(stream, std::move(initial.items));
    }
}

void LinkHub::onFrame(std::uint64_t stream, LinkDirection direction, const LinkFrame &frame)
{
    if (direction == LinkDirection::Incoming && m_identified.insert(stream).second) {
        spdlog::info("link: {} ({}) has opened a link", frame.node, frame.role);
        ItemDelivery initial = m_exchange.onOpened(stream, LinkDirection::Incoming, frame.role, Clock::now());
        send(stream, std::move(initial.items));
    }
    sendAll(m_exchange.onItems(stream, frame.items, Clock::now()));
}

void LinkHub::onClosed(std::uint64_t stream)
{
    m_exchange.onClosed(stream);
    m_identified.erase(stream);
    m_outgoing.erase(stream);
}

void LinkHub::send(std::uint64_t stream, std::vector<Item> items)
{
    const LinkFrame frame = {m_options.node, m_options.role, std::move(items)};
    const auto outgoing = m_outgoing.find(stream);
    if (outgoing != m_outgoing.end()) {
        outgoing->second.client->send(frame);
    } else if (m_server) {
        m_server->send(stream, frame);
    }
}

void LinkHub::sendAll(std::vector<ItemDelivery> deliveries)
{
    for (ItemDelivery &delivery : deliveries) {
        send(delivery.stream, std::move(delivery.items));
    }
}

void LinkHub::closeStream(std::uint64_t stream)
{
    if (m_server && stream < OutgoingStreamBase) {
        m_server->close(stream);
    }
    const auto outgoing = m_outgoing.find(stream);
    if (outgoing != m_outgoing.end()) {
        // The next attempt uses a new connection, since the old one may be broken without an error.
        m_channels.erase(outgoing->second.endpoint);
    }
    onClosed(stream);
}

void LinkHub::maintainOutgoingLinks()
{
    std::vector<std::uint64_t> unwanted;
    for (const auto &[stream, outgoing] : m_outgoing) {
        if (std::count(m_candidates.begin(), m_candidates.end(), outgoing.endpoint) == 0) {
            unwanted.push_back(stream);
        }
    }
    for (const std::uint64_t stream : unwanted) {
        closeStream(stream);
    }
    for (std::size_t attempts = 0; attempts < m_candidates.size() && m_outgoing.size() < m_targetLinkCount;
         ++attempts) {
        const Endpoint endpoint = m_candidates[m_nextCandidate++ % m_candidates.size()];
        if (isLinkedTo(endpoint)) {
            continue;
        }
        const std::uint64_t stream = ++m_lastOutgoingStream;
        Outgoing &outgoing = m_outgoing[stream];
        outgoing.endpoint = endpoint;
        std::shared_ptr<LinkChannel> &channel = m_channels[endpoint];
        if (!channel) {
            channel = makeLinkChannel(endpoint);
        }
        outgoing.client = std::make_unique<LinkClient>(channel, stream, eventsFor(LinkDirection::Outgoing));
    }
}

bool LinkHub::isLinkedTo(const Endpoint &endpoint) const
{
    const auto isSame = [&](const auto &entry) {
        return entry.second.endpoint == endpoint;
    };
    return std::any_of(m_outgoing.begin(), m_outgoing.end(), isSame);
}

} // namespace snipevalve
