#include "soak/schedule.hpp"

#include <algorithm>
#include <array>
#include <sstream>

namespace snipevalve::soak {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::LastKind) + 1> Names = {
    "kill node",
    "stop node",
    "freeze node",
    "reload node",
    "delay store",
    "reset store",
    "block to store",
    "block from store",
    "blackhole store",
    "store unavailable",
    "store slow",
    "store drops responses",
    "store loses history",
    "delay server",
    "reset server",
    "blackhole server",
    "crash server",
    "drain server",
    "late grants",
    "wrong server responses",
    "change config",
    "restore store",
    "slow node",
    "busy machine",
    "delay links",
    "reset links",
    "cut links to node",
    "cut links from node",
    "cut to server",
    "cut from server",
    "cut server from store",
    "freeze server"};

/// SplitMix64 (Steele, Lea, Flood, 2014), since the standard library's distributions differ between implementations.
class SplitMix64
{
public:
    explicit SplitMix64(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t below(std::uint64_t end)
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        std::uint64_t value = m_state;
        value = (value ^ (value >> 30)) * 0xBF58476D1CE4E5B9ULL;
        value = (value ^ (value >> 27)) * 0x94D049BB133111EBULL;
        return (value ^ (value >> 31)) % end;
    }

private:
    std::uint64_t m_state;
};

/// Each seed uses a subset of the kinds (swarm testing, Groce et al., 2012): with all of them at once no node would be
/// undisturbed for long enough for its bounds to apply.
std::vector<FaultKind> selectKinds(SplitMix64 &random, FaultKind first, FaultKind last)
{
    constexpr std::uint64_t OneIn = 3;
    std::vector<FaultKind> kinds;
    for (auto kind = static_cast<std::size_t>(first); kind <= static_cast<std::size_t>(last); ++kind) {
        if (random.below(OneIn) == 0) {
            kinds.push_back(static_cast<FaultKind>(kind));
        }
    }
    return kinds;
}

/// Adds the restores of a seed: one or two in one seed of three. They are drawn apart from the other faults, which are
/// those that the seed had before there were restores.
void addRestores(std::uint64_t seed, Milliseconds length, std::vector<Fault> &faults)
{
    constexpr std::uint64_t Stream = 3;
    constexpr std::uint64_t OneIn = 3;
    constexpr std::uint64_t MostRestores = 2;
    constexpr std::uint64_t LongestAwayMs = 4'000;
    constexpr std::uint64_t ShortestAwayMs = 50;
    constexpr std::uint64_t OldestMs = 10'000;
    constexpr std::uint64_t YoungestMs = 500;
    SplitMix64 random(seed ^ Stream);
    if (random.below(OneIn) != 0) {
        return;
    }
    const std::uint64_t count = 1 + random.below(MostRestores);
    for (std::uint64_t restore = 0; restore < count; ++restore) {
        Fault fault;
        fault.kind = FaultKind::RestoreStore;
        fault.at = Milliseconds(random.below(static_cast<std::uint64_t>(length.count())));
        fault.duration = Milliseconds(ShortestAwayMs + random.below(LongestAwayMs - ShortestAwayMs));
        fault.copyAge = Milliseconds(YoungestMs + random.below(OldestMs - YoungestMs));
        faults.push_back(fault);
    }
}

/// Adds one to four servers that restart under their ids before their entries are removed, each of them with another
/// fault that begins up to 600 ms earlier. They are drawn apart, like the restores.
void addQuickRestarts(std::uint64_t seed, Milliseconds length, std::vector<Fault> &faults)
{
    constexpr std::uint64_t Stream = 7;
    constexpr std::uint64_t MostRestarts = 4;
    constexpr std::uint64_t ShortestMs = 5;
    constexpr std::uint64_t LongestMs = 100;
    constexpr std::uint64_t Targets = 1'000;
    constexpr std::uint64_t LongestLeadMs = 600;
    constexpr std::uint64_t ShortestOtherMs = 200;
    constexpr std::uint64_t LongestOtherMs = 5'000;
    constexpr std::array<FaultKind, 7> Others = {
        FaultKind::CutServerFromStore, FaultKind::CutToServer, FaultKind::CutFromServer, FaultKind::FreezeServer,
        FaultKind::DrainServer,        FaultKind::StopNode,    FaultKind::FreezeNode};
    SplitMix64 random(seed ^ Stream);
    const std::uint64_t count = 1 + random.below(MostRestarts);
    for (std::uint64_t restart = 0; restart < count; ++restart) {
        Fault crash;
        crash.kind = FaultKind::CrashServer;
        crash.at = Milliseconds(random.below(static_cast<std::uint64_t>(length.count())));
        crash.duration = Milliseconds(ShortestMs + random.below(LongestMs - ShortestMs));
        crash.target = static_cast<unsigned>(random.below(Targets));
        Fault other = crash;
        other.kind = Others.at(random.below(Others.size()));
        other.at = std::max(Milliseconds(0), crash.at - Milliseconds(random.below(LongestLeadMs)));
        other.duration = Milliseconds(ShortestOtherMs + random.below(LongestOtherMs - ShortestOtherMs));
        faults.push_back(other);
        faults.push_back(crash);
    }
}

