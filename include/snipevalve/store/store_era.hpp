#ifndef SNIPEVALVE_STORE_STORE_ERA_HPP
#define SNIPEVALVE_STORE_STORE_ERA_HPP

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

namespace snipevalve {

/// @brief Tracks the era of the platform's store and which answers may be used. No I/O, threads or clock.
///
/// The era rises each time the store is restored from a copy; revisions of different eras can't be compared.
class StoreEra
{
public:
    /// Larger eras count as invalid: JSON numbers are exact only up to here.
    static constexpr std::uint64_t MaxEra = std::uint64_t{1} << 53;

    /// @return the era that the text names; nothing unless it is a whole number up to `MaxEra`
    static std::optional<std::uint64_t> parse(std::string_view text)
    {
        std::uint64_t era = 0;
        const char *end = text.data() + text.size();
        const auto [position, error] = std::from_chars(text.data(), end, era);
        const bool isValid = error == std::errc() && position == end && era <= MaxEra;
        return isValid ? std::optional(era) : std::nullopt;
    }

    /// @brief The highest era seen; 0 before the first one.
    std::uint64_t known() const
    {
        return m_known.value_or(0);
    }

    /// @brief Notes an era. @return the previous one if the era has risen; the first known era is no rise
    std::optional<std::uint64_t> observe(std::uint64_t era)
    {
        if (!m_known) {
            m_first = era;
            m_known = era;
            return std::nullopt;
        }
        const std::uint64_t previous = *m_known;
        m_known = std::max(previous, era);
        return era > previous ? std::optional(previous) : std::nullopt;
    }

    /// @brief Checks whether the content of an answer may be used.
    /// @param begun the known era when the call began
    /// @param answered the era of the answer, already observed
    /// @return Unavailable for an answer of an older era; Aborted if the store was restored during the call
    absl::Status check(std::uint64_t begun, std::uint64_t answered) const
    {
        if (answered < known()) {
            return absl::UnavailableError("the answer is from an older era of the store");
        }
        const std::uint64_t begunIn = begun == 0 ? m_first : begun;
        if (begunIn < answered) {
            return absl::AbortedError("the store was restored from a copy while the call was under way");
        }
        return absl::OkStatus();
    }

private:
    std::optional<std::uint64_t> m_known;
    std::uint64_t m_first = 0; ///< calls that began before any era was known count as of this one
};

} // namespace snipevalve

#endif // SNIPEVALVE_STORE_STORE_ERA_HPP
