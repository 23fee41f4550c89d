#include "snipevalve/routing/slot_table.hpp"

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr unsigned ByteBits = 8;
constexpr unsigned ByteMask = 0xff;

SlotTable readHeader(const Json &json)
{
    SlotTable table;
    table.group = parseGroupId(json.at("group").get<std::string>()).value_or(GroupId());
    table.version = parseToken(json.at("version").get<std::string>()).value_or(Token());
    table.committed = json.at("committed").get<bool>();
    table.leader = json.at("leader").get<std::string>();
    table.servers = json.at("servers").get<std::vector<std::string>>();
    return table;
}

} // namespace

std::string_view SlotTable::ownerOf(std::uint32_t slot) const
{
    if (slot >= owners.size() || owners[slot] >= servers.size()) {
        return {};
    }
    return servers[owners[slot]];
}

std::string encodeTable(const SlotTable &table)
{
    const Json header = {{"group", toString(table.group)},
                         {"version", toString(table.version)},
                         {"committed", table.committed},
                         {"leader", table.leader},
                         {"servers", table.servers}};
    std::string payload = header.dump();
    payload += '\n';
    payload.reserve(payload.size() + table.owners.size() * 2);
    for (const ServerIndex owner : table.owners) {
        payload += static_cast<char>(owner >> ByteBits);
        payload += static_cast<char>(owner & ByteMask);
    }
    return payload;
}

std::optional<SlotTable> decodeTable(std::string_view payload)
{
    const auto newline = payload.find('\n');
    if (newline == std::string_view::npos || (payload.size() - newline - 1) % 2 != 0) {
        return std::nullopt;
    }
    const Json json = Json::parse(payload.substr(0, newline), nullptr, false);
    SlotTable table;
    try {
        table = readHeader(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
    for (std::size_t at = newline + 1; at < payload.size(); at += 2) {
        const auto high = static_cast<unsigned char>(payload[at]);
        const auto low = static_cast<unsigned char>(payload[at + 1]);
        table.owners.push_back(static_cast<ServerIndex>((high << ByteBits) | low));
    }
    return table;
}

} // namespace snipevalve
