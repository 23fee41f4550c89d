#ifndef SNIPEVALVE_STANDINS_STORE_STATE_HPP
#define SNIPEVALVE_STANDINS_STORE_STATE_HPP

#include <map>
#include <set>
#include <vector>

#include "snipevalve/store/config_store.hpp"

namespace snipevalve::standins {

/// @brief The state of the store stand-in: values, leases and the history of events. It does no I/O and reads no clock.
class StoreState
{
public:
    /// @brief Compare-and-swap: commits only if the key's revision is the expected one; 0 stands for no such key.
    WriteResult write(const StoreWrite &write);
    StoredValue read(const std::string &key) const;
    StoredList list(const std::string &prefix) const;

    /// @brief Collects the events for keys with a prefix after the revision `from`.
    /// @return false when the history no longer reaches back to `from`
    bool eventsAfter(const std::string &prefix, std::uint64_t from, StoreEvents &out) const;

    std::uint64_t createLease(Duration lifetime, TimePoint now);
    bool renewLease(std::uint64_t lease, TimePoint now);
    bool hasLease(std::uint64_t lease) const;

    /// @brief Removes expired leases and their keys.
    /// @return true when a key was removed
    bool expireLeases(TimePoint now);

    std::uint64_t revision() const;

private:
    struct Entry
    {
        StoredValue value;
        std::uint64_t lease = 0;
    };

    struct Lease
    {
        Duration lifetime{};
        TimePoint expiry;
    };

    void removeKey(const std::string &key);
    void appendEvent(StoreEvent event);

    std::uint64_t m_revision = 0;
    std::uint64_t m_lastLease = 0;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<StoreEvent> m_history;
};

} // namespace snipevalve::standins

#endif // SNIPEVALVE_STANDINS_STORE_STATE_HPP
