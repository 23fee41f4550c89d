#ifndef SNIPEVALVE_LINK_ITEM_EXCHANGE_HPP
#define SNIPEVALVE_LINK_ITEM_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/item.hpp"
#include "snipevalve/core/time.hpp"

namespace snipevalve {

/// @brief The direction of a link, seen from this process.
enum class LinkDirection {
    Outgoing, ///< this process opened the link, towards a relay
    Incoming, ///< the peer opened the link
};

/// @brief Items to be sent on one stream.
struct ItemDelivery
{
    std::uint64_t stream = 0;
    std::vector<Item> items;
};

/// @brief Merges the items received from peers and decides on which links each new item is forwarded.
///
/// Does no I/O, starts no threads and reads no clock. No item is sent back on the link that it came from. Resources,
/// tables and leaders go to all other links. Reports go on the links that this process opened and to every peer that is
/// a relay. Loads go only on the links that this process opened, and a relay doesn't forward them: the leaders of
/// groups request them from the relays.
class ItemExchange
{
public:
    /// @brief Registers a link that has opened.
    /// @param role of the peer; empty if it isn't known
    /// @return all known items that the peer should have, to be sent first
    ItemDelivery onOpened(std::uint64_t stream, LinkDirection direction, const std::string &role, TimePoint now);

    /// @brief Forgets a link that has closed. Its items are kept.
    void onClosed(std::uint64_t stream);

    /// @brief Merges the items of a received frame. A frame without items is a heartbeat.
    /// @return the new or newer items to forward on other links
    std::vector<ItemDelivery> onItems(std::uint64_t stream, const std::vector<Item> &items, TimePoint now);

    /// @brief Merges items that this process has created or read from the store.
    /// @return the new or newer items to send
    std::vector<ItemDelivery> add(const std::vector<Item> &items);

    /// @return the streams on which no frame has been received for longer than `timeout`
    std::vector<std::uint64_t> streamsSilentFor(TimePoint now, Duration timeout) const;

    /// @brief Sets whether this process is a relay, which doesn't forward loads.
    void setRelay(bool isRelay);

    /// @param listener called with each item that was new or newer than the known version
    void setListener(std::function<void(const Item &)> listener);

    const ItemSet &items() const;

    /// @return the open streams
    std::vector<std::uint64_t> streams() const;

private:
    struct Peer
    {
        LinkDirection direction = LinkDirection::Incoming;
        std::string role;
        TimePoint lastReceivedAt;
    };

    /// @return whether items of this kind are sent to this peer
    bool shouldSend(const Peer &peer, ItemKind kind) const;

    /// @param source the stream that the items came from, which they aren't sent back on
    std::vector<ItemDelivery> mergeAndForward(const std::vector<Item> &items, std::uint64_t source);

    ItemSet m_items;
    std::map<std::uint64_t, Peer> m_peers;
    std::function<void(const Item &)> m_listener;
    bool m_isRelay = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_ITEM_EXCHANGE_HPP
