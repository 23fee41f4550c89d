#ifndef SNIPEVALVE_NET_HEX_DIGIT_HPP
#define SNIPEVALVE_NET_HEX_DIGIT_HPP

namespace snipevalve {

/// @return the value of an upper-case or lower-case hexadecimal digit, or -1 for any other character
int hexDigit(char digit);

} // namespace snipevalve

#endif // SNIPEVALVE_NET_HEX_DIGIT_HPP
