#ifndef SNIPEVALVE_OWNERSHIP_RECENT_OWNERS_HPP
#define SNIPEVALVE_OWNERSHIP_RECENT_OWNERS_HPP

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "snipevalve/core/time.hpp"
#include "snipevalve/dispatch/key_owners.hpp"

namespace snipevalve {

/// @brief The servers that have recently lost keys. No I/O, threads or clock.
///
/// A request that a server began before it lost a key may be repeated while the caller still waits. Keys that return
/// earlier would let the server run the same request twice, with another owner in between.
class RecentOwners
{
public:
    /// @brief Records that a server has lost keys. @param until must not decrease from call to call
    void add(const KeyRange &keys, const std::string &server, TimePoint until);

    /// @brief Forgets the entries that end by `now`.
    void expire(TimePoint now);

    /// A loss of keys, which counts before `until`.
    struct Loss
    {
        KeyRange keys;
        TimePoint until;
    };

    /// @brief By server, the oldest first.
    const std::map<std::string, std::deque<Loss>> &losses() const;

    /// @brief Whether the server has recently lost one of the keys.
    bool contains(const KeyRange &keys, const std::string &server) const;

    /// @brief The first of the keys, and those after it that the same servers have recently lost.
    KeyRange uniformStart(const KeyRange &keys) const;

    /// @brief Removes the keys that the server has recently lost.
    /// @return what is left of the ranges, in their order
    std::vector<KeyRange> without(const std::vector<KeyRange> &ranges, const std::string &server) const;

private:
    std::map<std::string, std::deque<Loss>> m_losses; ///< by server, the oldest first
};

/// @brief The ranges without the keys of `removed`, in their order.
std::vector<KeyRange> subtract(const std::vector<KeyRange> &ranges, const KeyRange &removed);

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_RECENT_OWNERS_HPP
