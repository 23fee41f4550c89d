/// @file Balances twelve slots over three servers, then over the two that remain when one becomes unavailable.
#include <iostream>

#include "snipevalve/placement/balancer.hpp"

int main()
{
    using namespace snipevalve;
    std::vector<BalanceServer> servers(3, BalanceServer{true, false});
    const std::vector<double> loads = {1, 1, 1, 1, 2, 2, 2, 2, 3, 3, 3, 3};
    std::vector<ServerIndex> targets = balance(std::vector<ServerIndex>(12, NoServer), loads, servers);
    std::cout << "three servers: imbalance " << imbalanceOf(targets, loads, servers) << "\n";
    servers[2].eligible = false;
    targets = balance(targets, loads, servers);
    std::cout << "two servers: imbalance " << imbalanceOf(targets, loads, servers) << "\n";
    return 0;
}
