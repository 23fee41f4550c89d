#include "snipevalve/request/concurrency_limiter.hpp"

#include <algorithm>

namespace snipevalve {

ConcurrencyLimiter::ConcurrencyLimiter(ConcurrencyLimiterOptions options)
    : m_options(options)
{
}

Admission ConcurrencyLimiter::admit(std::uint64_t ticket, TimePoint deadline, TimePoint now)
{
    if (m_admitted < m_options.limit && m_queue.empty()) {
        ++m_admitted;
        return Admission::Enter;
    }
    const bool isTooLate = now + expectedWait() >= deadline;
    if (m_queue.size() >= m_options.queueLength || isTooLate) {
        return Admission::Refuse;
    }
    m_queue.emplace(deadline, ticket);
    return Admission::Wait;
}

std::optional<std::uint64_t> ConcurrencyLimiter::release(Duration took, TimePoint now)
{
    constexpr int PreviousWeight = 7;
    constexpr int TotalWeight = 8;
    m_smoothedTime = m_smoothedTime == Duration::zero() ? took : (m_smoothedTime * PreviousWeight + took) / TotalWeight;
    m_admitted -= std::min<std::uint32_t>(m_admitted, 1);
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        m_queue.erase(m_queue.begin());
    }
    if (m_queue.empty() || m_admitted >= m_options.limit) {
        return std::nullopt;
    }
    const std::uint64_t ticket = m_queue.begin()->second;
    m_queue.erase(m_queue.begin());
    ++m_admitted;
    return ticket;
}

void ConcurrencyLimiter::cancel(std::uint64_t ticket)
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

std::uint32_t ConcurrencyLimiter::admitted() const
{
    return m_admitted;
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
