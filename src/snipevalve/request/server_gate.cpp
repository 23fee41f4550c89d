#include "snipevalve/request/server_gate.hpp"

#include <algorithm>

namespace snipevalve {

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options)
    : m_options(options)
{
}

Admission ConcurrencyLimiter::arrive(std::uint64_t ticket, TimePoint deadline, TimePoint now)
{
    if (m_inside < m_options.limit && m_queue.empty()) {
        ++m_inside;
        return Admission::Enter;
    }
    const bool isTooLate = now + expectedWait() >= deadline;
    if (m_queue.size() >= m_options.queueLength || isTooLate) {
        return Admission::Refuse;
    }
    m_queue.emplace(deadline, ticket);
    return Admission::Wait;
}

std::optional<std::uint64_t> ConcurrencyLimiter::leave(Duration took, TimePoint now)
{
    constexpr int OldWeight = 7;
    constexpr int Weights = 8;
    m_smoothedTime = m_smoothedTime == Duration::zero() ? took : (m_smoothedTime * OldWeight + took) / Weights;
    m_inside -= std::min<std::uint32_t>(m_inside, 1);
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        m_queue.erase(m_queue.begin());
    }
    if (m_queue.empty() || m_inside >= m_options.limit) {
        return std::nullopt;
    }
    const std::uint64_t ticket = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    ++m_inside;
    return ticket;
}

void ConcurrencyLimiter::giveUp(std::uint64_t ticket)
{
    const auto isTicket = [ticket](const auto &entry) {
        return entry.second == ticket;
    };
    const auto position = std::find_if(m_queue.begin(), m_queue.end(), isTicket);
    if (position != m_queue.end()) {
        m_queue.erase(position);
    }
}

void ConcurrencyLimiter::setLimit(std::uint32_t limit)
{
    m_options.limit = limit;
}

std::uint32_t ConcurrencyLimiter::inside() const
{
    return m_inside;
}

std::size_t ConcurrencyLimiter::waiting() const
{
    return m_queue.size();
}

Duration ConcurrencyLimiter::expectedWait() const
{
    const auto ahead = static_cast<Duration::rep>(m_queue.size() + 1);
    return m_smoothedTime * ahead / std::max<std::uint32_t>(1, m_options.limit);
}

} // namespace snipevalve
