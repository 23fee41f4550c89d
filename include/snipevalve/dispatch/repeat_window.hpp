#ifndef SNIPEVALVE_DISPATCH_REPEAT_WINDOW_HPP
#define SNIPEVALVE_DISPATCH_REPEAT_WINDOW_HPP

#include <array>
#include <cstdint>

#include "snipevalve/core/time.hpp"

namespace snipevalve {

struct RepeatLimits
{
    double ratio = 0.2; ///< repeats allowed per request
    double slack = 0; ///< repeats allowed in addition
    Milliseconds window{10'000}; ///< the limit holds in every window of this length
};

/// @brief Limits repeated sends to a share of the requests in every sliding window.
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

    /// @return false when the window allows no further repeat
    bool take(TimePoint now)
    {
        Bucket &bucket = current(now);
        double requests = 0;
        double repeats = 1;
        for (const Bucket &each : m_buckets) {
            // The ring is one bucket longer than the window. To stay below the limit, the repeats of the oldest bucket
            // count but its requests do not.
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

    /// A window that starts inside a bucket may have a tenth fewer requests than the ring.
    static constexpr double RatioShare = 0.9;

    /// One bucket more than a window, so that the ring covers every sliding window completely.
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
