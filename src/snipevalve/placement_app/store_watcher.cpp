#include "snipevalve/placement_app/store_watcher.hpp"

#include <optional>
#include <set>

#include <spdlog/spdlog.h>

namespace snipevalve {

namespace {

constexpr Milliseconds WatchTimeout(5000);
constexpr Milliseconds RetryDelay(100);

std::optional<ItemKey> itemKeyOf(std::string_view storeKey)
{
    if (storeKey.starts_with(ResourcePrefix)) {
        return ItemKey{ItemKind::Resource, std::string(storeKey.substr(ResourcePrefix.size()))};
    }
    if (storeKey.starts_with(LeaderPrefix)) {
        return ItemKey{ItemKind::Leader, std::string(storeKey.substr(LeaderPrefix.size()))};
    }
    return std::nullopt;
}

std::optional<Item> toItem(const StoreEvent &event)
{
    const auto key = itemKeyOf(event.value.key);
    if (!key) {
        return std::nullopt;
    }
    Item item;
    item.key = *key;
    item.version = {event.value.revision, 0};
    item.removed = event.removed;
    if (key->kind == ItemKind::Leader) {
        item.payload = event.value.value;
    } else if (!event.removed) {
        const auto envelope = parseEnvelope(event.value.value);
        if (!envelope) {
            return std::nullopt;
        }
        item.payload = envelope->document;
    }
    return item;
}

} // namespace

StoreWatcher::StoreWatcher(PlacementContext &context)
    : m_context(context)
{
}

void StoreWatcher::setActive(bool active)
{
    if (active != m_active) {
        spdlog::info("relay: this host {} the store", active ? "watches" : "no longer watches");
    }
    m_active = active;
    m_snapshotLoaded = m_snapshotLoaded && active;
}

bool StoreWatcher::isActive() const
{
    return m_active;
}

Milliseconds StoreWatcher::timeSinceAnswer() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_answeredAt);
}

Awaitable<void> StoreWatcher::run()
{
    asio::steady_timer timer(m_context.executor);
    while (true) {
        bool answered = false;
        if (m_active && !m_snapshotLoaded) {
            answered = co_await loadSnapshot();
        } else if (m_active) {
            const auto events = co_await m_context.store.watch({}, m_revision, WatchTimeout);
            answered = events.ok();
            if (events.ok()) {
                m_answeredAt = Clock::now();
                m_revision = std::max(m_revision, events->revision);
                publish(events->events);
            } else if (absl::IsOutOfRange(events.status())) {
                m_snapshotLoaded = false;
            }
        }
        if (!answered) {
            timer.expires_after(RetryDelay);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

/// Reads a snapshot of all resources and leader keys. It is rejected if its revision is older than one seen before.
Awaitable<bool> StoreWatcher::loadSnapshot()
{
    StoredList list;
    for (const std::string_view prefix : {ResourcePrefix, LeaderPrefix}) {
        const auto part = co_await m_context.store.list(std::string(prefix));
        if (!part.ok()) {
            co_return false;
        }
        list.values.insert(list.values.end(), part->values.begin(), part->values.end());
        // The watch starts from the revision of the first list, so that no change between the two lists is missed.
        list.revision = list.revision == 0 ? part->revision : list.revision;
    }
    if (list.revision < m_revision || list.revision < m_context.hub.items().resourceRevision()) {
        spdlog::warn("relay: ignoring a snapshot: the store answered with revision {}, older than one already seen",
                     list.revision);
        co_return false;
    }
    m_answeredAt = Clock::now();
    std::vector<StoreEvent> events;
    for (const StoredValue &value : list.values) {
        events.push_back({value, false});
    }
    publish(events);
    publishRemovals(list);
    m_revision = list.revision;
    m_snapshotLoaded = true;
    co_return true;
}

void StoreWatcher::publish(const std::vector<StoreEvent> &events)
{
    std::vector<Item> items;
    for (const StoreEvent &event : events) {
        auto item = toItem(event);
        if (item) {
            items.push_back(std::move(*item));
        }
    }
    if (!items.empty()) {
        m_context.hub.publish(items);
    }
}

/// Publishes the removal of items that are missing in the snapshot: they were removed while no relay watched the store.
void StoreWatcher::publishRemovals(const StoredList &list)
{
    std::set<ItemKey> present;
    for (const StoredValue &value : list.values) {
        const auto key = itemKeyOf(value.key);
        if (key) {
            present.insert(*key);
        }
    }
    std::vector<Item> removals;
    for (const ItemKind kind : {ItemKind::Resource, ItemKind::Leader}) {
        m_context.hub.items().forEach(kind, [&](const Item &item) {
            if (!present.contains(item.key) && item.version.major <= list.revision) {
                Item removal = item;
                removal.payload.clear();
                removal.removed = true;
                removal.version = {list.revision, 1};
                removals.push_back(std::move(removal));
            }
        });
    }
    m_context.hub.publish(removals);
}

} // namespace snipevalve
