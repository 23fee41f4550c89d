#include "snipevalve/ownership/key_plan.hpp"

#include <map>

#include <nlohmann/json.hpp>

namespace snipevalve {

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
        return plan;
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace snipevalve
