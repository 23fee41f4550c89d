#include "snipevalve/node/gateway_thread.hpp"

#include <catch2/catch.hpp>

namespace snipevalve {

namespace {

constexpr Milliseconds Patience(5'000);

ParsedServerNotice parseNothing(const http::response_header<> &)
{
    return {};
}

template <typename Condition>
bool waitUntil(const Condition &condition)
{
    const TimePoint end = Clock::now() + Patience;
    while (!condition() && Clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    return condition();
}

} // namespace

// Guards against a stop that ends the process before its traffic thread has come to accept the backlog.
TEST_CASE("connections in the backlog count as callers until they have become sessions", "[promise-4]")
{
    NodeSettings settings;
    settings.address = "127.44.0.1";
    settings.callers = {settings.address, 18080};
    const HeaderNames names;
    GatewayThread thread(settings, names, &parseNothing, 1);
    asio::io_context context;
    std::vector<Tcp::socket> callers;
    for (int caller = 0; caller < 3; ++caller) {
        callers.emplace_back(context).connect(toTcp(settings.callers));
    }
    thread.closeListener();
    CHECK(thread.hasCallers());
    thread.start();
    CHECK(waitUntil([&]() {
        return thread.sessions() == callers.size();
    }));
    CHECK(thread.hasCallers());
    callers.clear();
    CHECK(waitUntil([&]() {
        return !thread.hasCallers();
    }));
}

} // namespace snipevalve
