#ifndef SNIPEVALVE_DISPATCH_WORK_ESTIMATES_HPP
#define SNIPEVALVE_DISPATCH_WORK_ESTIMATES_HPP

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/dispatch/work.hpp"

namespace snipevalve {

/// @brief The expected work of a request: its service time on a server of normal speed. No I/O, threads or clock.
///
/// The mean of a class of requests (a route) is refined by what explains the differences within it: the key or the size
/// of the body. A refinement is used only while it has predicted clearly better than the mean, request by request,
/// before their times were known; differences that are mere noise never pass that test. A single key or size counts
/// from its third request on. Otherwise the mean is used.
///
/// An estimate that is too high could refuse all requests of its key, and with them all that would correct it. So it
/// deviates from the mean at most by fixed factors, and each refusal brings it nearer to the mean.
class WorkEstimates
{
public:
    static constexpr double MinShareOfMean = 0.2;
    static constexpr double MaxShareOfMean = 5.0;

    /// What refines the estimates of a class.
    enum class Refinement {
        None,
        Key,
        BodySize,
    };

    /// What is known of a class, for logs.
    struct Summary
    {
        std::uint64_t workClass = 0;
        Seconds mean{0};
        Refinement refinement = Refinement::None;
        double errorLeft = 1.0; ///< squared error of the refined estimates, as a share of that of the mean

        bool operator==(const Summary &) const = default;
    };

    Seconds expected(const WorkTraits &traits) const;

    /// @brief The mean of the class, without refinement.
    Seconds mean(std::uint64_t workClass) const;

    bool knows(std::uint64_t workClass) const
    {
        return m_classes.contains(workClass);
    }

    /// @param took service time
    /// @param slowness of the server
    /// @return the service time of this request divided by the one that was expected on a server of normal speed
    double observe(const WorkTraits &traits, Duration took, const Slowness &slowness);

    /// @brief Whether a request may be sent only to learn how long its class takes now. A mean above every deadline
    /// admits no request, and would never change again after the cause has ended.
    bool takeTrial(std::uint64_t workClass, TimePoint now);

    /// @brief Notes that a request was refused because of its expected time.
    void onRejected(const WorkTraits &traits);

    /// @brief Whether all requests are expected to take about the same time.
    bool areAlike() const;

    std::vector<Summary> summaries() const;

private:
    static constexpr Seconds InitialMean{0.1}; ///< before the first answer; users' request classes take 36 to 500 ms
    static constexpr std::size_t MaxClasses = 256;
    static constexpr std::size_t SetCount = 1'024;
    static constexpr std::size_t CellsPerSet = 4;
    static constexpr std::array<Refinement, 2> Refinements{Refinement::Key, Refinement::BodySize};

    /// How well one refinement predicts.
    struct Test
    {
        double meanError = 0; ///< mean squared error of the class's mean, in logarithms
        double refinedError = 0; ///< the same of the refined estimates, on the same requests
        unsigned count = 0;
        bool isUsed = false;

        double errorLeft() const;
    };

    struct Class
    {
        Seconds mean{0};
        std::uint64_t lastObservation = 0;
        std::array<Test, Refinements.size()> tests;
        TimePoint lastTrial;
    };

    /// The requests of one class with one key or about one body size.
    struct Cell
    {
        std::uint32_t tag = 0; ///< tells the cells of a set apart; 0: free
        float shareOfMean = 1.0F; ///< moving average of the work divided by the class's mean
        std::uint32_t count = 0; ///< number of requests; lowered when other cells want the place
    };

    static std::optional<std::uint64_t> groupOf(const WorkTraits &traits, Refinement refinement);
    static bool isUsable(const Cell *cell);
    static double shareOfMean(const Cell &cell);
    const Cell *findCell(std::uint64_t group) const;
    Cell *findOrTakeCell(std::uint64_t group);
    Class &classOf(std::uint64_t workClass, Seconds firstWork);
    void updateAlike();

    std::map<std::uint64_t, Class> m_classes;
    std::vector<Cell> m_cells; ///< 48 KB; empty until a request has a key or a body
    /// Mean slowness of the servers by their answers. Normal speed is the one of this mean. Without a fixed point, the
    /// means and the slownesses would drift apart: both are averages of the other's quotient. At 260 requests a second
    /// whose times vary by 30 %, the means doubled in a minute.
    double m_usualSlowness = 1.0;
    std::uint64_t m_observations = 0;
    bool m_areAlike = true;
};

/// @brief A short text for logs.
std::string_view describe(WorkEstimates::Refinement refinement);

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_WORK_ESTIMATES_HPP
