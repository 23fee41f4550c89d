#ifndef SNIPEVALVE_LINK_LINK_HUB_HPP
#define SNIPEVALVE_LINK_LINK_HUB_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "snipevalve/link/item_exchange.hpp"
#include "snipevalve/link/link.hpp"

namespace snipevalve {

/// @brief The identity that a process announces on its links, and the timing of the links.
struct LinkHubOptions
{
    std::string node; ///< host and program, e.g. `host-03/entry`
    std::string role; ///< `entry` or `placement`; setRole() changes it, e.g. to `relay`
    Milliseconds heartbeat{500}; ///< interval at which a frame is sent on every link
    Milliseconds silenceTimeout{1600}; ///< a link that receives no frame for this long is closed and replaced
};

/// @brief Manages the links of one process: accepts links, keeps its own links to relays open and exchanges items on
/// all of them.
///
/// Used on the control thread only. A failed or silent link is replaced, starting with the candidate after the last one
/// tried.
class LinkHub
{
public:
    LinkHub(asio::any_io_executor executor, LinkHubOptions options);
    ~LinkHub();

    /// @brief Accepts links on this endpoint.
    void listen(const Endpoint &endpoint);

    /// @brief Sets the processes that this process opens links to.
    /// @param candidates in order of preference
    /// @param count the number of links to keep open
    void setCandidates(std::vector<Endpoint> candidates, std::size_t count);

    /// @brief Sets the role that this process announces, e.g. `relay`.
    void setRole(const std::string &role);

    /// @brief Propagates items that this process has created or read from the store.
    void publish(const std::vector<Item> &items);

    /// @param listener called with each item that was new or newer than the known version, including published ones
    void setListener(std::function<void(const Item &)> listener);

    const ItemSet &items() const;

    /// @return the number of open links, accepted ones included
    std::size_t openLinks() const;

    /// @brief Sends heartbeats and replaces failed or silent links. Never returns.
    Awaitable<void> run();

private:
    struct Outgoing
    {
        Endpoint endpoint;
        std::unique_ptr<LinkClient> client;
    };

    LinkEvents eventsFor(LinkDirection direction);
    void onOpened(std::uint64_t stream);
    void onFrame(std::uint64_t stream, LinkDirection direction, const LinkFrame &frame);
    void onClosed(std::uint64_t stream);
    void send(std::uint64_t stream, std::vector<Item> items);
    void sendAll(std::vector<ItemDelivery> deliveries);
    void closeStream(std::uint64_t stream);

    /// Closes links to endpoints that are no longer candidates, and opens links until there are enough.
    void maintainOutgoingLinks();
    bool isLinkedTo(const Endpoint &endpoint) const;

    asio::any_io_executor m_executor;
    LinkHubOptions m_options;
    ItemExchange m_exchange;
    std::unique_ptr<LinkServer> m_server;
    std::map<Endpoint, std::shared_ptr<LinkChannel>> m_channels;
    std::map<std::uint64_t, Outgoing> m_outgoing;
    std::set<std::uint64_t> m_identified; ///< incoming streams whose first frame has told the peer's node and role
    std::vector<Endpoint> m_candidates;
    std::size_t m_targetLinkCount = 0;
    std::size_t m_nextCandidate = 0;
    std::uint64_t m_lastOutgoingStream = 0;
    /// Callbacks that are still queued when the hub is destroyed see that it has expired, and do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_LINK_HUB_HPP
