#ifndef SNIPEVALVE_NET_HEX_DIGIT_HPP
#define SNIPEVALVE_NET_HEX_DIGIT_HPP

namespace snipevalve {

/// @return the value of a hexadecimal digit of either case; -1 for any other character
int hexDigit(char digit);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_HEX_DIGIT_HPP
