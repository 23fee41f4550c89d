#ifndef SNIPEVALVE_CORE_ITEM_HPP
#define SNIPEVALVE_CORE_ITEM_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace snipevalve {

/// @brief What an item that spreads between the processes is about.
enum class ItemKind : std::uint32_t {
    Resource = 1, ///< an operator's resource; the version's major is the store's revision
    Table = 2, ///< a group's routing table; version is (term, sequence)
    Report = 3, ///< a process's report of what it has applied; travels towards the relays only
    Leader = 4, ///< the holder of a group's leader key; the version's major is the store's revision
    Load = 5, ///< requests by slot that one entry process saw; travels towards the relays only
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

/// @brief A named value with a version; of two, the one with the higher version stands.
struct Item
{
    ItemKey key;
    ItemVersion version;
    std::string payload;
    bool removed = false;
};

/// @brief The items a process knows. Merging is commutative and idempotent and never goes back to a lower version.
class ItemSet
{
public:
    /// @return true when the item was newer than what was known and has been taken in.
    bool merge(const Item &item);

    const Item *find(const ItemKey &key) const;

    /// @brief All items, removals included, so that a peer learns of them too.
    std::vector<Item> all() const;

    /// @brief Calls `visit` for each item of a kind that is not removed.
    void forEach(ItemKind kind, const std::function<void(const Item &)> &visit) const;

    /// @brief The highest major version among the resources: the revision that this process has.
    std::uint64_t resourceRevision() const;

    std::size_t size() const;

private:
    std::map<ItemKey, Item> m_items;
    std::uint64_t m_resourceRevision = 0;
};

} // namespace snipevalve

#endif // SNIPEVALVE_CORE_ITEM_HPP
