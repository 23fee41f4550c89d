#include "soak/hold_checks.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <sstream>

namespace snipevalve::soak {

namespace {

using standins::GrantEvent;
using standins::ReleaseEvent;
using standins::RequestArrival;
using standins::WorkEndEvent;

/// Keys that one run of a server held without a break.
struct Hold
{
    const ServerRun *run = nullptr;
    KeyRange keys;
    TimePoint begin;
    TimePoint end;
    std::uint64_t fence = 0; ///< of the last grant
    std::string giver; ///< of the last grant
};

/// A request that a server began to run.
struct Work
{
    const ServerRun *run = nullptr;
    std::string id;
    std::uint16_t key = 0;
    TimePoint begin;
    TimePoint end;
};

KeyRange commonKeys(const KeyRange &left, const KeyRange &right)
{
    return {std::max(left.from, right.from), std::min(left.to, right.to)};
}

bool haveCommonKeys(const KeyRange &left, const KeyRange &right)
{
    return left.from <= right.to && right.from <= left.to;
}

class HoldChecker
{
public:
    HoldChecker(const std::vector<ServerRun> &runs, const std::vector<GrantExcuse> &excuses, const HoldBounds &bounds)
        : m_runs(runs)
        , m_excuses(excuses)
        , m_bounds(bounds)
    {
        for (const ServerRun &run : runs) {
            collectWork(run);
        }
        std::sort(m_work.begin(), m_work.end(), [](const Work &left, const Work &right) {
            return left.begin < right.begin;
        });
        for (const Work &work : m_work) {
            m_longestWork = std::max(m_longestWork, work.end - work.begin);
        }
        for (const bool countsTakenLate : {true, false}) {
            for (const ServerRun &run : runs) {
                collectHolds(run, countsTakenLate);
            }
        }
    }

    std::vector<Violation> check()
    {
        compareHolds(m_holds, false);
        compareHolds(m_holdsWithLateGrants, true);
        checkWork();
        checkFences();
        return std::move(m_violations);
    }

private:
    bool isExcused(const ServerRun &run, const GrantEvent &grant, bool countsTakenLate) const
    {
        return std::any_of(m_excuses.begin(), m_excuses.end(), [&](const GrantExcuse &excuse) {
            const bool isConcerned = (excuse.giver.empty() || excuse.giver == grant.giver)
                && (excuse.server.empty() || excuse.server == run.record.id) && !(excuse.takenLate && countsTakenLate);
            return isConcerned && grant.at >= excuse.at && grant.at <= excuse.at + m_bounds.thaw;
        });
    }

    void collectWork(const ServerRun &run)
    {
        std::multimap<std::string, std::size_t> open; // a request that is sent again may run twice at a time
        for (const auto &event : run.record.events) {
            if (const auto *arrival = std::get_if<RequestArrival>(&event); arrival != nullptr && arrival->ran) {
                open.emplace(arrival->requestId, m_work.size());
                m_work.push_back({&run, arrival->requestId, arrival->key, arrival->at, run.endedAt});
            } else if (const auto *end = std::get_if<WorkEndEvent>(&event)) {
                const auto work = open.lower_bound(end->requestId); // the first that has begun
                if (work != open.end() && work->first == end->requestId) {
                    m_work[work->second].end = std::min(end->at, run.endedAt);
                    open.erase(work);
                }
            }
        }
    }

    /// Cuts the holds that contain the first key of `keys` or the key after them, so that none lies partly within.
    static void splitAt(std::vector<Hold> &open, const KeyRange &keys)
    {
        std::vector<Hold> parts;
        for (Hold &hold : open) {
            if (!haveCommonKeys(hold.keys, keys)) {
                continue;
            }
            if (hold.keys.from < keys.from) {
                Hold left = hold;
                left.keys.to = static_cast<std::uint16_t>(keys.from - 1);
                parts.push_back(std::move(left));
                hold.keys.from = keys.from;
            }
            if (hold.keys.to > keys.to) {
                Hold right = hold;
                right.keys.from = static_cast<std::uint16_t>(keys.to + 1);
                parts.push_back(std::move(right));
                hold.keys.to = keys.to;
            }
        }
        open.insert(open.end(), parts.begin(), parts.end());
    }

    static bool isWithin(const Hold &hold, const KeyRange &keys)
    {
        return keys.from <= hold.keys.from && hold.keys.to <= keys.to;
    }

