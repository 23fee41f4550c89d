#ifndef SNIPEVALVE_ROUTING_SLOT_LOAD_HPP
#define SNIPEVALVE_ROUTING_SLOT_LOAD_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace snipevalve {

/// @brief Encodes request counts as four bytes per slot, big-endian.
std::string encodeSlotCounts(const std::vector<std::uint32_t> &counts);

std::vector<std::uint32_t> decodeSlotCounts(std::string_view payload);

} // namespace snipevalve

#endif // SNIPEVALVE_ROUTING_SLOT_LOAD_HPP
