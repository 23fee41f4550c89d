#ifndef SNIPEVALVE_OWNERSHIP_FIRST_KEYS_HPP
#define SNIPEVALVE_OWNERSHIP_FIRST_KEYS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/ownership/recent_owners.hpp"

namespace snipevalve {

/// @brief A server that may give keys away.
struct KeyDonor
{
    std::string id;
    double load = 0; ///< in busy slots
    std::vector<KeyRange> ranges; ///< that may move
};

/// @brief A part of the keys that a server without keys gets, and who gives it.
struct FirstKeys
{
    KeyRange keys;
    std::string from;
    double load = 0;
};

/// @brief Chooses the first keys of a server that joins a keyed service.
///
/// The load of single keys says little at low load: of the 65,536 keys, a few hundred have had a request within the
/// window of the average, and a window chosen for its load alone is a few keys that get no further request. So the
/// choice goes by width: two parts, each a third of a mean share of all keys and from a donor of its own, without keys
/// that are hot at the moment. The new server and its donors then have two thirds of a mean share.
class FirstKeysSearch
{
public:
    /// A part of the first keys has this share of the mean number of keys of a server. It is above the width up to
    /// which ranges are merged with their neighbours (a quarter).
    static constexpr double WidthShare = 0.34;
    static constexpr std::size_t Parts = 2;

    /// @param loads by key: busy slots
    /// @param keys the number of keys that servers own
    /// @param servers the number of servers that may own keys, with those that have none
    /// @param requestLoad what one request adds to the load of its key
    FirstKeysSearch(const std::vector<float> &loads, std::uint32_t keys, std::size_t servers, double requestLoad);

    /// @brief Whether a server with these keys gets no more than a token part of the requests.
    bool isNeeded(std::uint32_t keys, double load) const;

    /// @param donors in the order in which they are asked
    /// @param server the server that gets the keys
    /// @param room the load that it can take
    std::optional<FirstKeys> find(const std::vector<KeyDonor> &donors, const std::string &server, double room,
                                  const RecentOwners &recent) const;

private:
    std::optional<FirstKeys> findFitting(const std::vector<KeyDonor> &donors, const std::string &server,
                                         std::uint32_t wanted, double room, const RecentOwners &recent,
                                         std::optional<FirstKeys> &lightest) const;
    double loadOf(std::uint32_t from, std::uint32_t end) const;

    std::vector<double> m_loadBefore; ///< by key: the load of all lower keys
    std::vector<std::uint32_t> m_hotBefore; ///< by key: the number of hot keys below it
    double m_meanLoad = 0; ///< of a server
    std::uint32_t m_meanWidth = 0; ///< of the keys of a server
};

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_FIRST_KEYS_HPP
