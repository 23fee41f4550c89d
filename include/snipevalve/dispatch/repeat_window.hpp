#ifndef SNIPEVALVE_DISPATCH_REPEAT_WINDOW_HPP
#define SNIPEVALVE_DISPATCH_REPEAT_WINDOW_HPP

#include <array>
#include <cstdint>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

struct RepeatLimits
{
    double ratio = 0.2; ///< repeats allowed for each request
    double slack = 0; ///< repeats allowed besides
    Milliseconds window{10'000}; ///< any span of this length counts
};

/// @brief Bounds repeated sends to a share of the requests in every sliding window.
class RepeatWindow
{
public:
    explicit RepeatWindow(RepeatLimits limits)
        : m_limits(limits)
    {
    }

    void onRequest(TimePoint now)
    {
        ++current(now).requests;
    }

    /// @return false when the window has no repeat left
    bool take(TimePoint now)
    {
        Bucket &bucket = current(now);
        double requests = 0;
        double repeats = 1;
        for (const Bucket &each : m_buckets) {
            // The ring is longer than a window: its oldest bucket's repeats may count, its requests may not.
            const bool isOldest = each.number <= bucket.number - (Buckets - 1);
            requests += isOldest ? 0 : each.requests;
            repeats += each.repeats;
        }
        if (repeats > m_limits.ratio * RatioShare * requests + m_limits.slack) {
            return false;
        }
        ++bucket.repeats;
        return true;
    }

private:
    struct Bucket
    {
        std::int64_t number = -1;
        double requests = 0;
        double repeats = 0;
    };

    /// Windows that begin between two buckets may have a tenth less requests than the ring.
    static constexpr double RatioShare = 0.9;

    /// The ring holds one bucket more than a window, so that it covers every sliding window whole.
    static constexpr std::int64_t Buckets = 11;

    Bucket &current(TimePoint now)
    {
        const std::int64_t number = now.time_since_epoch() / (Duration(m_limits.window) / (Buckets - 1));
        for (Bucket &bucket : m_buckets) {
            if (bucket.number <= number - Buckets) {
                bucket = {};
            }
        }
        Bucket &bucket = m_buckets[static_cast<std::size_t>(number % Buckets)];
        if (bucket.number != number) {
            bucket = {number, 0, 0};
        }
        return bucket;
    }

    RepeatLimits m_limits;
    std::array<Bucket, Buckets> m_buckets;
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_REPEAT_WINDOW_HPP
