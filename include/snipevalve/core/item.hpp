#ifndef SNIPEVALVE_CORE_ITEM_HPP
#define SNIPEVALVE_CORE_ITEM_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipevalve {

/// @brief The kinds of state that processes propagate to each other as items.
enum class ItemKind : std::uint32_t {
    Resource = 1, ///< a resource of the configuration; the major version is the store's revision
    Table = 2, ///< a group's routing table; the version is (term, sequence)
    Report = 3, ///< what a process has applied so far; sent towards the relays only
    Leader = 4, ///< the holder of a group's leader key; the major version is the store's revision
    Load = 5, ///< the requests per slot that one entry process received; sent towards the relays only
};

struct ItemVersion
{
    std::uint64_t major = 0;
    std::uint64_t minor = 0;

    auto operator<=>(const ItemVersion &) const = default;
};

struct ItemKey
{
    ItemKind kind = ItemKind::Resource;
    std::string name;

    auto operator<=>(const ItemKey &) const = default;
};

/// @brief A named value with a version. Of two items with the same key, the one with the higher version wins.
struct Item
{
    ItemKey key;
    ItemVersion version;
    std::string payload;
    bool removed = false;
};

/// @brief The latest known version of each item. Merging is commutative and idempotent, and never replaces an item by
/// one with a lower version.
class ItemSet
{
public:
    /// @return true if the item was new or newer than the known version and has been stored
    bool merge(const Item &item);

    const Item *find(const ItemKey &key) const;

    /// @brief All items, including removed ones, so that removals propagate to peers.
    std::vector<Item> all() const;

    /// @brief Calls `visit` for each item of a kind that is not removed.
    void forEach(ItemKind kind, const std::function<void(const Item &)> &visit) const;

    /// @brief The highest major version among the resources, that is, the store revision that this process has reached.
    std::uint64_t resourceRevision() const;

    std::size_t size() const;

private:
    std::map<ItemKey, Item> m_items;
    std::uint64_t m_resourceRevision = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_ITEM_HPP
