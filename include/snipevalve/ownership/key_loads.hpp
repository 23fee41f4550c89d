#ifndef SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "snipevalve/dispatch/key_owners.hpp"
#include "snipevalve/dispatch/service_times.hpp"

namespace snipevalve {

/// @brief The work that each key asks for, as busy slots, averaged over the last second or so.
///
/// Answers the load pattern "hot key": up to half of a class's requests on 60 to 200 neighbouring keys for 4 to 5 s.
class KeyLoads
{
public:
    /// @param timeConstant of the exponential average
    explicit KeyLoads(Milliseconds timeConstant)
        : m_timeConstant(timeConstant)
        , m_work(KeyCount, 0.0F)
    {
    }

    void add(std::uint16_t key, Seconds work)
    {
        m_work[key] += static_cast<float>(work.count() / m_timeConstant.count());
    }

    void decay(Duration elapsed)
    {
        const auto factor = static_cast<float>(std::exp(-Seconds(elapsed).count() / m_timeConstant.count()));
        for (float &work : m_work) {
            work *= factor;
        }
        m_unknownShare *= factor;
    }

    /// @brief By key: slots that its requests keep busy. Corrected for the time before the first request, which counts
    /// as unknown and not as idle.
    std::vector<float> byKey() const
    {
        constexpr float MinKnownShare = 0.2F; ///< an average over less would be mostly chance
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
    float m_unknownShare = 1.0F; ///< the part of the average that lies before the start
};

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
