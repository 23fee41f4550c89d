#include "snipevalve/routing/slot_load.hpp"

namespace snipevalve {

namespace {

constexpr std::size_t BytesPerSlot = 4;
constexpr unsigned ByteBits = 8;

} // namespace

std::string encodeSlotCounts(const std::vector<std::uint32_t> &counts)
{
    std::string payload;
    payload.reserve(counts.size() * BytesPerSlot);
    for (const std::uint32_t count : counts) {
        for (std::size_t byte = BytesPerSlot; byte-- > 0;) {
            payload += static_cast<char>(count >> (byte * ByteBits));
        }
    }
    return payload;
}

std::vector<std::uint32_t> decodeSlotCounts(std::string_view payload)
{
    std::vector<std::uint32_t> counts(payload.size() / BytesPerSlot, 0);
    for (std::size_t at = 0; at < counts.size() * BytesPerSlot; ++at) {
        std::uint32_t &count = counts[at / BytesPerSlot];
        count = (count << ByteBits) | static_cast<unsigned char>(payload[at]);
    }
    return counts;
}

} // namespace snipevalve
