#ifndef SNIPEVALVE_HOSTS_HOST_LIST_HPP
#define SNIPEVALVE_HOSTS_HOST_LIST_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipevalve {

/// @brief One host of the system as the platform lists it. The list lags.
struct Host
{
    std::string name;
    std::string address;
    std::string zone; ///< availability zone
    bool leaving = false;

    bool operator==(const Host &) const = default;
};

using HostList = std::vector<Host>;

/// @return empty when the text is not a host list
std::optional<HostList> parseHostList(std::string_view text);

/// @brief Hosts in the order of their rank for a subject: rendezvous hashing (Thaler and Ravishankar, 1998).
///
/// When a host goes, the others keep their order. Leaving hosts come last.
HostList rankHosts(HostList hosts, std::string_view subject);

/// @brief The hosts whose placement process watches the store for all others.
/// @param count how many; with several availability zones, no two of the first relays share one
HostList chooseRelays(const HostList &hosts, std::size_t count);

} // namespace snipevalve

#endif // SNIPEVALVE_HOSTS_HOST_LIST_HPP
