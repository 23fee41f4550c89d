#include <deque>
#include <random>

#include <catch2/catch.hpp>

#include "snipevalve/link/item_exchange.hpp"

namespace snipevalve {

namespace {

Item makeResource(const std::string &name, std::uint64_t revision)
{
    return {{ItemKind::Resource, name}, {revision, 0}, {}, false};
}

/// Item exchanges of several nodes, connected by links that a test opens and closes. Frames arrive in the order sent.
class SimulatedNetwork
{
public:
    explicit SimulatedNetwork(std::size_t nodes, std::uint64_t seed)
        : m_nodes(nodes)
        , m_random(seed)
    {
    }

    void openLink(std::size_t from, std::size_t to)
    {
        const std::uint64_t stream = ++m_lastStream;
        m_links.push_back({stream, from, to});
        send(from, m_nodes[from].onOpened(stream, LinkDirection::Outgoing, "relay", {}));
        send(to, m_nodes[to].onOpened(stream, LinkDirection::Incoming, "relay", {}));
    }

    void closeLink(std::size_t link)
    {
        const Link closed = m_links[link];
        m_nodes[closed.from].onClosed(closed.stream);
        m_nodes[closed.to].onClosed(closed.stream);
        m_links.erase(m_links.begin() + static_cast<std::ptrdiff_t>(link));
    }

    void publish(std::size_t node, const Item &item)
    {
        for (ItemDelivery &delivery : m_nodes[node].add({item})) {
            send(node, std::move(delivery));
        }
        deliverAll();
    }

    std::uint64_t random(std::uint64_t limit)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(m_random);
    }

    std::size_t linkCount() const
    {
        return m_links.size();
    }

    const ItemExchange &node(std::size_t index) const
    {
        return m_nodes[index];
    }

    void deliverAll()
    {
        while (!m_queue.empty()) {
            const Packet packet = std::move(m_queue.front());
            m_queue.pop_front();
            for (ItemDelivery &next : m_nodes[packet.to].onItems(packet.delivery.stream, packet.delivery.items, {})) {
                send(packet.to, std::move(next));
            }
        }
    }

private:
    struct Link
    {
        std::uint64_t stream;
        std::size_t from;
        std::size_t to;
    };

    struct Packet
    {
        std::size_t to;
        ItemDelivery delivery;
    };

    void send(std::size_t from, ItemDelivery delivery)
    {
        for (const Link &link : m_links) {
            if (link.stream == delivery.stream) {
                m_queue.push_back({link.from == from ? link.to : link.from, std::move(delivery)});
                return;
            }
        }
    }

    std::vector<ItemExchange> m_nodes;
    std::vector<Link> m_links;
    std::deque<Packet> m_queue;
    std::mt19937_64 m_random;
    std::uint64_t m_lastStream = 0;
};

} // namespace

TEST_CASE("items reach every node while links open and close", "[promise-8]")
{
    constexpr int Seeds = 100;
    constexpr std::size_t Nodes = 6;
    for (int seed = 1; seed <= Seeds; ++seed) {
        SimulatedNetwork network(Nodes, static_cast<std::uint64_t>(seed));
        for (std::uint64_t revision = 1; revision <= 30; ++revision) {
            if (network.linkCount() > 0 && network.random(3) == 0) {
                network.closeLink(network.random(network.linkCount()));
            }
            const std::size_t from = network.random(Nodes);
            network.openLink(from, (from + 1 + network.random(Nodes - 1)) % Nodes);
            network.publish(network.random(Nodes), makeResource("route/a", revision));
        }
        for (std::size_t node = 1; node < Nodes; ++node) {
            network.openLink(node, 0);
            network.deliverAll();
        }
        network.openLink(0, 1);
        network.deliverAll();
        for (std::size_t node = 0; node < Nodes; ++node) {
            INFO("seed " << seed << " node " << node);
            CHECK(network.node(node).items().resourceRevision() == 30);
        }
    }
}

TEST_CASE("the direction of a link and the role of the peer decide which items are sent on it")
{
    struct Case
    {
        ItemKind kind;
        LinkDirection direction;
        std::string role;
        bool sent;
    };
    const std::vector<Case> cases = {
        {ItemKind::Resource, LinkDirection::Incoming, "entry", true},
        {ItemKind::Table, LinkDirection::Incoming, "entry", true},
        {ItemKind::Report, LinkDirection::Incoming, "entry", false},
        {ItemKind::Report, LinkDirection::Incoming, "relay", true},
        {ItemKind::Report, LinkDirection::Outgoing, "", true},
        {ItemKind::Load, LinkDirection::Incoming, "entry", false},
        {ItemKind::Load, LinkDirection::Incoming, "placement", false},
        {ItemKind::Load, LinkDirection::Incoming, "relay", false},
        {ItemKind::Load, LinkDirection::Outgoing, "", true},
    };
    for (const Case &entry : cases) {
        ItemExchange exchange;
        exchange.onOpened(1, entry.direction, entry.role, {});
        const auto deliveries = exchange.add({Item{{entry.kind, "x"}, {1, 0}, {}, false}});
        INFO(static_cast<int>(entry.kind) << " " << entry.role);
        CHECK(deliveries.size() == (entry.sent ? 1 : 0));
    }
}

TEST_CASE("a link that has received no frame within the timeout is reported as silent")
{
    ItemExchange exchange;
    exchange.onOpened(1, LinkDirection::Outgoing, {}, TimePoint(Milliseconds(0)));
    exchange.onOpened(2, LinkDirection::Outgoing, {}, TimePoint(Milliseconds(0)));
    exchange.onItems(2, {}, TimePoint(Milliseconds(900)));
    CHECK(exchange.streamsSilentFor(TimePoint(Milliseconds(1300)), Milliseconds(1200))
          == std::vector<std::uint64_t>{1});
}

} // namespace snipevalve
