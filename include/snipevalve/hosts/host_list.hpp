#ifndef SNIPEVALVE_HOSTS_HOST_LIST_HPP
#define SNIPEVALVE_HOSTS_HOST_LIST_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipevalve {

/// @brief A host as the platform's host list describes it. The list may be out of date.
struct Host
{
    std::string name;
    std::string address;
    std::string zone; ///< availability zone
    bool leaving = false; ///< listed in any state other than `live`

    bool operator==(const Host &) const = default;
};

using HostList = std::vector<Host>;

/// @brief Parses the platform's host list, a JSON document.
/// @return std::nullopt when the text is not a valid host list
std::optional<HostList> parseHostList(std::string_view text);

/// @brief Orders hosts by their rank for a subject with rendezvous hashing (Thaler and Ravishankar, 1998).
///
/// Removing a host leaves the relative order of the others unchanged. Leaving hosts come last.
/// @param subject what the hosts are ranked for; another subject gives another order
HostList rankHosts(HostList hosts, std::string_view subject);

/// @brief Chooses the relays: the hosts whose placement process watches the store on behalf of all others.
///
/// Each availability zone gets one relay before any zone gets a second one.
/// @param count number of relays; fewer are returned when there are fewer hosts
HostList chooseRelays(const HostList &hosts, std::size_t count);

} // namespace snipevalve

#endif // SNIPEVALVE_HOSTS_HOST_LIST_HPP
