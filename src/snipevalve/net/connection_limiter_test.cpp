#include <catch2/catch.hpp>

#include <list>
#include <vector>

#include "snipevalve/net/connection_limiter.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t Limit = 3;
constexpr Milliseconds ProtectedTime(100);
const TimePoint Start = TimePoint() + Milliseconds(1'000'000);

/// @brief Three connections that were accepted 10 ms apart, and the numbers of those that were closed.
class Connections
{
public:
    Connections()
    {
        for (int number = 0; number < static_cast<int>(Limit); ++number) {
            m_connections.emplace_back(limiter, Start + Milliseconds(10) * number, [this, number]() {
                closed.push_back(number);
            });
        }
    }

    LimitedConnection &at(int number)
    {
        return *std::next(m_connections.begin(), number);
    }

    std::shared_ptr<ConnectionLimiter> limiter = std::make_shared<ConnectionLimiter>(Limit, ProtectedTime);
    std::vector<int> closed;

private:
    std::list<LimitedConnection> m_connections;
};

} // namespace

// Guards against silent peers that keep others from connecting, and against closing what is in use.
TEST_CASE("the connection that has waited longest for its peer makes room for another one")
{
    struct Case
    {
        std::string name;
        std::vector<int> working;
        std::vector<int> waitsAnew; ///< since 50 ms after the start
        Milliseconds now; ///< since the start
        bool hasRoom;
        std::vector<int> closed;
    };
    const std::vector<Case> cases = {
        {"all wait", {}, {}, Milliseconds(200), true, {0}},
        {"all are protected", {}, {}, Milliseconds(99), false, {}},
        {"the first one's time has just ended", {}, {}, Milliseconds(100), true, {0}},
        {"the first one works", {0}, {}, Milliseconds(200), true, {1}},
        {"the first one has been served meanwhile", {}, {0}, Milliseconds(200), true, {1}},
        {"all work", {0, 1, 2}, {}, Milliseconds(10'000), false, {}},
    };
    for (const Case &each : cases) {
        INFO(each.name);
        Connections connections;
        for (const int number : each.working) {
            connections.at(number).work();
        }
        for (const int number : each.waitsAnew) {
            connections.at(number).work();
            connections.at(number).waitForPeer(Start + Milliseconds(50));
        }
        CHECK(connections.limiter->makeRoom(Start + each.now) == each.hasRoom);
        CHECK(connections.closed == each.closed);
        CHECK(connections.limiter->size() == Limit - each.closed.size());
    }
}

TEST_CASE("there is room below the limit, and again after a connection has ended")
{
    const auto limiter = std::make_shared<ConnectionLimiter>(1);
    CHECK(limiter->makeRoom(Start));
    {
        LimitedConnection connection(limiter, Start, []() {});
        connection.work();
        CHECK_FALSE(limiter->makeRoom(Start));
    }
    CHECK(limiter->makeRoom(Start));
}

} // namespace snipevalve
