#include <catch2/catch.hpp>

#include <vector>

#include "snipevalve/node/descriptor_shares.hpp"

namespace snipevalve {

// Guards against listeners that together leave no descriptors for servers and the store.
TEST_CASE("what a node accepts leaves an eighth of its descriptors, however many hosts are connected")
{
    const std::vector<std::size_t> descriptors = {200, 1'000, 3'075, 4'100, 8'192};
    for (const std::size_t each : descriptors) {
        const DescriptorShares shares(each);
        const std::vector<std::size_t> hostCounts = {0, 1, each / 16, each / 8, shares.hosts()};
        for (const std::size_t hosts : hostCounts) {
            INFO(each << " descriptors, " << hosts << " hosts");
            const std::size_t accepted = shares.callers(hosts) + hosts + shares.newHosts() + shares.readiness();
            CHECK(accepted <= each - each / 8);
        }
    }
}

TEST_CASE("callers keep three quarters of the descriptors while few hosts are connected")
{
    struct Case
    {
        std::size_t hosts;
        std::size_t callers;
    };
    const std::vector<Case> cases = {{0, 3'075}, {195, 3'075}, {256, 3'075}, {257, 3'074}, {789, 2'542}};
    for (const Case &each : cases) {
        INFO(each.hosts << " hosts");
        CHECK(DescriptorShares(4'100).callers(each.hosts) == each.callers);
    }
}

} // namespace snipevalve
