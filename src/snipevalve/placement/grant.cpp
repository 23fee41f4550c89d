#include "snipevalve/placement/grant.hpp"

#include <charconv>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace snipevalve {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t MaxSlot = 65535;

/// Formats sorted slots as ranges such as `0-3,8`. One JSON string instead of an array of numbers keeps orders cheap.
std::string formatRanges(const std::vector<std::uint32_t> &slots)
{
    std::string ranges;
    for (std::size_t at = 0; at < slots.size();) {
        std::size_t last = at;
        while (last + 1 < slots.size() && slots[last + 1] == slots[last] + 1) {
            ++last;
        }
        ranges += (ranges.empty() ? "" : ",") + std::to_string(slots[at]);
        if (last > at) {
            ranges += "-" + std::to_string(slots[last]);
        }
        at = last + 1;
    }
    return ranges;
}

const char *readSlot(const char *begin, const char *end, std::uint32_t &slot)
{
    const auto result = std::from_chars(begin, end, slot);
    if (result.ec != std::errc() || slot > MaxSlot) {
        throw std::invalid_argument("invalid slot number");
    }
    return result.ptr;
}

std::vector<std::uint32_t> parseRanges(const std::string &ranges)
{
    std::vector<std::uint32_t> slots;
    const char *at = ranges.data();
    const char *end = at + ranges.size();
    while (at != end) {
        std::uint32_t first = 0;
        at = readSlot(at, end, first);
        std::uint32_t last = first;
        if (at != end && *at == '-') {
            at = readSlot(at + 1, end, last);
        }
        for (std::uint32_t slot = first; slot <= last; ++slot) {
            slots.push_back(slot);
        }
        at += at != end ? 1 : 0;
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
    } catch (const std::invalid_argument &) {
        return std::nullopt;
    }
}

} // namespace

std::string toJson(const GrantOrder &order)
{
    return Json({{"group", toString(order.group)},
                 {"token", toString(order.token)},
                 {"probe", order.probe},
                 {"slots", formatRanges(order.slots)},
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
        order.slots = parseRanges(json.at("slots").get<std::string>());
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
                 {"held", formatRanges(answer.held)}})
        .dump();
}

std::optional<GrantAnswer> parseGrantAnswer(std::string_view text)
{
    return parseMessage<GrantAnswer>(text, [](const Json &json) {
        GrantAnswer answer;
        answer.accepted = json.at("accepted").get<bool>();
        answer.highest = readToken(json, "highest");
        answer.clock = ServerClock(json.at("clockMs").get<std::uint64_t>());
        answer.held = parseRanges(json.at("held").get<std::string>());
        return answer;
    });
}

} // namespace snipevalve
