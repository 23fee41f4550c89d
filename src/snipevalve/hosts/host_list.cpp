#include "snipevalve/hosts/host_list.hpp"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "snipevalve/core/hash.hpp"

namespace snipevalve {

std::optional<HostList> parseHostList(std::string_view text)
{
    using Json = nlohmann::json;
    const Json json = Json::parse(text, nullptr, false);
    HostList hosts;
    try {
        for (const Json &entry : json.at("hosts")) {
            Host host;
            host.name = entry.at("name").get<std::string>();
            host.address = entry.at("address").get<std::string>();
            host.zone = entry.value("zone", "");
            host.leaving = entry.value("state", "live") != "live";
            hosts.push_back(std::move(host));
        }
    } catch (const Json::exception &) {
        return std::nullopt;
    }
    return hosts;
}

HostList rankHosts(HostList hosts, std::string_view subject)
{
    const std::uint64_t seed = hashOf(subject);
    const auto isBefore = [seed](const Host &left, const Host &right) {
        if (left.leaving != right.leaving) {
            return right.leaving;
        }
        return hashOf(left.name, seed) < hashOf(right.name, seed);
    };
    std::sort(hosts.begin(), hosts.end(), isBefore);
    return hosts;
}

HostList chooseRelays(const HostList &hosts, std::size_t count)
{
    HostList ranked = rankHosts(hosts, "relay");
    HostList relays;
    std::set<std::string> zones;
    const auto addRelays = [&](bool newZonesOnly) {
        for (const Host &host : ranked) {
            const bool isChosen = std::find(relays.begin(), relays.end(), host) != relays.end();
            const bool isNewZone = !zones.contains(host.zone);
            if (relays.size() < count && !isChosen && (isNewZone || !newZonesOnly)) {
                relays.push_back(host);
                zones.insert(host.zone);
            }
        }
    };
    addRelays(true);
    addRelays(false);
    return relays;
}

} // namespace snipevalve
