#ifndef SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
#define SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP

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
    }

    /// @brief By key: slots that its requests keep busy.
    const std::vector<float> &byKey() const
    {
        return m_work;
    }

private:
    Seconds m_timeConstant;
    std::vector<float> m_work;
};

} // namespace snipevalve

#endif // SNIPEVALVE_OWNERSHIP_KEY_LOADS_HPP