    /// Extends the holds that last, and adds one for each gap between them.
    static void grant(std::vector<Hold> &open, const ServerRun &run, const GrantEvent &event)
    {
        std::sort(open.begin(), open.end(), [](const Hold &left, const Hold &right) {
            return left.keys.from < right.keys.from;
        });
        std::vector<Hold> added;
        std::uint32_t next = event.keys.from;
        const auto fillGap = [&](std::uint32_t end) {
            if (next < end) {
                const KeyRange keys{static_cast<std::uint16_t>(next), static_cast<std::uint16_t>(end - 1)};
                added.push_back({&run, keys, event.appliedAt, event.until, event.fence, event.giver});
            }
        };
        for (Hold &hold : open) {
            if (isWithin(hold, event.keys)) {
                fillGap(hold.keys.from);
                next = hold.keys.to + 1U;
                hold.end = std::max(hold.end, event.until);
                hold.fence = event.fence;
                hold.giver = event.giver;
            }
        }
        fillGap(event.keys.to + 1U);
        open.insert(open.end(), added.begin(), added.end());
    }

    void collectHolds(const ServerRun &run, bool countsTakenLate)
    {
        std::vector<Hold> &holds = countsTakenLate ? m_holdsWithLateGrants : m_holds;
        std::vector<Hold> open;
        const auto closeIf = [&](const auto &isOver, TimePoint at) {
            for (Hold &hold : open) {
                if (isOver(hold)) {
                    hold.end = std::min({hold.end, at, run.endedAt});
                    holds.push_back(hold);
                }
            }
            std::erase_if(open, isOver);
        };
        for (const auto &event : run.record.events) {
            if (const auto *accepted = std::get_if<GrantEvent>(&event)) {
                if (isExcused(run, *accepted, countsTakenLate)) {
                    continue;
                }
                splitAt(open, accepted->keys);
                closeIf(
                    [&](const Hold &hold) {
                        return isWithin(hold, accepted->keys) && hold.end < accepted->appliedAt;
                    },
                    accepted->appliedAt);
                grant(open, run, *accepted);
            } else if (const auto *release = std::get_if<ReleaseEvent>(&event)) {
                splitAt(open, release->keys);
                closeIf(
                    [&](const Hold &hold) {
                        return isWithin(hold, release->keys);
                    },
                    release->at);
            }
        }
        closeIf(
            [](const Hold &) {
                return true;
            },
            run.endedAt);
    }

    /// @param needsRequests whether an overlap counts only when both servers begin requests in it
    void compareHolds(std::vector<Hold> &holds, bool needsRequests)
    {
        std::sort(holds.begin(), holds.end(), [](const Hold &left, const Hold &right) {
            return left.begin < right.begin;
        });
        std::vector<const Hold *> active;
        for (const Hold &hold : holds) {
            std::erase_if(active, [&](const Hold *other) {
                return other->end <= hold.begin;
            });
            for (const Hold *other : active) {
                const bool isOtherServer = other->run->record.id != hold.run->record.id
                    && other->run->record.service == hold.run->record.service;
                if (isOtherServer && haveCommonKeys(other->keys, hold.keys) && hold.begin < hold.end) {
                    compare(*other, hold, needsRequests);
                }
            }
            active.push_back(&hold);
        }
    }

    std::optional<Work> firstWork(const Hold &hold, const KeyRange &keys, TimePoint from, TimePoint to) const
    {
        for (const Work &work : m_work) {
            if (work.run == hold.run && keys.contains(work.key) && work.begin >= from && work.begin < to) {
                return work;
            }
        }
        return std::nullopt;
    }

    void compare(const Hold &first, const Hold &second, bool needsRequests)
    {
        const KeyRange keys = commonKeys(first.keys, second.keys);
        const TimePoint from = second.begin;
        const TimePoint to = std::min(first.end, second.end);
        const auto firstRun = firstWork(first, keys, from, to);
        const auto secondRun = firstWork(second, keys, from, to);
        const bool haveRun = firstRun && secondRun;
        if (!(needsRequests ? haveRun : to - from > m_bounds.overlap)) {
            return;
        }
        std::ostringstream text;
        text << describe(first) << " and " << describe(second) << ", common keys " << keys.from << "-" << keys.to
             << " for " << milliseconds(to - from) << " ms";
        if (haveRun) {
            text << ", requests " << firstRun->id << " and " << secondRun->id << " began";
        }
        m_violations.push_back({haveRun ? "one owner runs requests" : "one holder", second.run->record.id, text.str()});
    }

    /// Keys are not granted while another server works on them within its granted time.
    void checkWork()
    {
        for (const ServerRun &run : m_runs) {
            for (const auto &event : run.record.events) {
                const auto *grant = std::get_if<GrantEvent>(&event);
                if (grant == nullptr || isExcused(run, *grant, false)) {
                    continue;
                }
                const auto first = std::lower_bound(m_work.begin(), m_work.end(), grant->appliedAt - m_longestWork,
                                                    [](const Work &work, TimePoint at) {
                                                        return work.begin < at;
                                                    });
                for (auto work = first; work != m_work.end() && work->begin < grant->appliedAt; ++work) {
                    const bool isOther = work->run->record.id != run.record.id
                        && work->run->record.service == run.record.service && grant->keys.contains(work->key);
                    if (isOther && grant->appliedAt < work->end
                        && grant->appliedAt < grantedUntil(*work->run, work->key, grant->appliedAt)) {
                        m_violations.push_back({"no grant while another server works on the key", work->id,
                                                run.record.id + " got keys " + std::to_string(grant->keys.from) + "-"
                                                    + std::to_string(grant->keys.to) + " at " + moment(grant->appliedAt)
                                                    + " with fence " + std::to_string(grant->fence) + ", "
                                                    + work->run->record.id + " worked until " + moment(work->end)});
                    }
                }
            }
        }
    }

    static TimePoint grantedUntil(const ServerRun &run, std::uint16_t key, TimePoint at)
    {
        TimePoint until;
        for (const auto &event : run.record.events) {
            const auto *grant = std::get_if<GrantEvent>(&event);
            if (grant != nullptr && grant->appliedAt <= at && grant->keys.contains(key)) {
                until = std::max(until, grant->until);
            }
        }
        return until;
    }

    void checkFences()
    {
        struct Highest
        {
            const ServerRun *run = nullptr;
            std::uint64_t fence = 0;
        };
        struct Grant
        {
            const ServerRun *run = nullptr;
            const GrantEvent *event = nullptr;
        };
        std::vector<Grant> grants;
        for (const ServerRun &run : m_runs) {
            for (const auto &event : run.record.events) {
                if (const auto *grant = std::get_if<GrantEvent>(&event)) {
                    grants.push_back({&run, grant});
                }
            }
        }
        std::stable_sort(grants.begin(), grants.end(), [](const Grant &left, const Grant &right) {
            return left.event->appliedAt < right.event->appliedAt;
        });
        std::map<std::string, std::vector<Highest>> byService;
        for (const Grant &grant : grants) {
            std::vector<Highest> &highest = byService[grant.run->record.service];
            highest.resize(KeyCount);
            bool isLow = false;
            for (std::uint32_t key = grant.event->keys.from; key <= grant.event->keys.to; ++key) {
                Highest &last = highest[key];
                const bool isOther = last.run != nullptr && last.run->record.id != grant.run->record.id;
                isLow = isLow || (isOther && grant.event->fence <= last.fence);
                if (grant.event->fence >= last.fence) {
                    last = {grant.run, grant.event->fence};
                }
            }
            if (isLow && !isExcused(*grant.run, *grant.event, true)) {
                m_violations.push_back({"fences rise from owner to owner", grant.run->record.id,
                                        "took keys " + std::to_string(grant.event->keys.from) + "-"
                                            + std::to_string(grant.event->keys.to) + " at "
                                            + moment(grant.event->appliedAt) + " with fence "
                                            + std::to_string(grant.event->fence) + " from " + grant.event->giver});
            }
        }
    }

    static std::int64_t milliseconds(Duration time)
    {
        return std::chrono::duration_cast<Milliseconds>(time).count();
    }

    /// Milliseconds of the machine's monotonic clock, as in the record files (there in nanoseconds).
    static std::string moment(TimePoint time)
    {
        return std::to_string(milliseconds(time.time_since_epoch()));
    }

    static std::string describe(const Hold &hold)
    {
        return hold.run->record.id + " holds " + std::to_string(hold.keys.from) + "-" + std::to_string(hold.keys.to)
            + " from " + moment(hold.begin) + " to " + moment(hold.end) + " (fence " + std::to_string(hold.fence)
            + " from " + hold.giver + ")";
    }

    const std::vector<ServerRun> &m_runs;
    const std::vector<GrantExcuse> &m_excuses;
    HoldBounds m_bounds;
    std::vector<Work> m_work; ///< by begin
    Duration m_longestWork{};
    std::vector<Hold> m_holds;
    std::vector<Hold> m_holdsWithLateGrants;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> findHoldViolations(const std::vector<ServerRun> &runs, const std::vector<GrantExcuse> &excuses,
                                          const HoldBounds &bounds)
{
    return HoldChecker(runs, excuses, bounds).check();
}

} // namespace snipevalve::soak
