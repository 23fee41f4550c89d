#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr unsigned char Space = 0x20;
constexpr unsigned char Delete = 0x7f;
constexpr std::size_t MaxTextBytes = 2'000; ///< limit of a quoted text in a log line
constexpr std::size_t MaxValueBytes = 200; ///< limit of an unquoted value, such as an id or a name

void appendHex(std::string &out, std::string_view prefix, unsigned char byte)
{
    out += prefix;
    out += HexDigits[byte >> 4U];
    out += HexDigits[byte & 0xfU];
}

bool isControl(unsigned char byte)
{
    return byte < Space || byte == Delete;
}

void appendEscapingControl(std::string &out, char character)
{
    const auto byte = static_cast<unsigned char>(character);
    if (character == '\n') {
        out += "\\n";
    } else if (isControl(byte)) {
        appendHex(out, "\\x", byte);
    } else {
        out += character;
    }
}

} // namespace

std::string escapeControls(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    for (const char character : text) {
        appendEscapingControl(out, character);
    }
    return out;
}

std::string escapeQuotedText(std::string_view text)
{
    std::string out;
    for (const char character : text.substr(0, MaxTextBytes)) {
        if (character == '"' || character == '\\') {
            out += '\\';
        }
        appendEscapingControl(out, character);
    }
    return out;
}

std::string escapeLogValue(std::string_view value)
{
    std::string out;
    for (const char character : value.substr(0, MaxValueBytes)) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isSafe = byte > Space && byte < Delete && character != '"' && character != '\\' && character != '%';
        if (isSafe) {
            out += character;
        } else {
            appendHex(out, "%", byte);
        }
    }
    return out;
}

} // namespace snipevalve
