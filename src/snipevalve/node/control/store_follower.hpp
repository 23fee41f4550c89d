#ifndef SNIPEVALVE_NODE_CONTROL_STORE_FOLLOWER_HPP
#define SNIPEVALVE_NODE_CONTROL_STORE_FOLLOWER_HPP

#include <functional>
#include <optional>
#include <string>

#include <spdlog/spdlog.h>

#include "snipevalve/node/control/store_reach.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief What is followed and how often the store is asked.
struct WatchOptions
{
    std::string prefix;
    Milliseconds wait{2'000}; ///< of one watch; a silent connection is noticed after it
    Milliseconds passiveWait{2'000}; ///< of one watch while nobody depends on this host's view
    Milliseconds pause{0}; ///< after each watch that brought news; bounds the calls for what changes all the time
    Milliseconds passivePause{0}; ///< the same while nobody depends on this host's view
};

/// @brief What is done with the news. All are called on the control thread.
struct WatchHandlers
{
    std::function<void(const StoredList &)> onList; ///< everything below the prefix has been read
    std::function<void(const StoreEvent &)> onEvent;
    std::function<void(Duration)> onRecovery; ///< the store answers again after an outage of this length
    std::function<bool()> isNeeded; ///< false pauses the following; empty: always
    std::function<bool()> isPassive; ///< whether nobody else depends on this host's view; empty: never
};

/// @brief Follows the values below a prefix of the store for good: reads all once, then watches.
///
/// A watch without an answer is repeated from the same revision, so nothing is missed; when the store has dropped that
/// part of its history, everything is read anew.
template <ConfigStore Store>
class PrefixWatcher
{
public:
    PrefixWatcher(Store &store, StoreBackoff &backoff, WatchOptions options, WatchHandlers handlers)
        : m_store(store)
        , m_backoff(backoff)
        , m_options(std::move(options))
        , m_handlers(std::move(handlers))
    {
    }

    Awaitable<void> run()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            if (m_handlers.isNeeded && !m_handlers.isNeeded()) {
                m_isListed = false;
                m_lostAt.reset(); // when the store came back is not seen from here on
                co_await sleep(timer, PollInterval);
                continue;
            }
            if (!m_backoff.mayCall(Clock::now())) {
                co_await sleep(timer, PollInterval);
                continue;
            }
            absl::Status status;
            if (m_isListed) {
                status = co_await watchOnce();
            } else {
                status = co_await listOnce();
            }
            const Milliseconds pause = isPassive() ? m_options.passivePause : m_options.pause;
            if (status.ok() && pause > Milliseconds::zero()) {
                co_await sleep(timer, pause);
            }
        }
    }

    /// @brief When all that stood in the store was last known here; long ago before the first answer.
    TimePoint upToDateAt() const
    {
        return m_isListed ? m_upToDateAt : TimePoint();
    }

    /// @brief The store's revision up to which everything is known.
    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    static constexpr Milliseconds PollInterval{50};

    bool isPassive() const
    {
        return m_handlers.isPassive && m_handlers.isPassive();
    }

    static Awaitable<void> sleep(asio::steady_timer &timer, Milliseconds time)
    {
        ErrorCode ignored;
        timer.expires_after(time);
        co_await timer.async_wait(awaitInto(ignored));
    }

    Awaitable<absl::Status> listOnce()
    {
        auto list = co_await m_store.list(m_options.prefix);
        recordResult(list.status());
        if (list.ok()) {
            const bool isOlder = list->revision < m_revision;
            if (isOlder) {
                co_return absl::UnavailableError("an older revision was read");
            }
            m_revision = list->revision;
            m_isListed = true;
            m_handlers.onList(*list);
        }
        co_return list.status();
    }

    Awaitable<absl::Status> watchOnce()
    {
        const Milliseconds wait = isPassive() ? m_options.passiveWait : m_options.wait;
        auto events = co_await m_store.watch(m_options.prefix, m_revision, wait);
        if (absl::IsOutOfRange(events.status())) {
            spdlog::info("store: event=history_gone prefix={} revision={}", m_options.prefix, m_revision);
            m_isListed = false;
            m_backoff.onSuccess();
            co_return absl::OkStatus();
        }
        recordResult(events.status());
        if (events.ok()) {
            m_revision = std::max(m_revision, events->revision);
            for (const StoreEvent &event : events->events) {
                m_handlers.onEvent(event);
            }
        }
        co_return events.status();
    }

    void recordResult(const absl::Status &status)
    {
        const TimePoint now = Clock::now();
        if (!status.ok()) {
            m_backoff.onFailure(now);
            if (!m_lostAt) {
                m_lostAt = now;
                spdlog::warn("store: event=lost prefix={} revision={} reason=\"{}\"", m_options.prefix, m_revision,
                             std::string(status.message()));
            }
            return;
        }
        m_backoff.onSuccess();
        m_upToDateAt = now;
        if (m_lostAt) {
            const Duration outage = now - *m_lostAt;
            spdlog::info("store: event=regained prefix={} revision={} outage_ms={}", m_options.prefix, m_revision,
                         std::chrono::duration_cast<Milliseconds>(outage).count());
            m_lostAt.reset();
            if (m_handlers.onRecovery) {
                m_handlers.onRecovery(outage);
            }
        }
    }

    Store &m_store;
    StoreBackoff &m_backoff;
    WatchOptions m_options;
    WatchHandlers m_handlers;
    std::uint64_t m_revision = 0;
    bool m_isListed = false;
    TimePoint m_upToDateAt;
    std::optional<TimePoint> m_lostAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_STORE_FOLLOWER_HPP
