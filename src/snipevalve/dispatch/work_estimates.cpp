#include "snipevalve/dispatch/work_estimates.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace snipevalve {

namespace {

constexpr double MinSlowness = 0.1;
/// Weight of an answer in the mean slowness of all servers. A server that turns slow is found to be slow in ten
/// answers; for all servers together it takes a hundred until their new speed counts as normal.
constexpr double UsualSlownessWeight = 0.01;
/// Weight of a request in the mean of its class: one in fifty; one of 3 to 5 times the mean adds at most a tenth.
constexpr double MeanWeight = 0.02;
/// Weight of a request in the estimate of its key or size, which has far fewer requests. A change of the cost is mostly
/// followed after ten.
constexpr double CellWeight = 0.2;
/// Requests of a key or size before its estimate is used.
constexpr std::uint32_t MinCellCount = 3;
constexpr std::uint32_t MaxCellCount = 100;
constexpr double TestWeight = 0.02;
/// Predictions before a refinement may be used. Fewer could agree by chance.
constexpr unsigned MinTestCount = 50;
/// A refinement is used while its squared error is less than this share of the mean's, and given up above the second
/// one; the gap prevents that it alternates.
constexpr double UseBelow = 0.6;
constexpr double GiveUpAbove = 0.8;
/// Limits of a single error, in logarithms: a factor of 20.
constexpr double MaxLogError = 3.0;
/// How far one refusal brings an estimate towards the mean. After twenty, two thirds of the way are gone.
constexpr float RefusalWeight = 0.05F;
/// Classes whose means differ by less than this factor count as alike, as do the servers' usual speeds.
constexpr double AlikeFactor = 1.5;
constexpr std::uint64_t AlikeInterval = 16; ///< observations

/// The finaliser of MurmurHash3; spreads consecutive keys over the table.
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

double squaredLog(double ratio)
{
    const double error = std::clamp(std::log(std::max(ratio, 1e-6)), -MaxLogError, MaxLogError);
    return error * error;
}

/// Bodies of one group differ in size by less than the square root of two.
std::uint64_t sizeGroup(std::uint32_t bytes)
{
    if (bytes == 0) {
        return 0;
    }
    const auto octave = static_cast<unsigned>(std::bit_width(bytes)) - 1;
    const bool isUpperHalf = bytes >= std::sqrt(2.0) * std::exp2(octave);
    return 1 + 2 * octave + (isUpperHalf ? 1 : 0);
}

} // namespace

double WorkEstimates::Test::errorLeft() const
{
    constexpr double NoError = 1e-9;
    return refinedError / std::max(meanError, NoError);
}

/// @return what identifies the requests of the same class and the same key or size; empty without a key or a body
std::optional<std::uint64_t> WorkEstimates::groupOf(const WorkTraits &traits, Refinement refinement)
{
    if (refinement == Refinement::Key) {
        return traits.key ? std::optional(mix(traits.workClass ^ mix(1 + std::uint64_t(*traits.key)))) : std::nullopt;
    }
    constexpr std::uint64_t SizeSeed = 1ULL << 32; // apart from all keys
    return traits.bodyBytes > 0 ? std::optional(mix(traits.workClass ^ mix(SizeSeed + sizeGroup(traits.bodyBytes))))
                                : std::nullopt;
}

bool WorkEstimates::isUsable(const Cell *cell)
{
    return cell != nullptr && cell->count >= MinCellCount;
}

/// A cell with few requests counts less: as if one more had taken the mean.
double WorkEstimates::shareOfMean(const Cell &cell)
{
    const double count = cell.count;
    return std::clamp((count * cell.shareOfMean + 1.0) / (count + 1.0), MinShareOfMean, MaxShareOfMean);
}

const WorkEstimates::Cell *WorkEstimates::findCell(std::uint64_t group) const
{
    if (m_cells.empty()) {
        return nullptr;
    }
    const auto tag = static_cast<std::uint32_t>(group >> 32) | 1U;
    const auto first = m_cells.begin() + static_cast<std::ptrdiff_t>(group % SetCount * CellsPerSet);
    const auto found = std::find_if(first, first + CellsPerSet, [tag](const Cell &cell) {
        return cell.tag == tag;
    });
    return found == first + CellsPerSet ? nullptr : &*found;
}

/// @return the group's cell; null when each cell of its set belongs to a group with more requests. Those lose a request
/// then, so that frequent groups keep their cells and those that no longer occur lose theirs.
WorkEstimates::Cell *WorkEstimates::findOrTakeCell(std::uint64_t group)
{
    if (m_cells.empty()) {
        m_cells.resize(SetCount * CellsPerSet);
    }
    if (const Cell *known = findCell(group)) {
        return &m_cells[static_cast<std::size_t>(known - m_cells.data())];
    }
    const auto first = m_cells.begin() + static_cast<std::ptrdiff_t>(group % SetCount * CellsPerSet);
    const auto least = std::min_element(first, first + CellsPerSet, [](const Cell &left, const Cell &right) {
        return left.count < right.count;
    });
    if (least->count > 0) {
        --least->count;
        return nullptr;
    }
    *least = Cell{static_cast<std::uint32_t>(group >> 32) | 1U};
    return &*least;
}

Seconds WorkEstimates::mean(std::uint64_t workClass) const
{
    const auto position = m_classes.find(workClass);
    return position == m_classes.end() ? InitialMean : position->second.mean;
}

