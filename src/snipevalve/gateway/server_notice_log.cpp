#include "snipevalve/gateway/server_notice_log.hpp"

#include <cstdio>

#include "snipevalve/core/log_text.hpp"

namespace snipevalve {

namespace {

/// In UTC, e.g. 2026-12-05T00:04:22.123Z.
std::string toText(WallTime time)
{
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    constexpr std::size_t Length = 48;
    char text[Length];
    std::snprintf(text, Length, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
    return text;
}

} // namespace

WallTime wallTimeOf(TimePoint time)
{
    const auto now = std::chrono::system_clock::now();
    return std::chrono::floor<Milliseconds>(now) - std::chrono::duration_cast<Milliseconds>(Clock::now() - time);
}

std::string leavingLogText(const LeavingServer &leaving, WallTime since, std::string_view host)
{
    return "servers: event=leaving server=" + escapeLogValue(leaving.server.id) + " leaving since=" + toText(since)
        + " told_by=" + std::string(describe(leaving.source)) + " service=" + escapeLogValue(leaving.service)
        + " incarnation=" + std::to_string(leaving.server.incarnation) + " host=" + escapeLogValue(host);
}

std::string pauseLogText(std::string_view service, std::string_view server, WallTime until, Milliseconds asked)
{
    return "servers: event=paused server=" + escapeLogValue(server) + " paused until=" + toText(until)
        + " asked=" + std::to_string(asked.count()) + "ms service=" + escapeLogValue(service);
}

std::string invalidHeaderLogText(std::string_view server, const InvalidHeader &header)
{
    return "servers: event=invalid_header server=" + escapeLogValue(server) + " header=" + header.name
        + " value=" + escapeLogValue(header.value) + " limit=" + header.limit + " reason=\""
        + escapeQuotedText(header.reason) + "\"";
}

} // namespace snipevalve
