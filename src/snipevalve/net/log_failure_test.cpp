#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>

#include "snipevalve/net/spawn.hpp"

namespace snipevalve {

namespace {

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Awaitable<void> serve(int outcome)
    {
        if (outcome == 0) {
            throw std::length_error("a header field that is too long");
        }
        if (outcome == 1) {
            throw 7;
        }
        ++ended;
        co_return;
    }

    int ended = 0;
};

} // namespace

TEST_CASE("an exception in one connection's coroutine ends neither the thread nor the other coroutines")
{
    asio::io_context context;
    const auto connection = std::make_shared<Connection>();
    for (const int outcome : {0, 2, 1, 2}) {
        spawnMember(context.get_executor(), connection, &Connection::serve, outcome);
    }
    CHECK_NOTHROW(context.run());
    CHECK(connection->ended == 2);
}

} // namespace snipevalve
