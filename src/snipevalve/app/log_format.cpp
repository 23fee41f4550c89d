#include "log_format.hpp"

#include <spdlog/pattern_formatter.h>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve::detail {

namespace {

/// Formats the message of a log line with its control characters escaped.
class EscapedMessageFormatter : public spdlog::custom_flag_formatter
{
public:
    void format(const spdlog::details::log_msg &message, const std::tm &, spdlog::memory_buf_t &out) override
    {
        const std::string text = escapeControls({message.payload.data(), message.payload.size()});
        out.append(text.data(), text.data() + text.size());
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return spdlog::details::make_unique<EscapedMessageFormatter>();
    }
};

} // namespace

std::unique_ptr<spdlog::formatter> makeLogFormatter()
{
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<EscapedMessageFormatter>('*').set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %*");
    return formatter;
}

} // namespace snipevalve::detail
