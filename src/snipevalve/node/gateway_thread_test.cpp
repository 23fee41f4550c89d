#include "snipevalve/node/gateway_thread.hpp"

#include <catch2/catch.hpp>

#include <sstream>

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

// Guards against sessions that outlive the state that they refer to.
TEST_CASE("a thread can be destroyed while callers are connected", "[promise-4]")
{
    NodeSettings settings;
    settings.address = "127.44.0.2";
    settings.callers = {settings.address, 18081};
    const HeaderNames names;
    asio::io_context context;
    std::vector<Tcp::socket> callers;
    GatewayThread thread(settings, names, &parseNothing, 1);
    thread.start();
    for (int caller = 0; caller < 3; ++caller) {
        callers.emplace_back(context).connect(toTcp(settings.callers));
    }
    CHECK(waitUntil([&]() {
        return thread.sessions() == callers.size();
    }));
}

// Guards against connections that are turned away and keep their heads while others are granted theirs.
TEST_CASE("heads of connections that are turned away are given back at once", "[promise-4]")
{
    NodeSettings settings;
    settings.address = "127.44.0.3";
    settings.callers = {settings.address, 18083};
    settings.memoryBytes = 16 << 20;
    const HeaderNames names;
    asio::io_context context;
    std::vector<Tcp::socket> callers;
    GatewayThread thread(settings, names, &parseNothing, 1);
    thread.start();
    constexpr std::size_t Callers = 400;
    for (std::size_t caller = 0; caller < Callers; ++caller) {
        callers.emplace_back(context).connect(toTcp(settings.callers));
    }
    REQUIRE(waitUntil([&]() {
        return thread.sessions() == callers.size();
    }));
    const std::string part = "POST / HTTP/1.1\r\nX: " + std::string(15'000, 'x');
    std::size_t most = 0;
    const auto send = [&](std::size_t from, std::size_t to) {
        for (std::size_t caller = from; caller < to; ++caller) {
            ErrorCode error;
            asio::write(callers[caller], asio::buffer(part), error);
        }
    };
    const auto watch = [&](Milliseconds time) {
        for (const TimePoint end = Clock::now() + time; Clock::now() < end;) {
            std::istringstream text(thread.metrics().toText());
            std::size_t total = 0;
            for (std::string line; std::getline(text, line);) {
                if (line.rfind("snipevalve_held_bytes_", 0) == 0) {
                    total += std::stoul(line.substr(line.rfind(' ') + 1));
                }
            }
            most = std::max(most, total);
            std::this_thread::sleep_for(Milliseconds(5));
        }
    };
    send(0, 150);
    watch(Milliseconds(1'100));
    send(150, Callers);
    watch(Milliseconds(600));
    // Beyond the limit, each connection that was ready before is granted one read (docs/design/memory-account.md).
    constexpr std::size_t ReadBytes = 4 << 10;
    CHECK(most <= settings.memoryBytes / 16 * 11 + Callers * ReadBytes);
}

} // namespace snipevalve
