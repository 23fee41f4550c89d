#ifndef SNIPEVALVE_NODE_CONTROL_LEASE_HOLDER_HPP
#define SNIPEVALVE_NODE_CONTROL_LEASE_HOLDER_HPP

#include <algorithm>

#include <spdlog/spdlog.h>

#include "snipevalve/core/suspension.hpp"
#include "snipevalve/net/log_failure.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief Timing of a host's lease in the store. A host may lead services only while it holds the lease.
struct LeaseTimes
{
    Milliseconds duration{2'000}; ///< bounds how long the services of a failed leader have none
    Milliseconds renewInterval{500}; ///< allows three attempts within `duration`
    Milliseconds safetyMargin{250}; ///< this host treats the lease as expired this much before the store does
    Milliseconds overdueAfter{400}; ///< a renewal that takes longer counts as a store outage
};

/// @brief Keeps one lease in the store alive and tracks until when it is certainly held.
template <ConfigStore Store>
class LeaseHolder
{
public:
    LeaseHolder(Store &store, LeaseTimes times)
        : m_store(store)
        , m_times(times)
    {
    }

    /// @brief Creates a lease unless one is held already. @return the ID of the lease; 0 when the store granted none
    Awaitable<std::uint64_t> open()
    {
        if (m_lease != 0 && isHeld(Clock::now())) {
            co_return m_lease;
        }
        const TimePoint sentAt = Clock::now();
        const Duration suspended = suspendedTime();
        const auto lease = co_await m_store.createLease(m_times.duration);
        if (!lease.ok()) {
            spdlog::warn("lead: event=no_lease reason=\"{}\"", std::string(lease.status().message()));
            co_return 0;
        }
        m_lease = *lease;
        extend(sentAt, suspended);
        co_return m_lease;
    }

    /// @brief Renews the lease periodically while there is one; never returns.
    Awaitable<void> run()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            ErrorCode ignored;
            timer.expires_after(m_times.renewInterval);
            co_await timer.async_wait(awaitInto(ignored));
            if (m_lease != 0) {
                // Runs concurrently: an unanswered renewal must not delay the next one.
                asio::co_spawn(timer.get_executor(), renew(), LogFailure("lead"));
            }
        }
    }

    /// @brief Whether the lease certainly still excludes other hosts from what it protects.
    bool isHeld(TimePoint now) const
    {
        return m_lease != 0 && now < heldUntil();
    }

    /// @brief The time at which this host treats the lease as expired.
    ///
    /// Time that the machine spent suspended is subtracted. Without a lease it is the clock's epoch.
    TimePoint heldUntil() const
    {
        return m_lease == 0 ? TimePoint() : m_until - (suspendedTime() - m_suspended);
    }

    /// @brief False while a renewal is overdue.
    bool storeAnswers(TimePoint now) const
    {
        return now - m_answeredAt < m_times.renewInterval + m_times.overdueAfter;
    }

    const LeaseTimes &times() const
    {
        return m_times;
    }

    /// @brief When the store last answered a renewal.
    TimePoint answeredAt() const
    {
        return m_answeredAt;
    }

    /// @brief Stops renewing the lease, since it has expired or protects nothing any more.
    void drop()
    {
        m_lease = 0;
        m_until = {};
    }

private:
    void extend(TimePoint sentAt, Duration suspended)
    {
        m_until = std::max(m_until, sentAt + m_times.duration - m_times.safetyMargin);
        m_suspended = suspended;
        m_answeredAt = Clock::now();
    }

    Awaitable<void> renew()
    {
        const std::uint64_t lease = m_lease;
        const TimePoint sentAt = Clock::now();
        const Duration suspended = suspendedTime();
        const absl::Status status = co_await m_store.renewLease(lease);
        if (status.ok() && lease == m_lease) {
            extend(sentAt, suspended);
        } else if (absl::IsNotFound(status)) {
            spdlog::warn("lead: event=lease_ended lease={}", lease);
            if (lease == m_lease) {
                drop();
            }
        }
        // storeAnswers() reflects any other failure; the watchers of the store log the outage.
    }

    Store &m_store;
    LeaseTimes m_times;
    std::uint64_t m_lease = 0;
    TimePoint m_until;
    Duration m_suspended{};
    TimePoint m_answeredAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_LEASE_HOLDER_HPP
