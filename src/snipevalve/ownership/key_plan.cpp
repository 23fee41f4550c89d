#include "snipevalve/ownership/key_plan.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

/// What a plan says of one key.
struct Ownership
{
    const ServerIncarnation *owner = nullptr; ///< null for none
    bool isUnknown = false;

    bool operator==(const Ownership &other) const
    {
        const bool isSameOwner =
            owner == nullptr || other.owner == nullptr ? owner == other.owner : *owner == *other.owner;
        return isSameOwner && isUnknown == other.isUnknown;
    }
};

Ownership ownershipOf(const KeyPlan &plan, std::uint16_t key)
{
    const auto range = std::partition_point(plan.ranges.begin(), plan.ranges.end(), [key](const PlannedRange &each) {
        return each.keys.to < key;
    });
    const bool isOwned = range != plan.ranges.end() && range->keys.contains(key);
    const bool isUnknown =
        std::any_of(plan.unknownOwners.begin(), plan.unknownOwners.end(), [key](const KeyRange &keys) {
            return keys.contains(key);
        });
    return {isOwned ? &range->owner : nullptr, isUnknown};
}

bool overlapsAny(const std::vector<PlannedRange> &ranges, const KeyRange &keys)
{
    const auto range = std::partition_point(ranges.begin(), ranges.end(), [&keys](const PlannedRange &each) {
        return each.keys.to < keys.from;
    });
    return range != ranges.end() && range->keys.from <= keys.to;
}

} // namespace

void appendKeys(std::vector<KeyRange> &ranges, const KeyRange &keys)
{
    const bool extendsLast = !ranges.empty() && ranges.back().to + 1U == keys.from;
    if (extendsLast) {
        ranges.back().to = keys.to;
    } else {
        ranges.push_back(keys);
    }
}

std::string toText(const KeyPlan &plan)
{
    using Json = nlohmann::json;
    Json servers = Json::array();
    Json ranges = Json::array();
    std::map<ServerIncarnation, std::size_t> indices;
    for (const PlannedRange &range : plan.ranges) {
        const auto [position, isNew] = indices.try_emplace(range.owner, indices.size());
        if (isNew) {
            servers.push_back({range.owner.id, range.owner.incarnation});
        }
        ranges.push_back({range.keys.from, range.keys.to, position->second});
    }
    Json json{{"term", plan.term}, {"version", plan.version}, {"servers", servers}, {"ranges", ranges}};
    if (!plan.deputy.run.empty()) {
        json["deputy"] = {plan.deputy.run, plan.deputy.epoch};
    }
    for (const KeyRange &keys : plan.unknownOwners) {
        json["unknown_owners"].push_back({keys.from, keys.to});
    }
    return json.dump();
}

absl::StatusOr<KeyPlan> parseKeyPlan(std::string_view text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        KeyPlan plan;
        plan.term = json.at("term").get<std::uint64_t>();
        plan.version = json.at("version").get<std::uint64_t>();
        if (const auto deputy = json.find("deputy"); deputy != json.end()) {
            plan.deputy = {deputy->at(0).get<std::string>(), deputy->at(1).get<std::uint64_t>()};
        }
        std::vector<ServerIncarnation> servers;
        for (const auto &server : json.at("servers")) {
            servers.push_back({server.at(0).get<std::string>(), server.at(1).get<std::int64_t>()});
        }
        for (const auto &range : json.at("ranges")) {
            const KeyRange keys{range.at(0).get<std::uint16_t>(), range.at(1).get<std::uint16_t>()};
            const bool overlaps = !plan.ranges.empty() && keys.from <= plan.ranges.back().keys.to;
            if (keys.from > keys.to || overlaps) {
                return absl::InvalidArgumentError("the ranges of the plan overlap or are not in ascending order");
            }
            plan.ranges.push_back({keys, servers.at(range.at(2).get<std::size_t>())});
        }
        if (const auto unknown = json.find("unknown_owners"); unknown != json.end()) {
            for (const auto &range : *unknown) {
                const KeyRange keys{range.at(0).get<std::uint16_t>(), range.at(1).get<std::uint16_t>()};
                const bool isAscending = plan.unknownOwners.empty() || plan.unknownOwners.back().to < keys.from;
                if (keys.from > keys.to || !isAscending || overlapsAny(plan.ranges, keys)) {
                    return absl::InvalidArgumentError(
                        "the keys with unknown owners overlap or are not in ascending order");
                }
                plan.unknownOwners.push_back(keys);
            }
        }
        return plan;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

KeyPlan commonPlan(const KeyPlan &first, const KeyPlan &second)
{
    std::set<std::uint32_t> starts{0}; // of the parts on which neither plan changes
    for (const KeyPlan *plan : {&first, &second}) {
        for (const PlannedRange &range : plan->ranges) {
            starts.insert({range.keys.from, range.keys.to + 1U});
        }
        for (const KeyRange &keys : plan->unknownOwners) {
            starts.insert({keys.from, keys.to + 1U});
        }
    }
    starts.erase(KeyCount);
    KeyPlan common;
    common.term = first.term;
    common.version = first.version;
    for (auto start = starts.begin(); start != starts.end(); ++start) {
        const std::uint32_t end = std::next(start) == starts.end() ? KeyCount : *std::next(start);
        const KeyRange keys{static_cast<std::uint16_t>(*start), static_cast<std::uint16_t>(end - 1)};
        const Ownership before = ownershipOf(first, keys.from);
        if (before.isUnknown || !(before == ownershipOf(second, keys.from))) {
            appendKeys(common.unknownOwners, keys);
        } else if (before.owner != nullptr) {
            common.ranges.push_back({keys, *before.owner});
        }
    }
    return common;
}

} // namespace snipevalve
