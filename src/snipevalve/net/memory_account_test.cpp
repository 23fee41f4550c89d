#include "snipevalve/net/memory_account.hpp"

#include <catch2/catch.hpp>

#include <list>

#include "snipevalve/net/byte_blocks.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t Kilobyte = 1 << 10;
constexpr std::size_t Megabyte = 1 << 20;
constexpr std::size_t LargestBody = 64 * Megabyte;
constexpr std::size_t SmallestMemory = 120 * Megabyte;
constexpr Milliseconds Stalled(1'000);

/// @brief An account and connections that give back all bodies and answers as soon as they are turned away.
class Connections
{
public:
    explicit Connections(std::size_t memory = SmallestMemory, std::size_t maxConnections = 1'000)
        : account(MemoryAccountOptions::forProcess(memory, maxConnections))
    {
    }

    MemoryHolder &open(HolderPhase phase)
    {
        const auto number = m_holders.size();
        m_holders.push_back(std::make_unique<MemoryHolder>(account, now, [this, number]() {
            turnedAway.push_back(number);
            return true;
        }));
        m_holders.back()->setPhase(phase, now);
        return *m_holders.back();
    }

    TimePoint now = Clock::now();
    MemoryAccount account;
    std::vector<std::size_t> turnedAway; ///< in order

private:
    std::vector<std::unique_ptr<MemoryHolder>> m_holders;
};

} // namespace

// Guards against limits that refuse a single request of the largest size on the smallest host.
TEST_CASE("a single body of the largest size has room beside idle connections")
{
    Connections connections;
    for (int idle = 0; idle < 200; ++idle) {
        connections.open(HolderPhase::Idle);
    }
    MemoryHolder &upload = connections.open(HolderPhase::Receiving);
    CHECK(upload.ask(HeldBytes::Body, LargestBody + 64 * Kilobyte, connections.now));
    CHECK(connections.turnedAway.empty());
    MemoryHolder &second = connections.open(HolderPhase::Receiving);
    CHECK_FALSE(second.ask(HeldBytes::Body, LargestBody, connections.now));
    CHECK(second.ask(HeldBytes::Body, 500 * Kilobyte - MemoryHolder::ConnectionBytes, connections.now));
}

// Guards against idle connections that keep the largest allowed body out on the smallest host.
TEST_CASE("idle connections give way to a body of the largest size")
{
    constexpr std::size_t AllCallers = 3'075 / 4 * 3;
    Connections connections(SmallestMemory, AllCallers);
    for (std::size_t idle = 1; idle < AllCallers; ++idle) {
        connections.open(HolderPhase::Idle);
    }
    connections.now += Stalled;
    MemoryHolder &upload = connections.open(HolderPhase::Receiving);
    CHECK(upload.ask(HeldBytes::Body, LargestBody + 64 * Kilobyte, connections.now));
}

// Guards against stalled requests that take the memory from others until their time limit.
TEST_CASE("room is made by turning away stalled connections, the largest first, and never requests that run")
{
    Connections connections;
    MemoryHolder &running = connections.open(HolderPhase::Running);
    MemoryHolder &small = connections.open(HolderPhase::Receiving);
    MemoryHolder &large = connections.open(HolderPhase::Receiving);
    MemoryHolder &reader = connections.open(HolderPhase::Sending);
    REQUIRE(running.ask(HeldBytes::Body, 20 * Megabyte, connections.now));
    REQUIRE(small.ask(HeldBytes::Body, 10 * Megabyte, connections.now));
    REQUIRE(large.ask(HeldBytes::Body, 20 * Megabyte, connections.now));
    REQUIRE(reader.ask(HeldBytes::Answer, 15 * Megabyte, connections.now));
    MemoryHolder &asker = connections.open(HolderPhase::Receiving);
    CHECK_FALSE(asker.ask(HeldBytes::Body, 20 * Megabyte, connections.now));
    CHECK(connections.turnedAway.empty());
    connections.now += Stalled;
    CHECK(asker.ask(HeldBytes::Body, 20 * Megabyte, connections.now));
    CHECK(connections.turnedAway == std::vector<std::size_t>{2});
    CHECK(large.isTurnedAway());
    CHECK(asker.ask(HeldBytes::Body, 30 * Megabyte, connections.now));
    CHECK(connections.turnedAway == std::vector<std::size_t>{2, 3});
    large.set(HeldBytes::Body, 0); // after it was turned away
    CHECK_FALSE(asker.ask(HeldBytes::Body, 48 * Megabyte, connections.now)); // beside the one that runs
    CHECK_FALSE(running.isTurnedAway());
}

TEST_CASE("a body that arrives slowly counts as stalled, and one that arrives at a usual speed does not")
{
    struct Case
    {
        std::string name;
        std::size_t bytes;
        Milliseconds interval;
        bool isTurnedAway;
    };
    const std::vector<Case> cases = {
        {"a byte every 100 ms", 1, Milliseconds(100), true},
        {"1 kB every 100 ms", Kilobyte, Milliseconds(100), true},
        {"4 kB every 100 ms", 4 * Kilobyte, Milliseconds(100), false},
        {"64 kB every 900 ms", 64 * Kilobyte, Milliseconds(900), false},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        Connections connections;
        MemoryHolder &upload = connections.open(HolderPhase::Receiving);
        REQUIRE(upload.ask(HeldBytes::Body, 40 * Megabyte, connections.now));
        for (Milliseconds passed(0); passed < 5 * Stalled; passed += each.interval) {
            connections.now += each.interval;
            upload.onProgress(each.bytes, connections.now);
        }
        MemoryHolder &asker = connections.open(HolderPhase::Receiving);
        CHECK(asker.ask(HeldBytes::Body, 40 * Megabyte, connections.now) == each.isTurnedAway);
        CHECK(upload.isTurnedAway() == each.isTurnedAway);
    }
}

// Guards against many large uploads, none of them stalled, that keep small requests out.
TEST_CASE("a small request takes the place of a large one that still arrives")
{
    Connections connections;
    std::vector<MemoryHolder *> uploads;
    for (int upload = 0; upload < 4; ++upload) {
        uploads.push_back(&connections.open(HolderPhase::Receiving));
        REQUIRE(uploads.back()->ask(HeldBytes::Body, 16 * Megabyte, connections.now));
    }
    for (int small = 0; small < 60; ++small) {
        CHECK(connections.open(HolderPhase::Receiving).ask(HeldBytes::Body, 360 * Kilobyte, connections.now));
    }
    CHECK(connections.turnedAway.size() == 1);
    CHECK(connections.account.totalHeld() - 16 * Megabyte <= connections.account.options().limit);
}

TEST_CASE("a connection is accepted in the place of a stalled one, else of the one that has been idle the longest")
{
    Connections connections(SmallestMemory, 4);
    connections.open(HolderPhase::Running);
    connections.open(HolderPhase::Idle);
    connections.now += Milliseconds(10);
    connections.open(HolderPhase::Idle);
    CHECK(connections.account.mayConnect(connections.now));
    connections.open(HolderPhase::Receiving);
    CHECK_FALSE(connections.account.mayConnect(connections.now));
    CHECK(connections.turnedAway.empty());
    connections.now += Stalled;
    CHECK_FALSE(connections.account.mayConnect(connections.now)); // that takes effect later
    CHECK(connections.turnedAway == std::vector<std::size_t>{3});
    CHECK_FALSE(connections.account.mayConnect(connections.now));
    CHECK(connections.turnedAway.size() == 1);
}

TEST_CASE("what is held is given back with the connection")
{
    MemoryAccount account(MemoryAccountOptions::forProcess(SmallestMemory, 10));
    {
        MemoryHolder holder(account, TimePoint(), []() {
            return true;
        });
        CHECK(holder.ask(HeldBytes::Body, Megabyte, TimePoint()));
        CHECK(holder.ask(HeldBytes::Body, 2 * Megabyte, TimePoint()));
        holder.set(HeldBytes::Answer, Kilobyte);
        CHECK(account.held(HeldBytes::Body) == 2 * Megabyte);
        CHECK(account.totalHeld() == 2 * Megabyte + Kilobyte + MemoryHolder::ConnectionBytes);
    }
    CHECK(account.totalHeld() == 0);
    CHECK(account.held(HeldBytes::Body) == 0);
}

TEST_CASE("blocks hold what was appended, with little more memory than that")
{
    for (const std::size_t part : {1UL, 777UL, 70'000UL}) {
        ByteBlocks blocks;
        std::string expected;
        bool isPredicted = true;
        while (expected.size() < 300'000) {
            const std::string bytes(part, static_cast<char>('a' + expected.size() % 26));
            const std::size_t predicted = blocks.capacityWith(bytes.size());
            blocks.append(asio::buffer(bytes));
            isPredicted = isPredicted && blocks.capacity() == predicted;
            expected += bytes;
        }
        std::string held;
        for (std::size_t index = 0; index < blocks.blocks(); ++index) {
            const asio::const_buffer block = blocks.block(index);
            held.append(static_cast<const char *>(block.data()), block.size());
        }
        CHECK(isPredicted);
        CHECK((held == expected)); // without printing them
        CHECK(blocks.size() == expected.size());
        CHECK(blocks.capacity() <= expected.size() + ByteBlocks::MaxBlockBytes);
    }
}

} // namespace snipevalve
