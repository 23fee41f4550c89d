#ifndef SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP
#define SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP

#include "snipevalve/placement_app/placement_context.hpp"

namespace snipevalve {

/// @brief On a relay, watches the store and publishes its resources and leader keys as items.
class StoreWatcher
{
public:
    explicit StoreWatcher(PlacementContext &context);

    /// @brief Starts or stops watching. To be called with whether this process is a relay.
    void setActive(bool active);
    bool isActive() const;

    /// @brief Time since the last answer of the store, for the status page.
    Milliseconds timeSinceAnswer() const;

    /// @brief Reads a snapshot of the store, then its changes, whenever the watcher is active. Does not return.
    Awaitable<void> run();

private:
    Awaitable<bool> loadSnapshot();
    void publish(const std::vector<StoreEvent> &events);
    void publishRemovals(const StoredList &list);

    PlacementContext &m_context;
    bool m_active = false;
    bool m_snapshotLoaded = false; ///< the watch can continue from m_revision
    std::uint64_t m_revision = 0;
    TimePoint m_answeredAt = Clock::now();
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP
