#ifndef SNIPEVALVE_STORE_CONFIG_STORE_HPP
#define SNIPEVALVE_STORE_CONFIG_STORE_HPP

#include <concepts>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "snipevalve/core/time.hpp"
#include "snipevalve/net/asio.hpp"

namespace snipevalve {

/// @brief A value of the platform's store with the revision of its last write; revision 0 means that it is absent.
struct StoredValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// @brief All values under a prefix, as of one revision of the store.
struct StoredList
{
    std::uint64_t revision = 0;
    std::vector<StoredValue> values;
};

struct StoreEvent
{
    StoredValue value;
    bool removed = false;
};

/// @brief The events after a revision; empty when none came within the waiting time.
struct StoreEvents
{
    std::uint64_t revision = 0;
    std::vector<StoreEvent> events;
};

/// @brief A compare-and-swap. The value has to be unique to this write, so that a lost answer can be resolved.
struct StoreWrite
{
    std::string key;
    std::string value;
    std::uint64_t expectedRevision = 0; ///< 0: the key must be absent
    std::uint64_t lease = 0; ///< the key goes when this lease lapses; 0: none
    bool remove = false; ///< removes the key instead of writing it
};

/// @brief What became of a compare-and-swap.
struct WriteResult
{
    bool committed = false;
    StoredValue current; ///< the value that stands now, ours or another's
};

/// @brief The platform's store as the project uses it.
///
/// Errors: Unavailable when no answer came (a write may have taken effect); OutOfRange from watch() when the
/// revision is too old to be continued.
template <typename Store>
concept ConfigStore = requires(Store store, StoreWrite write, std::string key, std::uint64_t number,
                               Milliseconds duration)
{
    {
        store.read(key)
        } -> std::same_as<Awaitable<absl::StatusOr<StoredValue>>>;
    {
        store.list(key)
        } -> std::same_as<Awaitable<absl::StatusOr<StoredList>>>;
    {
        store.write(write)
        } -> std::same_as<Awaitable<absl::StatusOr<WriteResult>>>;
    {
        store.watch(key, number, duration)
        } -> std::same_as<Awaitable<absl::StatusOr<StoreEvents>>>;
    {
        store.createLease(duration)
        } -> std::same_as<Awaitable<absl::StatusOr<std::uint64_t>>>;
    {
        store.renewLease(number)
        } -> std::same_as<Awaitable<absl::Status>>;
};

/// @brief Writes and, where the answer is lost, repeats the same compare-and-swap until its fate is known.
///
/// The repetition is safe: the expected revision lets the write take effect once at most, and the unique value tells
/// whether the one that stands is ours.
/// @return when the deadline passed first, Unavailable if the write may have taken effect, and FailedPrecondition if
///         none of the attempts reached the store
template <ConfigStore Store>
Awaitable<absl::StatusOr<WriteResult>> writeSurely(Store &store, StoreWrite write, TimePoint deadline)
{
    constexpr Milliseconds MaxRetryDelay(400); ///< each try is a call that the store counts
    Milliseconds retryDelay(50);
    bool mayBeCommitted = false;
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        absl::StatusOr<WriteResult> result = co_await store.write(write);
        if (result.ok()) {
            const bool isOurs = !write.remove && result->current.revision != 0 && result->current.value == write.value;
            result->committed = result->committed || isOurs;
            co_return result;
        }
        if (!absl::IsUnavailable(result.status()) && !absl::IsFailedPrecondition(result.status())) {
            co_return result;
        }
        mayBeCommitted = mayBeCommitted || absl::IsUnavailable(result.status());
        if (Clock::now() + retryDelay > deadline) {
            const std::string message(result.status().message());
            co_return mayBeCommitted ? absl::UnavailableError(message) : absl::FailedPreconditionError(message);
        }
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asio::use_awaitable);
        retryDelay = std::min(2 * retryDelay, MaxRetryDelay);
    }
}

} // namespace snipevalve

#endif // SNIPEVALVE_STORE_CONFIG_STORE_HPP
