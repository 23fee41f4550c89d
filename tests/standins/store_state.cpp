#include "standins/store_state.hpp"

namespace snipevalve::standins {

namespace {

constexpr std::size_t MaxHistoryEvents = 100'000;

} // namespace

WriteResult StoreState::write(const StoreWrite &write)
{
    const auto position = m_entries.find(write.key);
    const std::uint64_t current = position == m_entries.end() ? 0 : position->second.value.revision;
    if (current != write.expectedRevision) {
        return {false, read(write.key)};
    }
    if (write.remove) {
        removeKey(write.key);
        return {true, {write.key, {}, m_revision}};
    }
    ++m_revision;
    m_entries[write.key] = {{write.key, write.value, m_revision}, write.lease};
    appendEvent({m_entries[write.key].value, false});
    return {true, m_entries[write.key].value};
}

StoredValue StoreState::read(const std::string &key) const
{
    const auto position = m_entries.find(key);
    return position == m_entries.end() ? StoredValue{key, {}, 0} : position->second.value;
}

StoredList StoreState::list(const std::string &prefix) const
{
    StoredList list;
    list.revision = m_revision;
    for (auto position = m_entries.lower_bound(prefix); position != m_entries.end(); ++position) {
        if (!position->first.starts_with(prefix)) {
            break;
        }
        list.values.push_back(position->second.value);
    }
    return list;
}

bool StoreState::eventsAfter(const std::string &prefix, std::uint64_t from, StoreEvents &out) const
{
    const std::uint64_t oldest = m_revision - std::min<std::uint64_t>(m_revision, m_history.size());
    if (from < oldest) {
        return false;
    }
    out.revision = m_revision;
    out.events.clear();
    for (std::size_t index = from - oldest; index < m_history.size(); ++index) {
        if (m_history[index].value.key.starts_with(prefix)) {
            out.events.push_back(m_history[index]);
        }
    }
    return true;
}

std::uint64_t StoreState::createLease(Duration lifetime, TimePoint now)
{
    m_leases[++m_lastLease] = {lifetime, now + lifetime};
    return m_lastLease;
}

bool StoreState::renewLease(std::uint64_t lease, TimePoint now)
{
    const auto position = m_leases.find(lease);
    if (position == m_leases.end()) {
        return false;
    }
    position->second.expiry = now + position->second.lifetime;
    return true;
}

bool StoreState::hasLease(std::uint64_t lease) const
{
    return m_leases.contains(lease);
}

bool StoreState::expireLeases(TimePoint now)
{
    bool removedKey = false;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.expiry > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, entry] : m_entries) {
            if (entry.lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            removeKey(key);
            removedKey = true;
        }
        lease = m_leases.erase(lease);
    }
    return removedKey;
}

std::uint64_t StoreState::revision() const
{
    return m_revision;
}

void StoreState::removeKey(const std::string &key)
{
    ++m_revision;
    m_entries.erase(key);
    appendEvent({{key, {}, m_revision}, true});
}

void StoreState::appendEvent(StoreEvent event)
{
    m_history.push_back(std::move(event));
    if (m_history.size() > MaxHistoryEvents) {
        m_history.erase(m_history.begin(), m_history.begin() + MaxHistoryEvents / 2);
    }
}

} // namespace snipevalve::standins
