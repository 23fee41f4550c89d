#include "snipevalve/link/item_exchange.hpp"

namespace snipevalve {

namespace {

/// Source of items that came from this process. Stream numbers start at 1.
constexpr std::uint64_t NoStream = 0;

} // namespace

ItemDelivery ItemExchange::onOpened(std::uint64_t stream, LinkDirection direction, const std::string &role,
                                    TimePoint now)
{
    const Peer peer = {direction, role, now};
    m_peers[stream] = peer;
    ItemDelivery delivery;
    delivery.stream = stream;
    for (Item &item : m_items.all()) {
        if (shouldSend(peer, item.key.kind)) {
            delivery.items.push_back(std::move(item));
        }
    }
    return delivery;
}

void ItemExchange::onClosed(std::uint64_t stream)
{
    m_peers.erase(stream);
}

std::vector<ItemDelivery> ItemExchange::onItems(std::uint64_t stream, const std::vector<Item> &items, TimePoint now)
{
    const auto peer = m_peers.find(stream);
    if (peer != m_peers.end()) {
        peer->second.lastReceivedAt = now;
    }
    return mergeAndForward(items, stream);
}

std::vector<ItemDelivery> ItemExchange::add(const std::vector<Item> &items)
{
    return mergeAndForward(items, NoStream);
}

std::vector<std::uint64_t> ItemExchange::streamsSilentFor(TimePoint now, Duration timeout) const
{
    std::vector<std::uint64_t> silent;
    for (const auto &[stream, peer] : m_peers) {
        if (now - peer.lastReceivedAt > timeout) {
            silent.push_back(stream);
        }
    }
    return silent;
}

void ItemExchange::setRelay(bool isRelay)
{
    m_isRelay = isRelay;
}

void ItemExchange::setListener(std::function<void(const Item &)> listener)
{
    m_listener = std::move(listener);
}

const ItemSet &ItemExchange::items() const
{
    return m_items;
}

std::vector<std::uint64_t> ItemExchange::streams() const
{
    std::vector<std::uint64_t> streams;
    for (const auto &[stream, peer] : m_peers) {
        streams.push_back(stream);
    }
    return streams;
}

bool ItemExchange::shouldSend(const Peer &peer, ItemKind kind) const
{
    const bool isTowardsRelay = peer.direction == LinkDirection::Outgoing || peer.role == "relay";
    if (kind == ItemKind::Report) {
        return isTowardsRelay;
    }
    if (kind == ItemKind::Load) {
        return peer.direction == LinkDirection::Outgoing && !m_isRelay;
    }
    return true;
}

std::vector<ItemDelivery> ItemExchange::mergeAndForward(const std::vector<Item> &items, std::uint64_t source)
{
    std::vector<Item> updated;
    for (const Item &item : items) {
        if (m_items.merge(item)) {
            updated.push_back(item);
        }
    }
    std::vector<ItemDelivery> deliveries;
    for (const auto &[stream, peer] : m_peers) {
        ItemDelivery delivery;
        delivery.stream = stream;
        for (const Item &item : updated) {
            if (stream != source && shouldSend(peer, item.key.kind)) {
                delivery.items.push_back(item);
            }
        }
        if (!delivery.items.empty()) {
            deliveries.push_back(std::move(delivery));
        }
    }
    if (m_listener) {
        for (const Item &item : updated) {
            m_listener(item);
        }
    }
    return deliveries;
}

} // namespace snipevalve
