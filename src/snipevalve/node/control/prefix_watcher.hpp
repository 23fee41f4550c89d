#ifndef SNIPEVALVE_NODE_CONTROL_PREFIX_WATCHER_HPP
#define SNIPEVALVE_NODE_CONTROL_PREFIX_WATCHER_HPP

#include <functional>
#include <optional>
#include <string>

#include <spdlog/spdlog.h>

#include "snipevalve/node/control/store_backoff.hpp"
#include "snipevalve/store/config_store.hpp"

namespace snipevalve {

/// @brief The watched prefix and how often the store is called.
struct WatchOptions
{
    std::string prefix;
    Milliseconds wait{2'000}; ///< timeout of one watch call; also the time after which a dead connection is noticed
    Milliseconds passiveWait{2'000}; ///< the same while the host is passive
    Milliseconds pause{0}; ///< after each successful call; limits the call rate for values that change constantly
    Milliseconds passivePause{0}; ///< the same while the host is passive
};

/// @brief Callbacks of a PrefixWatcher. All run on the control thread.
struct WatchHandlers
{
    std::function<void(const StoredList &)> onList; ///< a snapshot of all values below the prefix
    std::function<void(const StoreEvent &)> onEvent;
    std::function<void()> onEventsEnd; ///< all events of one answer have been passed to onEvent; empty: not told
    std::function<void(Duration)> onRecovery; ///< the store answers again; receives the length of the outage
    std::function<void()> onRestored; ///< the next list comes from a store restored from a copy; empty: not told
    std::function<bool()> isNeeded; ///< false pauses the watch; empty: always needed
    std::function<bool()> isPassive; ///< whether no other host depends on this one's state; empty: never passive
};

/// @brief Tracks the values below a prefix of the store: lists them once, then watches for changes.
///
/// A failed watch is repeated from the same revision, so no event is missed. When the store has compacted that part of
/// its history, or has been restored from a copy, all values are listed again.
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
                m_lostAt.reset(); // the end of an outage would go unnoticed while the watch is paused
                co_await sleep(timer, PollInterval);
                continue;
            }
            if (!m_backoff.mayCall(Clock::now())) {
                co_await sleep(timer, PollInterval);
                continue;
            }
            absl::Status status;
            if (m_isListed && m_store.era() == m_era) {
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

    /// @brief When this host last held the latest state of the prefix; the clock's epoch while no snapshot is held.
    TimePoint upToDateAt() const
    {
        return m_isListed && m_store.era() == m_era ? m_upToDateAt : TimePoint();
    }

    /// @brief The revision of the store up to which all events have been handled.
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
        const bool isNewEra = m_store.era() != m_era;
        absl::Status status = list.status();
        const bool isOlder = list.ok() && !isNewEra && list->revision < m_revision;
        if (isOlder) {
            status = absl::UnavailableError("the store returned an older revision than the last one read");
        }
        recordResult(status);
        if (status.ok()) {
            const bool isRestored = isNewEra && m_era != 0;
            m_era = m_store.era();
            m_revision = list->revision;
            m_isListed = true;
            if (isRestored && m_handlers.onRestored) {
                m_handlers.onRestored();
            }
            m_handlers.onList(*list);
        }
        co_return status;
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
            if (m_handlers.onEventsEnd) {
                m_handlers.onEventsEnd();
            }
        }
        co_return events.status();
    }

    void recordResult(const absl::Status &status)
    {
        const TimePoint now = Clock::now();
        // A store that was restored during the call has answered, too, but its answer is not used.
        const bool isAnswer = status.ok() || absl::IsAborted(status);
        if (!isAnswer) {
            m_backoff.onFailure(now);
            if (!m_lostAt) {
                m_lostAt = now;
                spdlog::warn("store: event=lost prefix={} revision={} reason=\"{}\"", m_options.prefix, m_revision,
                             std::string(status.message()));
            }
            return;
        }
        m_backoff.onSuccess();
        m_upToDateAt = status.ok() ? now : m_upToDateAt;
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
    std::uint64_t m_era = 0; ///< of the last list; 0: none, or the store names none
    bool m_isListed = false;
    TimePoint m_upToDateAt;
    std::optional<TimePoint> m_lostAt;
};

} // namespace snipevalve

#endif // SNIPEVALVE_NODE_CONTROL_PREFIX_WATCHER_HPP
