#ifndef SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

/// @brief Exponential moving average of the load of each key, in busy slots.
///
/// Detects the load pattern "hot keys": up to half of a class's requests on 60 to 200 adjacent keys for 4 to 5 s.
class KeyLoads
{
public:
    /// @param timeConstant time constant of the average
    explicit KeyLoads(Milliseconds timeConstant)
        : m_timeConstant(timeConstant)
        , m_work(KeyCount, 0.0F)
    {
    }

    /// @brief Adds the work of one request to the load of its key.
    void add(std::uint16_t key, Seconds work)
    {
        m_work[key] += static_cast<float>(work.count() / m_timeConstant.count());
    }

    /// @brief Ages the average by the time that has passed.
    void decay(Duration elapsed)
    {
        const auto factor = static_cast<float>(std::exp(-Seconds(elapsed).count() / m_timeConstant.count()));
        for (float &work : m_work) {
            work *= factor;
        }
        m_unknownShare *= factor;
    }

    /// @brief The load of each key in busy slots. The time before the start counts as unknown, not as idle.
    std::vector<float> byKey() const
    {
        constexpr float MinKnownShare = 0.2F; ///< an average over a smaller share would be mostly noise
        const float knownShare = std::max(MinKnownShare, 1.0F - m_unknownShare);
        std::vector<float> loads = m_work;
        for (float &load : loads) {
            load /= knownShare;
        }
        return loads;
    }

private:
    Seconds m_timeConstant;
    std::vector<float> m_work;
    float m_unknownShare = 1.0F; ///< share of the average's weight that lies before the start
};

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
