#ifndef SNIPEVALVE_DISPATCH_WORK_ORDER_HPP
#define SNIPEVALVE_DISPATCH_WORK_ORDER_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "snipevalve/dispatch/service_times.hpp"
#include "snipevalve/dispatch/work.hpp"

namespace snipevalve {

/// @brief A waiting request with its expected service time.
struct WorkEstimate
{
    const WorkItem *item = nullptr;
    Seconds work{0}; ///< on a server of normal speed
    Seconds needed{0}; ///< the work with a safety margin
    bool isLate = false; ///< it can't meet its target any more
};

/// @brief The position of a waiting request; lower is served first.
struct WorkRank
{
    bool isDeferred = false;
    int priority = 0;
    bool isLate = false;
    TimePoint by;
    Ticket ticket = 0;

    auto operator<=>(const WorkRank &) const = default;
};

/// @brief The work that is queued ahead of a request.
class WorkAhead
{
public:
    void add(const WorkEstimate &waiting)
    {
        Sums &sums = m_byPriority[waiting.item->priority];
        (waiting.isLate ? sums.late : sums.onTime) += waiting.work;
    }

    /// @brief The work of requests that can meet their target.
    /// @param fromPriority more urgent requests are left out
    Seconds onTime(int fromPriority) const
    {
        return sumFrom(fromPriority, &Sums::onTime);
    }

    /// @brief The work of requests that can't meet their target any more.
    Seconds late(int fromPriority) const
    {
        return sumFrom(fromPriority, &Sums::late);
    }

private:
    struct Sums
    {
        Seconds onTime{0};
        Seconds late{0};
    };

    Seconds sumFrom(int fromPriority, Seconds Sums::*part) const
    {
        Seconds sum(0);
        for (auto each = m_byPriority.lower_bound(fromPriority); each != m_byPriority.end(); ++each) {
            sum += each->second.*part;
        }
        return sum;
    }

    std::map<int, Sums> m_byPriority;
};

/// @brief The order in which the waiting requests of a queue are served.
///
/// Requests that meet their target go before late ones, then by priority and by time. With `defersLessUrgent`, a
/// request that meets its target even after all more urgent ones goes after those that are late.
class WorkOrder
{
public:
    /// @param capacity slots of the queue's servers, weighted by speed
    WorkOrder(bool defersLessUrgent, double capacity, TimePoint now)
        : m_defersLessUrgent(defersLessUrgent)
        , m_capacity(std::max(capacity, 1.0))
        , m_now(now)
    {
    }

    /// @brief Adds a waiting request to what less urgent ones are compared with. Only needed with `defersLessUrgent`.
    void add(const WorkEstimate &waiting)
    {
        m_work[waiting.item->priority] += waiting.work;
        if (waiting.isLate) {
            m_mostUrgentLate = std::min(m_mostUrgentLate.value_or(waiting.item->priority), waiting.item->priority);
        }
    }

    WorkRank rank(const WorkEstimate &waiting) const
    {
        const WorkItem &item = *waiting.item;
        const bool isDeferred = waiting.isLate || (m_defersLessUrgent && canBeDeferred(waiting));
        return {isDeferred, item.priority, waiting.isLate, waiting.isLate ? item.deadline : item.targetBy, item.ticket};
    }

private:
    bool canBeDeferred(const WorkEstimate &waiting) const
    {
        const WorkItem &item = *waiting.item;
        if (!m_mostUrgentLate || *m_mostUrgentLate >= item.priority) {
            return false;
        }
        Seconds ahead(0);
        for (auto each = m_work.begin(); each != m_work.end() && each->first < item.priority; ++each) {
            ahead += each->second;
        }
        const Seconds untilEnd = ahead / m_capacity + waiting.needed;
        return m_now + std::chrono::duration_cast<Duration>(untilEnd) <= item.targetBy;
    }

    bool m_defersLessUrgent;
    double m_capacity;
    TimePoint m_now;
    std::map<int, Seconds> m_work; ///< by priority
    std::optional<int> m_mostUrgentLate; ///< priority
};

} // namespace snipevalve

#endif // SNIPEVALVE_DISPATCH_WORK_ORDER_HPP
