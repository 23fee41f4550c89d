#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr unsigned char FirstVisible = 0x20;
constexpr unsigned char Delete = 0x7f;
constexpr std::size_t LongestText = 2'000; ///< bytes of one value in a log line
constexpr std::size_t LongestValue = 200; ///< bytes of an id or name

void appendHex(std::string &out, std::string_view prefix, unsigned char byte)
{
    out += prefix;
    out += HexDigits[byte >> 4U];
    out += HexDigits[byte & 0xfU];
}

bool isControl(unsigned char byte)
{
    return byte < FirstVisible || byte == Delete;
}

void appendWithoutControl(std::string &out, char character)
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
        appendWithoutControl(out, character);
    }
    return out;
}

std::string escapeQuotedText(std::string_view text)
{
    std::string out;
    for (const char character : text.substr(0, LongestText)) {
        if (character == '"' || character == '\\') {
            out += '\\';
        }
        appendWithoutControl(out, character);
    }
    return out;
}

std::string escapeLogValue(std::string_view value)
{
    std::string out;
    for (const char character : value.substr(0, LongestValue)) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isPlain =
            byte > FirstVisible && byte < Delete && character != '"' && character != '\\' && character != '%';
        if (isPlain) {
            out += character;
        } else {
            appendHex(out, "%", byte);
        }
    }
    return out;
}

} // namespace snipevalve
