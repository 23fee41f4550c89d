#include "snipevalve/placement/grant.hpp"

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

using Json = nlohmann::json;

/// Writes sorted slots as [first, count] pairs, which keeps orders small.
Json toRanges(const std::vector<std::uint32_t> &slots)
{
    Json ranges = Json::array();
    for (std::size_t at = 0; at < slots.size();) {
        std::size_t end = at + 1;
        while (end < slots.size() && slots[end] == slots[end - 1] + 1) {
            ++end;
        }
        ranges.push_back({slots[at], end - at});
        at = end;
    }
    return ranges;
}

std::vector<std::uint32_t> fromRanges(const Json &ranges)
{
    std::vector<std::uint32_t> slots;
    for (const Json &range : ranges) {
        const auto first = range.at(0).get<std::uint32_t>();
        const auto count = range.at(1).get<std::uint32_t>();
        for (std::uint32_t offset = 0; offset < count; ++offset) {
            slots.push_back(first + offset);
        }
    }
    return slots;
}

Token readToken(const Json &json, const char *field)
{
    return parseToken(json.at(field).get<std::string>()).value_or(Token());
}

template <typename Message, typename Read>
std::optional<Message> parseMessage(std::string_view text, Read read)
{
    const Json json = Json::parse(text, nullptr, false);
    try {
        return json.is_object() ? std::optional<Message>(read(json)) : std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string toJson(const GrantOrder &order)
{
    return Json({{"group", toString(order.group)},
                 {"token", toString(order.token)},
                 {"probe", order.probe},
                 {"slots", toRanges(order.slots)},
                 {"anchorMs", order.anchor.count()},
                 {"lifetimeMs", order.lifetime.count()}})
        .dump();
}

std::optional<GrantOrder> parseGrantOrder(std::string_view text)
{
    return parseMessage<GrantOrder>(text, [](const Json &json) {
        GrantOrder order;
        order.group = parseGroupId(json.at("group").get<std::string>()).value_or(GroupId());
        order.token = readToken(json, "token");
        order.probe = json.at("probe").get<bool>();
        order.slots = fromRanges(json.at("slots"));
        order.anchor = ServerClock(json.at("anchorMs").get<std::uint64_t>());
        order.lifetime = Milliseconds(json.at("lifetimeMs").get<std::int64_t>());
        return order;
    });
}

std::string toJson(const GrantAnswer &answer)
{
    return Json({{"accepted", answer.accepted},
                 {"highest", toString(answer.highest)},
                 {"clockMs", answer.clock.count()},
                 {"held", toRanges(answer.held)}})
        .dump();
}

std::optional<GrantAnswer> parseGrantAnswer(std::string_view text)
{
    return parseMessage<GrantAnswer>(text, [](const Json &json) {
        GrantAnswer answer;
        answer.accepted = json.at("accepted").get<bool>();
        answer.highest = readToken(json, "highest");
        answer.clock = ServerClock(json.at("clockMs").get<std::uint64_t>());
        answer.held = fromRanges(json.at("held"));
        return answer;
    });
}

} // namespace snipevalve