/// @param kinds what is drawn from
std::vector<Fault> drawFaults(SplitMix64 &random, const std::vector<FaultKind> &kinds, Milliseconds length,
                              Milliseconds longest = Milliseconds(5'000))
{
    constexpr std::uint64_t MeanGapMs = 1'200;
    const auto longestMs = static_cast<std::uint64_t>(longest.count());
    constexpr std::uint64_t ShortestMs = 200;
    constexpr std::uint64_t Targets = 1'000;
    std::vector<Fault> faults;
    Milliseconds at(0);
    while (true) {
        at += Milliseconds(random.below(2 * MeanGapMs));
        if (at >= length) {
            return faults;
        }
        Fault fault;
        fault.kind = kinds[random.below(kinds.size())];
        fault.at = at;
        fault.duration = Milliseconds(ShortestMs + random.below(longestMs - ShortestMs));
        fault.target = static_cast<unsigned>(random.below(Targets));
        faults.push_back(fault);
        // One fault in four is a series of overlapping faults on consecutive targets.
        constexpr std::uint64_t SeriesOneIn = 4;
        constexpr unsigned SeriesLength = 3;
        constexpr Milliseconds SeriesGap(400);
        if (random.below(SeriesOneIn) != 0) {
            continue;
        }
        for (unsigned part = 1; part < SeriesLength && at + part * SeriesGap < length; ++part) {
            Fault next = fault;
            next.at = at + part * SeriesGap;
            next.target = fault.target + part;
            faults.push_back(next);
        }
    }
}

} // namespace

std::string_view describe(FaultKind kind)
{
    return Names.at(static_cast<std::size_t>(kind));
}

bool isPlanned(FaultKind kind)
{
    return kind == FaultKind::StopNode || kind == FaultKind::ReloadNode || kind == FaultKind::ChangeConfig
        || kind == FaultKind::DrainServer;
}

std::vector<Fault> makeSchedule(std::uint64_t seed, Milliseconds length)
{
    SplitMix64 random(seed);
    std::vector<FaultKind> kinds = selectKinds(random, FaultKind::KillNode, FaultKind::ChangeConfig);
    kinds.insert(kinds.begin(), FaultKind::ChangeConfig); // in each seed
    std::vector<Fault> faults = drawFaults(random, kinds, length);
    addRestores(seed, length, faults);
    // Drawn apart from the other faults, which are those that the seed had before there were these kinds.
    constexpr std::uint64_t Stream = 5;
    SplitMix64 more(seed ^ Stream);
    kinds = selectKinds(more, FaultKind::SlowNode, FaultKind::LastKind);
    kinds.push_back(FaultKind::CutToServer);
    const std::vector<Fault> processFaults = drawFaults(more, kinds, length);
    faults.insert(faults.end(), processFaults.begin(), processFaults.end());
    addQuickRestarts(seed, length, faults);
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
        return left.at < right.at;
    });
    return faults;
}

std::vector<Fault> makeSchedule(std::uint64_t seed, Milliseconds length, const std::vector<FaultKind> &kinds,
                                Milliseconds longest)
{
    SplitMix64 random(seed);
    return drawFaults(random, kinds, length, longest);
}

std::optional<FaultKind> parseFaultKind(std::string_view description)
{
    const auto position = std::find(Names.begin(), Names.end(), description);
    return position == Names.end() ? std::nullopt
                                   : std::optional(static_cast<FaultKind>(std::distance(Names.begin(), position)));
}

std::string describe(const std::vector<Fault> &schedule)
{
    std::ostringstream text;
    for (const Fault &fault : schedule) {
        text << "  " << fault.at.count() << " ms: " << describe(fault.kind) << " " << fault.target << " for "
             << fault.duration.count() << " ms";
        if (fault.kind == FaultKind::RestoreStore) {
            text << " from a copy of " << fault.copyAge.count() << " ms before";
        }
        text << "\n";
    }
    return text.str();
}

} // namespace snipevalve::soak
