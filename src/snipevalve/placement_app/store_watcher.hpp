#ifndef SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP
#define SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP

#include "snipevalve/placement_app/placement_context.hpp"

namespace snipevalve {

/// @brief On a relay, watches the store and publishes its resources and leader keys as items.
class StoreWatcher
{
public:
    explicit StoreWatcher(PlacementContext &context);

    /// @brief Whether this process is a relay now.
    void setActive(bool active);
    bool isActive() const;

    /// @brief How long ago the store answered last; for status.
    Milliseconds timeSinceAnswer() const;

    Awaitable<void> run();

private:
    Awaitable<bool> loadSnapshot();
    void publish(const std::vector<StoreEvent> &events);
    void publishRemovals(const StoredList &list);

    PlacementContext &m_context;
    bool m_active = false;
    bool m_snapshotLoaded = false;
    std::uint64_t m_revision = 0;
    TimePoint m_answeredAt = Clock::now();
};

} // namespace snipevalve

#endif // SNIPEVALVE_PLACEMENT_APP_STORE_WATCHER_HPP
