#include "snipevalve/core/item.hpp"

#include <algorithm>

namespace snipevalve {

bool ItemSet::merge(const Item &item)
{
    const auto [position, inserted] = m_items.try_emplace(item.key, item);
    if (!inserted) {
        if (item.version <= position->second.version) {
            return false;
        }
        position->second = item;
    }
    if (item.key.kind == ItemKind::Resource) {
        m_resourceRevision = std::max(m_resourceRevision, item.version.major);
    }
    return true;
}

const Item *ItemSet::find(const ItemKey &key) const
{
    const auto position = m_items.find(key);
    return position == m_items.end() ? nullptr : &position->second;
}

std::vector<Item> ItemSet::all() const
{
    std::vector<Item> items;
    items.reserve(m_items.size());
    for (const auto &[key, item] : m_items) {
        items.push_back(item);
    }
    return items;
}

void ItemSet::forEach(ItemKind kind, const std::function<void(const Item &)> &visit) const
{
    for (auto position = m_items.lower_bound({kind, {}}); position != m_items.end(); ++position) {
        if (position->first.kind != kind) {
            break;
        }
        if (!position->second.removed) {
            visit(position->second);
        }
    }
}

std::uint64_t ItemSet::resourceRevision() const
{
    return m_resourceRevision;
}

std::size_t ItemSet::size() const
{
    return m_items.size();
}

} // namespace snipevalve
