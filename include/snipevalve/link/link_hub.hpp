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

/// @brief Who a process is on its links and how it keeps them.
struct LinkHubOptions
{
    std::string node; ///< host and program
    std::string role; ///< `entry` or `placement`
    Milliseconds heartbeat{500};
    Milliseconds silenceTimeout{1600}; ///< a link without a frame for so long is replaced
};

/// @brief The links of one process: accepts those of others, keeps its own to relays, exchanges items on all of them.
///
/// Lives on the control thread. Failed or silent links are replaced, the next candidate first.
class LinkHub
{
public:
    LinkHub(asio::any_io_executor executor, LinkHubOptions options);
    ~LinkHub();

    /// @brief Accepts links on this endpoint.
    void listen(const Endpoint &endpoint);

    /// @brief Sets the processes to link to, best first, and how many of them.
    void setCandidates(std::vector<Endpoint> candidates, std::size_t count);
    void setRole(const std::string &role);

    /// @brief Spreads items of this process or of the store.
    void publish(const std::vector<Item> &items);

    /// @brief Called with each item that has been taken in, also with those published here.
    void setListener(std::function<void(const Item &)> listener);

    const ItemSet &items() const;
    std::size_t openLinks() const;

    /// @brief Keeps the links until the process ends.
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
    void maintainOutgoingLinks();
    bool isLinkedTo(const Endpoint &endpoint) const;

    asio::any_io_executor m_executor;
    LinkHubOptions m_options;
    ItemExchange m_exchange;
    std::unique_ptr<LinkServer> m_server;
    std::map<Endpoint, std::shared_ptr<LinkChannel>> m_channels;
    std::map<std::uint64_t, Outgoing> m_outgoing;
    std::set<std::uint64_t> m_identified; ///< incoming streams that have said who they are
    std::vector<Endpoint> m_candidates;
    std::size_t m_targetLinkCount = 0;
    std::size_t m_nextCandidate = 0;
    std::uint64_t m_lastOutgoingStream = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace snipevalve

#endif // SNIPEVALVE_LINK_LINK_HUB_HPP
