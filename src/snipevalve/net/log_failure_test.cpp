#include <catch2/catch.hpp>

#include <memory>
#include <stdexcept>

#include "snipevalve/net/spawn.hpp"

namespace snipevalve {

namespace {

class Part : public std::enable_shared_from_this<Part>
{
public:
    Awaitable<void> fail(int kind)
    {
        if (kind == 0) {
            throw std::length_error("a header field that is too long");
        }
        if (kind == 1) {
            throw 7;
        }
        ++ended;
        co_return;
    }

    int ended = 0;
};

} // namespace

TEST_CASE("what one connection's coroutine throws ends neither the thread nor the others")
{
    asio::io_context context;
    const auto part = std::make_shared<Part>();
    for (const int kind : {0, 2, 1, 2}) {
        spawnMember(context.get_executor(), part, &Part::fail, kind);
    }
    CHECK_NOTHROW(context.run());
    CHECK(part->ended == 2);
}

} // namespace snipevalve
