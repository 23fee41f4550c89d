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
    Up, ///< this process opened it, towards a relay
    Down, ///< the peer opened it
};

/// @brief Items to be sent on a stream.
struct ItemDelivery
{
    std::uint64_t stream = 0;
    std::vector<Item> items;
};

/// @brief Decides which items go on which link. No I/O, threads or clock.
///
/// Resources, tables and leaders spread to every link except the one they came from. Reports and loads travel upwards
/// and between relays; loads travel upwards and end at a relay, where the leaders of groups ask for them.
class ItemExchange
{
public:
    /// @brief A link is open. @return the items that the peer has to be sent first
    ItemDelivery onOpened(std::uint64_t stream, LinkDirection direction, const std::string &role, TimePoint now);
    void onClosed(std::uint64_t stream);

    /// @brief A frame came in. @return what has to be passed on
    std::vector<ItemDelivery> onItems(std::uint64_t stream, const std::vector<Item> &items, TimePoint now);

    /// @brief This process has a new item of its own, or one from the store. @return what has to be sent
    std::vector<ItemDelivery> add(const std::vector<Item> &items);

    /// @brief The streams from which nothing came for `silence`.
    std::vector<std::uint64_t> streamsSilentFor(TimePoint now, Duration timeout) const;

    /// @brief Whether this process is a relay. Loads end at relays, where the leaders ask for them.
    void setRelay(bool isRelay);

    /// @brief Called with each item that has been taken in.
    void setListener(std::function<void(const Item &)> listener);

    const ItemSet &items() const;
    std::vector<std::uint64_t> streams() const;

private:
    struct Peer
    {
        LinkDirection direction = LinkDirection::Down;
        std::string role;
        TimePoint lastReceivedAt;
    };

    bool shouldSend(const Peer &peer, ItemKind kind) const;
    std::vector<ItemDelivery> mergeAndForward(const std::vector<Item> &items, std::uint64_t source);

    ItemSet m_items;
    std::map<std::uint64_t, Peer> m_peers;
    std::function<void(const Item &)> m_listener;
    bool m_isRelay = false;
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_ITEM_EXCHANGE_HPP
