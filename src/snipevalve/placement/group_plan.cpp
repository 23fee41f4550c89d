#include "snipevalve/placement/group_plan.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr std::size_t DigitsPerSlot = 4;
constexpr int Hexadecimal = 16;

GroupPlan readPlan(const Json &json)
{
    GroupPlan plan;
    plan.term = json.at("term").get<std::uint64_t>();
    plan.leader = json.at("leader").get<std::string>();
    plan.version = json.at("version").get<std::uint64_t>();
    plan.writeId = json.at("writeId").get<std::string>();
    plan.servers = json.at("servers").get<std::vector<std::string>>();
    plan.targets = decodeOwners(json.at("targets").get<std::string>()).value_or(std::vector<ServerIndex>());
    plan.witnesses = json.at("witnesses").get<std::vector<std::string>>();
    return plan;
}

} // namespace

std::string toJson(const GroupPlan &plan)
{
    return Json({{"term", plan.term},
                 {"leader", plan.leader},
                 {"version", plan.version},
                 {"writeId", plan.writeId},
                 {"servers", plan.servers},
                 {"targets", encodeOwners(plan.targets)},
                 {"witnesses", plan.witnesses}})
        .dump();
}

std::optional<GroupPlan> parsePlan(std::string_view text)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        return json.is_object() ? std::optional(readPlan(json)) : std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string encodeOwners(const std::vector<ServerIndex> &owners)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(owners.size() * DigitsPerSlot);
    for (const ServerIndex owner : owners) {
        text += Digits[(owner >> 12) & 0xf];
        text += Digits[(owner >> 8) & 0xf];
        text += Digits[(owner >> 4) & 0xf];
        text += Digits[owner & 0xf];
    }
    return text;
}

std::optional<std::vector<ServerIndex>> decodeOwners(std::string_view text)
{
    if (text.size() % DigitsPerSlot != 0) {
        return std::nullopt;
    }
    std::vector<ServerIndex> owners;
    owners.reserve(text.size() / DigitsPerSlot);
    for (std::size_t at = 0; at < text.size(); at += DigitsPerSlot) {
        ServerIndex owner = 0;
        const char *end = text.data() + at + DigitsPerSlot;
        const auto result = std::from_chars(text.data() + at, end, owner, Hexadecimal);
        if (result.ec != std::errc() || result.ptr != end) {
            return std::nullopt;
        }
        owners.push_back(owner);
    }
    return owners;
}

} // namespace snipevalve
