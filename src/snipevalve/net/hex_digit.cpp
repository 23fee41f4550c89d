#include "snipevalve/net/hex_digit.hpp"

#include <cctype>

namespace snipevalve {

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace snipevalve