Seconds WorkEstimates::expected(const WorkTraits &traits) const
{
    const auto position = m_classes.find(traits.workClass);
    if (position == m_classes.end()) {
        return InitialMean;
    }
    const Class &known = position->second;
    double share = 1.0;
    double leastError = 1.0;
    for (std::size_t at = 0; at < Refinements.size(); ++at) {
        const Test &test = known.tests[at];
        const auto group = test.isUsed ? groupOf(traits, Refinements[at]) : std::nullopt;
        const Cell *cell = group ? findCell(*group) : nullptr;
        if (isUsable(cell) && test.errorLeft() < leastError) {
            leastError = test.errorLeft();
            share = shareOfMean(*cell);
        }
    }
    return known.mean * share;
}

/// Forgets the class that was not observed for the longest time when there are too many.
WorkEstimates::Class &WorkEstimates::classOf(std::uint64_t workClass, Seconds firstWork)
{
    if (m_classes.size() >= MaxClasses && !m_classes.contains(workClass)) {
        m_classes.erase(std::min_element(m_classes.begin(), m_classes.end(), [](const auto &left, const auto &right) {
            return left.second.lastObservation < right.second.lastObservation;
        }));
    }
    Class &result = m_classes.try_emplace(workClass, Class{firstWork, 0, {}}).first->second;
    result.lastObservation = ++m_observations;
    return result;
}

/// The mean and the test of a refinement use the steady slowness: while the differences between the requests are not
/// explained, the other one varies with them, and the mean of its inverse is far above the inverse of its mean. With
/// costs of 20 to 1, the mean of the class rose eightfold in 15 s. A refinement in use removes that variation.
double WorkEstimates::observe(const WorkTraits &traits, Duration took, const Slowness &slowness)
{
    m_usualSlowness += UsualSlownessWeight * (slowness.steadyFactor() - m_usualSlowness);
    const Seconds work = Seconds(took) / std::max(slowness.steadyFactor() / m_usualSlowness, MinSlowness);
    const Seconds workNow = Seconds(took) / std::max(slowness.factor() / m_usualSlowness, MinSlowness);
    Class &known = classOf(traits.workClass, work);
    const double factor = Seconds(took) / expected(traits);
    for (std::size_t at = 0; at < Refinements.size(); ++at) {
        const auto group = groupOf(traits, Refinements[at]);
        Cell *cell = group ? findOrTakeCell(*group) : nullptr;
        if (cell == nullptr) {
            continue;
        }
        Test &test = known.tests[at];
        const double share = (test.isUsed ? workNow : work) / known.mean;
        if (isUsable(cell)) {
            const double weight = std::max(TestWeight, 1.0 / ++test.count);
            test.meanError += weight * (squaredLog(share) - test.meanError);
            test.refinedError += weight * (squaredLog(share / shareOfMean(*cell)) - test.refinedError);
            test.isUsed = test.count >= MinTestCount && test.errorLeft() < (test.isUsed ? GiveUpAbove : UseBelow);
        }
        cell->count = std::min(cell->count + 1, MaxCellCount);
        const double weight = std::max(CellWeight, 1.0 / cell->count);
        cell->shareOfMean += static_cast<float>(weight * (share - cell->shareOfMean));
    }
    known.mean += MeanWeight * (work - known.mean);
    if (m_observations % AlikeInterval == 0) {
        updateAlike();
    }
    return factor;
}

bool WorkEstimates::takeTrial(std::uint64_t workClass, TimePoint now)
{
    constexpr Milliseconds TrialInterval(50);
    const auto position = m_classes.find(workClass);
    if (position == m_classes.end() || now - position->second.lastTrial < TrialInterval) {
        return false;
    }
    position->second.lastTrial = now;
    return true;
}

void WorkEstimates::onRejected(const WorkTraits &traits)
{
    for (const Refinement refinement : Refinements) {
        const auto group = groupOf(traits, refinement);
        const Cell *cell = group ? findCell(*group) : nullptr;
        if (cell != nullptr && cell->shareOfMean > 1.0F) {
            Cell &corrected = m_cells[static_cast<std::size_t>(cell - m_cells.data())];
            corrected.shareOfMean = std::min(corrected.shareOfMean, static_cast<float>(MaxShareOfMean));
            corrected.shareOfMean += RefusalWeight * (1.0F - corrected.shareOfMean);
        }
    }
}

void WorkEstimates::updateAlike()
{
    Seconds least = Seconds::max();
    Seconds most(0);
    bool isRefined = false;
    for (const auto &[workClass, known] : m_classes) {
        least = std::min(least, known.mean);
        most = std::max(most, known.mean);
        isRefined = isRefined || known.tests[0].isUsed || known.tests[1].isUsed;
    }
    m_areAlike = !isRefined && most <= least * AlikeFactor;
}

bool WorkEstimates::areAlike() const
{
    return m_areAlike;
}

std::vector<WorkEstimates::Summary> WorkEstimates::summaries() const
{
    std::vector<Summary> result;
    for (const auto &[workClass, known] : m_classes) {
        Summary summary{workClass, known.mean, Refinement::None, 1.0};
        for (std::size_t at = 0; at < Refinements.size(); ++at) {
            const Test &test = known.tests[at];
            if (test.isUsed && test.errorLeft() < summary.errorLeft) {
                summary.refinement = Refinements[at];
                summary.errorLeft = test.errorLeft();
            }
        }
        result.push_back(summary);
    }
    return result;
}

std::string_view describe(WorkEstimates::Refinement refinement)
{
    switch (refinement) {
    case WorkEstimates::Refinement::None:
        return "none";
    case WorkEstimates::Refinement::Key:
        return "key";
    case WorkEstimates::Refinement::BodySize:
        return "body_size";
    }
    return "";
}

} // namespace snipevalve
